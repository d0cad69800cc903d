//! What a node keeps: smoothed figures, its requests, and its views of backends, zones and classes.
//! Plain data and arithmetic; every decision on it is under `policy/`.

use std::cell::Cell;
use std::collections::{BTreeMap, VecDeque};

use ivyhatch_load_probing::Scheduler;

use crate::advice::PlacementAdvisor;
use crate::api::*;
use crate::held::{PendingQueue, QueueEntry};
use crate::notices::RemovalNotices;
use crate::tally::Counters;

pub(crate) const SECOND: Nanos = 1_000_000_000;
/// Time constant of the node's own rates: some requests of each of many nodes, yet short against a trouble.
pub(crate) const RATE_TIME_CONSTANT: Nanos = 3 * SECOND;

/// An exponentially smoothed figure and when it was last fed.
#[derive(Clone, Copy, Default)]
pub(crate) struct Ewma {
    pub(crate) value: f64,
    pub(crate) updated_at: Option<Nanos>,
}

impl Ewma {
    pub(crate) fn update(&mut self, now: Nanos, sample: f64, tau: Nanos, least: f64) {
        let weight = self.updated_at.map_or(1.0, |at| (1.0 - decay(now.saturating_sub(at), tau)).max(least));
        self.value += (sample - self.value) * weight;
        self.updated_at = Some(now);
    }

    /// The figure, forgotten towards 0 since it was last fed.
    pub(crate) fn decayed(&self, now: Nanos, tau: Nanos) -> f64 {
        self.updated_at.map_or(0.0, |at| self.value * decay(now.saturating_sub(at), tau))
    }

    pub(crate) fn is_fresh(&self, now: Nanos, age: Nanos) -> bool {
        self.updated_at.is_some_and(|at| now.saturating_sub(at) < age)
    }
}

/// An amount a second, over an exponential window.
#[derive(Clone, Copy, Default)]
pub(crate) struct RateEstimator {
    pub(crate) value: f64,
    pub(crate) updated_at: Nanos,
}

impl RateEstimator {
    pub(crate) fn add(&mut self, now: Nanos, amount: f64) {
        self.value = self.per_second(now) + amount * SECOND as f64 / RATE_TIME_CONSTANT as f64;
        self.updated_at = now;
    }

    pub(crate) fn per_second(&self, now: Nanos) -> f64 {
        self.value * decay(now.saturating_sub(self.updated_at), RATE_TIME_CONSTANT)
    }
}

/// Spreads the bits of a number; drives random draws and lots.
pub fn hash_mix(mut z: u64) -> u64 {
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

pub(crate) fn decay(span: Nanos, tau: Nanos) -> f64 {
    (-(span as f64) / tau as f64).exp()
}

/// Time constant of the strain: an aim or two, as a jam is there within seconds and feeds on what is sent meanwhile.
const CONGESTION_TIME_CONSTANT: Nanos = SECOND;

/// How much of their aims the answers of all backends take: thin traffic says little of one of them, but enough of all.
#[derive(Clone, Copy)]
pub(crate) struct CongestionSignal {
    mean: Ewma,
    samples: u32,
    baseline: f64,
}

impl Default for CongestionSignal {
    fn default() -> Self {
        Self { mean: Ewma::default(), samples: 0, baseline: 1.0 }
    }
}

impl CongestionSignal {
    /// Answers over which the mean is made where many come, and from which on it stands for something.
    const MIN_SAMPLES: u32 = 30;

    /// Takes one answer in; `part` of its aim, 1 at most.
    pub(crate) fn record(&mut self, now: Nanos, part: f64) {
        self.mean.update(now, part, CONGESTION_TIME_CONSTANT, 1.0 / f64::from(Self::MIN_SAMPLES));
        self.samples = self.samples.saturating_add(1);
        if self.samples >= Self::MIN_SAMPLES {
            self.baseline = self.baseline.min(self.mean.value);
        }
    }

    /// The least that the mean was; none while that is not known.
    pub(crate) fn baseline(&self) -> Option<f64> {
        (self.samples >= Self::MIN_SAMPLES).then_some(self.baseline)
    }
}

/// How many of a node's requests may be out in a zone, where many nodes share its backends and none sees what the
/// others send.
#[derive(Clone, Copy, Default)]
pub(crate) struct ConcurrencyWindow {
    pub(crate) size: f64,
    /// Its size where it is not used.
    pub(crate) idle_size: f64,
    /// The mean answer as a part of its aim since the last fall, over so many.
    pub(crate) latency_fraction: Ewma,
    pub(crate) samples: u32,
    /// What was sent before its last fall tells of the time before.
    pub(crate) decreased_at: Nanos,
    /// It has met its first strain.
    pub(crate) slow_start_done: bool,
    /// When something was sent last.
    pub(crate) last_sent_at: Nanos,
}

impl ConcurrencyWindow {
    /// One that grows by more until its first strain, unless it starts `eased`.
    pub(crate) fn new(size: f64, eased: bool) -> Self {
        Self { size, idle_size: size, slow_start_done: eased, ..Self::default() }
    }

    /// At least so wide, as long as nothing is known.
    pub(crate) fn raise_initial_size(&mut self, size: f64) {
        if self.samples == 0 && !self.slow_start_done {
            self.size = self.size.max(size);
            self.idle_size = self.size;
        }
    }
}

/// One attempt of a request.
pub(crate) struct Attempt {
    pub(crate) backend: BackendId,
    pub(crate) zone: ZoneId,
    pub(crate) cell: u64,
    pub(crate) sent_at: Nanos,
    pub(crate) load_at_send: f64,
    pub(crate) outcome: Option<Outcome>,
    /// It has been out for its aim, and counted as that late.
    pub(crate) counted_late: bool,
}

impl Attempt {
    pub(crate) fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }

    pub(crate) fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(Outcome::may_have_run)
    }
}

/// Where a request stands.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestPhase {
    Open,
    Queued,
    Streaming,
    Ended,
}

/// A request that is open, or ended with an attempt still out.
pub(crate) struct Request {
    pub(crate) id: RequestId,
    pub(crate) class: usize,
    pub(crate) expected_work: f64,
    pub(crate) slow_start_work: f64,
    pub(crate) target_at: Nanos,
    /// Half of the client's time: what is refused later has kept it waiting for nothing.
    pub(crate) queue_until: Nanos,
    pub(crate) not_after: Nanos,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) phase: RequestPhase,
    /// Where it stands among those held.
    pub(crate) queue_entry: Option<QueueEntry>,
    /// Beyond its tenant's share, and worth less.
    pub(crate) over_quota: bool,
}

/// Whether an outlier is ejected.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum Health {
    #[default]
    Healthy,
    Ejected {
        until: Nanos,
    },
    HalfOpen {
        served: u32,
    },
}

/// A backend as this node sees it.
#[derive(Default)]
pub(crate) struct Backend {
    pub(crate) member: Member,
    pub(crate) in_flight: u32,
    pub(crate) utilisation: Ewma,
    /// Own requests on it when it was made, smoothed alike.
    pub(crate) in_flight_at_report: f64,
    pub(crate) latency_ratio: Ewma,
    pub(crate) served_work: RateEstimator,
    pub(crate) failure_rate: Ewma,
    pub(crate) consecutive_failures: u32,
    pub(crate) consecutive_rejections: u32,
    pub(crate) backoff_until: Nanos,
    pub(crate) health: Health,
    pub(crate) ejections: u32,
    pub(crate) slow_start_sends: VecDeque<(Nanos, f64)>,
    /// Requests held for each core, as the list's live weight told last.
    pub(crate) listed_load: Option<f64>,
    /// The last probe reached nothing, and nothing was served since.
    pub(crate) unreachable: bool,
    /// This node's lot for it: the lowest ones of a zone are its subset.
    pub(crate) subset_rank: u64,
}

impl Backend {
    pub(crate) fn new(member: Member) -> Self {
        Self { member, ..Self::default() }
    }

    pub(crate) fn weight(&self) -> f64 {
        if self.member.weight.is_finite() && self.member.weight > 0.0 { self.member.weight } else { 1.0 }
    }
}

/// A zone as this node sees it.
#[derive(Clone, Copy, Default)]
pub(crate) struct ZoneView {
    /// Own attempts out there, now and smoothed.
    pub(crate) in_flight: f64,
    pub(crate) smoothed_in_flight: Ewma,
    /// Requests held for each core, on the mean.
    pub(crate) load_per_core: f64,
    /// Backends in service there, and the highest lot of the subset.
    pub(crate) in_service: f64,
    pub(crate) subset_cutoff: u64,
    /// What this node serves there of each unit of used capacity.
    pub(crate) served_per_capacity: f64,
    /// Share of the requests that spill, where nodes are many.
    pub(crate) overflow_share: f64,
    /// How many of the node's own requests may be out there.
    pub(crate) window: ConcurrencyWindow,
    pub(crate) min_latency: Option<f64>,
    pub(crate) is_overflowing: bool,
}

/// The reported use of a zone's usable backends, by size, and the time up to which nothing changes it but events.
#[derive(Clone, Copy)]
pub(crate) struct ZoneUtilisation {
    pub(crate) used_weight: f64,
    pub(crate) total_weight: f64,
    /// Usable backends, and those of them whose figures are summed up.
    pub(crate) usable_backends: usize,
    pub(crate) reporting_backends: usize,
    /// Backends in service that were not reached last.
    pub(crate) unreachable_backends: usize,
    pub(crate) valid_until: Nanos,
}

/// A class as this node sees it.
#[derive(Clone, Copy, Default)]
pub(crate) struct ClassView {
    /// Time of an answer from an idle backend: its work, and what it waits for elsewhere. Load adds nothing
    /// to the latter.
    pub(crate) idle_latency: f64,
    pub(crate) idle_samples: f64,
    pub(crate) mean_work: f64,
    pub(crate) arrivals: RateEstimator,
    pub(crate) served: RateEstimator,
    pub(crate) value_density: f64,
    pub(crate) load_limit: f64,
    /// The longest that a client has waited for one try.
    pub(crate) longest_timeout: Nanos,
}

impl ClassView {
    /// A class of which nothing is known yet but its aim.
    pub(crate) fn new(class: &ClassSettings) -> Self {
        Self {
            idle_latency: class.latency_target as f64 / 16.0 * crate::policy::figures::IDLE_LOAD,
            load_limit: f64::INFINITY,
            ..Self::default()
        }
    }
}

impl ZoneView {
    /// The own load as smoothed up to now.
    pub(crate) fn smoothed_in_flight_at(&self, now: Nanos, tau: Nanos) -> f64 {
        let mut load = self.smoothed_in_flight;
        load.update(now, self.in_flight, tau, 0.0);
        load.value
    }

    /// Counts own sends or their ends; the smoothed figure is fed with what was out until now.
    pub(crate) fn add_in_flight(&mut self, now: Nanos, change: f64, tau: Nanos) {
        let held = if self.smoothed_in_flight.updated_at.is_none() { change } else { self.in_flight };
        self.smoothed_in_flight.update(now, held, tau, 0.0);
        self.in_flight = (self.in_flight + change).max(0.0);
    }
}

/// One node's decisions. Deterministic: the same settings, seed and events give the same actions.
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) seed: u64,
    pub(crate) random_state: u64,
    pub(crate) now: Nanos,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    pub(crate) pending: PendingQueue,
    pub(crate) backends: BTreeMap<BackendId, Backend>,
    pub(crate) zones: Vec<ZoneView>,
    /// The backends of each zone, by id.
    pub(crate) zone_backends: Vec<Vec<BackendId>>,
    /// Those of each zone with the lowest of this node's lots.
    pub(crate) zone_subsets: Vec<Vec<BackendId>>,
    /// Backends that take requests, those that are not healthy, and the sum of what fails of each with when it
    /// was last made.
    pub(crate) in_service_count: usize,
    pub(crate) ejected_count: usize,
    pub(crate) total_failure_rate: (f64, Nanos),
    /// Refreshes so far.
    pub(crate) refresh_count: usize,
    /// What is known of each zone's use, as long as it holds.
    pub(crate) cached_zone_utilisation: Vec<Cell<Option<ZoneUtilisation>>>,
    pub(crate) classes: Vec<ClassView>,
    /// Time that each request of a backend's load adds to an answer, where its cores are the bottleneck.
    pub(crate) latency_per_load: f64,
    pub(crate) load_samples: f64,
    /// Requests of each tenant.
    pub(crate) tenant_arrivals: Vec<RateEstimator>,
    /// The mean answer as a part of its aim.
    pub(crate) congestion: CongestionSignal,
    /// Arrivals with so little time that they may be repeats, and requests that ended unserved in time for one.
    pub(crate) suspected_retries: RateEstimator,
    pub(crate) unserved: RateEstimator,
    pub(crate) overflow_zones: Vec<ZoneId>,
    pub(crate) qualified_zones: usize,
    pub(crate) refresh_at: Nanos,
    pub(crate) retry_tokens: f64,
    /// Who has been said to leave.
    pub(crate) removal_notices: RemovalNotices,
    pub(crate) poll_at: Option<Nanos>,
    pub(crate) discovery_failures: u32,
    pub(crate) next_log_at: Nanos,
    pub(crate) timer_at: Option<Nanos>,
    /// The largest live weight of each kind so far: the size of an idle one.
    pub(crate) idle_weights: BTreeMap<u32, f64>,
    pub(crate) list_received_at: Option<Nanos>,
    pub(crate) list_interval_s: f64,
    pub(crate) overflow_share_at: Nanos,
    /// Whose load is asked for, where the settings let it be.
    pub(crate) probe_scheduler: Option<Scheduler>,
    pub(crate) counters: Counters,
    /// Repeats that may be saved up, where the embedder says so.
    pub(crate) max_retry_tokens: Option<f64>,
    /// What the embedder knows better.
    pub(crate) advisor: Option<Box<dyn PlacementAdvisor>>,
}

impl Balancer {
    /// A number from 0 to 1 of the node's own randomness.
    pub(crate) fn random_unit(&mut self) -> f64 {
        self.random_state = self.random_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        (hash_mix(self.random_state) >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Log lines are for people: at most one a second.
    pub(crate) fn log_rate_limited(&mut self, actions: &mut Vec<Action>, text: impl FnOnce() -> String) {
        if self.now >= self.next_log_at {
            self.next_log_at = self.now + SECOND;
            actions.push(Action::Log(text()));
        }
    }

    /// Requests a second that come to this node.
    pub(crate) fn arrival_rate(&self) -> f64 {
        self.classes.iter().map(|class| class.arrivals.per_second(self.now)).sum()
    }

    /// Requests that the node still keeps: open ones, and ended ones with an attempt out.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// The classes, the worthiest for each unit of work first.
    pub(crate) fn classes_by_value(&self) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.classes.len()).collect();
        order.sort_by(|&a, &b| self.classes[b].value_density.total_cmp(&self.classes[a].value_density));
        order
    }

    /// Nodes that share a zone's backends: their load moves with this node's.
    pub(crate) fn nodes_per_zone(&self) -> f64 {
        (f64::from(self.settings.nodes) / f64::from(self.settings.zones)).max(1.0)
    }
}
