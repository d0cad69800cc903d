//! The state of one node.

use std::cell::Cell;
use std::collections::BTreeMap;

use ivyhatch_load_probing::Scheduler;

use super::backend::Backend;
use super::class::{ClassView, INITIAL_LATENCY_FRACTION};
use super::congestion::CongestionSignal;
use super::request::Request;
use super::window::ConcurrencyWindow;
use super::zone::{ZoneUtilisation, ZoneView};
use crate::advisor::PlacementAdvisor;
use crate::api::{BackendId, Nanos, RequestId, Settings, SettingsError, ZoneId};
use crate::counters::Counters;
use crate::estimators::RateEstimator;
use crate::pending_queue::PendingQueue;
use crate::policy::tuning::{INITIAL_REMOTE_WINDOW, MIN_LOAD_LIMIT};
use crate::random::SplitMix64;
use crate::removal_notices::RemovalNotices;
use crate::retry_budget::{RetryBudget, TokenBucket};
use crate::retry_usage::RetryUsage;

/// Retry tokens of a node before [`Event::Start`](crate::api::Event::Start).
const INITIAL_RETRY_TOKENS: f64 = 1.0;

/// The sum of the failure rates of all backends. With many backends it is recomputed rarely.
#[derive(Clone, Copy, Default)]
pub(crate) struct FailureRateSum {
    pub(crate) value: f64,
    pub(crate) computed_at: Nanos,
}

/// The load balancer of one node: a deterministic state machine without I/O. The same settings, seed and
/// events give the same actions.
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) seed: u64,
    pub(crate) random: SplitMix64,
    /// The time of the event being handled; never decreases.
    pub(crate) now: Nanos,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    /// The requests in [`RequestPhase::Queued`](super::RequestPhase::Queued).
    pub(crate) pending: PendingQueue,
    pub(crate) backends: BTreeMap<BackendId, Backend>,
    pub(crate) zones: Vec<ZoneView>,
    /// The backends of each zone, in ascending order of id.
    pub(crate) zone_backends: Vec<Vec<BackendId>>,
    /// The node's subset of each zone: the backends with the lowest ranks.
    pub(crate) zone_subsets: Vec<Vec<BackendId>>,
    /// Number of backends in service.
    pub(crate) in_service_count: usize,
    /// Number of backends that are not healthy.
    pub(crate) ejected_count: usize,
    pub(crate) total_failure_rate: FailureRateSum,
    /// Number of refreshes of the overflow zones so far.
    pub(crate) refresh_count: usize,
    /// Utilisation of each zone; `None` if it must be recomputed.
    pub(crate) cached_zone_utilisation: Vec<Cell<Option<ZoneUtilisation>>>,
    pub(crate) classes: Vec<ClassView>,
    /// Latency in nanoseconds that each request of a backend's load adds where its cores are the
    /// bottleneck.
    pub(crate) latency_per_load: f64,
    /// Weight of the samples in `latency_per_load`.
    pub(crate) load_samples: f64,
    /// Requests per second of each tenant.
    pub(crate) tenant_arrivals: Vec<RateEstimator>,
    pub(crate) congestion: CongestionSignal,
    /// Arrivals per second with so little time left that they may be retries.
    pub(crate) suspected_retries: RateEstimator,
    /// Requests per second that ended unserved early enough for a retry.
    pub(crate) unserved: RateEstimator,
    /// The zones other than home, the best one first.
    pub(crate) overflow_zones: Vec<ZoneId>,
    /// Number of zones at the start of `overflow_zones` that have spare capacity.
    pub(crate) qualified_zones: usize,
    /// When the overflow zones are scored next.
    pub(crate) refresh_at: Nanos,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) retry_usage: RetryUsage,
    pub(crate) removal_notices: RemovalNotices,
    /// When discovery is polled again after a failure; `None` if no poll is scheduled.
    pub(crate) poll_at: Option<Nanos>,
    pub(crate) discovery_failures: u32,
    pub(crate) next_log_at: Nanos,
    /// When the last requested timer comes due.
    pub(crate) timer_at: Option<Nanos>,
    /// The largest live weight of each machine kind so far, which is that of an idle backend.
    pub(crate) idle_weights: BTreeMap<u32, f64>,
    pub(crate) list_received_at: Option<Nanos>,
    /// Mean time between two lists, in seconds.
    pub(crate) list_interval_s: f64,
    /// When the overflow share is updated next.
    pub(crate) overflow_share_at: Nanos,
    /// `None` if the settings forbid probes or load reporting is disabled.
    pub(crate) probe_scheduler: Option<Scheduler>,
    pub(crate) counters: Counters,
    pub(crate) advisor: Option<Box<dyn PlacementAdvisor>>,
}

impl Balancer {
    /// Creates a node without backends. `seed` determines the node's random decisions and should differ
    /// between nodes; `now` is the current time of the embedder's clock.
    ///
    /// # Errors
    ///
    /// Settings that [`Settings::validate`] rejects.
    pub fn new(settings: Settings, seed: u64, now: Nanos) -> Result<Self, SettingsError> {
        settings.validate()?;
        let class_count = settings.classes.len();
        let zone_count = settings.zones as usize;
        let shortest_target =
            settings.classes.iter().map(|class| class.latency_target as f64).fold(f64::INFINITY, f64::min);
        Ok(Self {
            seed,
            random: SplitMix64::new(seed),
            now,
            requests: BTreeMap::new(),
            pending: PendingQueue::new(class_count),
            backends: BTreeMap::new(),
            zones: initial_zones(&settings),
            zone_backends: vec![Vec::new(); zone_count],
            zone_subsets: vec![Vec::new(); zone_count],
            in_service_count: 0,
            ejected_count: 0,
            total_failure_rate: FailureRateSum::default(),
            refresh_count: 0,
            cached_zone_utilisation: vec![Cell::new(None); zone_count],
            classes: settings.classes.iter().map(ClassView::new).collect(),
            latency_per_load: shortest_target * INITIAL_LATENCY_FRACTION,
            load_samples: 0.0,
            tenant_arrivals: vec![RateEstimator::default(); settings.tenant_quotas.len()],
            congestion: CongestionSignal::default(),
            suspected_retries: RateEstimator::default(),
            unserved: RateEstimator::default(),
            overflow_zones: Vec::new(),
            qualified_zones: 0,
            refresh_at: now,
            retry_budget: RetryBudget::Own(TokenBucket::with_tokens(INITIAL_RETRY_TOKENS)),
            retry_usage: RetryUsage::default(),
            removal_notices: RemovalNotices::default(),
            poll_at: None,
            discovery_failures: 0,
            next_log_at: 0,
            timer_at: None,
            idle_weights: BTreeMap::new(),
            list_received_at: None,
            list_interval_s: 1.0,
            overflow_share_at: 0,
            probe_scheduler: Self::new_probe_scheduler(&settings, seed, now),
            counters: Counters::default(),
            advisor: None,
            settings,
        })
    }

    /// Number of requests that the node holds: open ones, and ended ones with an attempt still in flight.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Requests per second that arrive at this node.
    pub(crate) fn arrival_rate(&self) -> f64 {
        self.classes.iter().map(|class| class.arrivals.per_second(self.now)).sum()
    }

    /// The classes in descending order of value per unit of work.
    pub(crate) fn classes_by_value(&self) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.classes.len()).collect();
        order.sort_by(|&a, &b| self.classes[b].value_density.total_cmp(&self.classes[a].value_density));
        order
    }

    /// Number of nodes that share the backends of a zone, this one included. Their loads are assumed to rise
    /// and fall together.
    pub(crate) fn nodes_per_zone(&self) -> f64 {
        (f64::from(self.settings.nodes) / f64::from(self.settings.zones)).max(1.0)
    }
}

fn initial_zones(settings: &Settings) -> Vec<ZoneView> {
    let window = ConcurrencyWindow::past_slow_start(INITIAL_REMOTE_WINDOW);
    let remote = ZoneView { window, ..ZoneView::default() };
    let mut zones = vec![remote; settings.zones as usize];
    zones[settings.home.0 as usize].window = ConcurrencyWindow::in_slow_start(MIN_LOAD_LIMIT);
    zones
}
