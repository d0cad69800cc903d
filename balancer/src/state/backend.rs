//! The state of a backend.

use std::collections::VecDeque;

use crate::api::{BackendState, Member, Nanos};
use crate::estimators::{Ewma, RateEstimator};

/// The state of a backend in outlier detection.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum Health {
    #[default]
    Healthy,
    Ejected {
        until: Nanos,
    },
    /// The backend receives one trial request at a time.
    HalfOpen {
        served_trials: u32,
    },
}

/// A send to a backend during its slow start.
pub(crate) struct SlowStartSend {
    pub(crate) sent_at: Nanos,
    /// The work that the request counts as, in nanoseconds on a standard core.
    pub(crate) work: f64,
}

/// The estimates and measurements of this node for a backend.
#[derive(Default)]
pub(crate) struct Backend {
    pub(crate) member: Member,
    /// This node's attempts in flight at the backend.
    pub(crate) in_flight: u32,
    /// Reported utilisation, 1 for all cores in use.
    pub(crate) utilisation: Ewma,
    /// This node's attempts in flight at the backend when `utilisation` was reported, smoothed in the same
    /// way.
    pub(crate) in_flight_at_report: f64,
    /// Latency as a multiple of the expected latency.
    pub(crate) latency_ratio: Ewma,
    /// Work served for this node, in nanoseconds per second.
    pub(crate) served_work: RateEstimator,
    /// Share of this node's attempts at the backend that fail.
    pub(crate) failure_rate: Ewma,
    pub(crate) consecutive_failures: u32,
    pub(crate) consecutive_rejections: u32,
    /// After a rejection, the backend is sent nothing before this time.
    pub(crate) backoff_until: Nanos,
    pub(crate) health: Health,
    /// Number of ejections so far, minus those followed by a recovery.
    pub(crate) ejections: u32,
    pub(crate) slow_start_sends: VecDeque<SlowStartSend>,
    /// Requests in flight per core, derived from the live weight in the list; `None` without a live weight.
    pub(crate) listed_load: Option<f64>,
    /// The last probe did not reach the backend, and the backend has served nothing since.
    pub(crate) unreachable: bool,
    /// This node's pseudo-random rank of the backend: the lowest ranks of a zone are the node's subset.
    pub(crate) subset_rank: u64,
}

impl Backend {
    pub(crate) fn new(member: Member) -> Self {
        Self { member, ..Self::default() }
    }

    pub(crate) fn is_in_service(&self) -> bool {
        self.member.state == BackendState::InService
    }

    /// The weight of the backend; 1 if the listed weight is not finite and positive.
    pub(crate) fn weight(&self) -> f64 {
        if self.member.weight.is_finite() && self.member.weight > 0.0 { self.member.weight } else { 1.0 }
    }
}
