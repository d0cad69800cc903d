//! Counters for the operators' log. No decision depends on them.

use crate::api::{Nanos, Outcome};

/// Why a request ended unserved.
#[derive(Clone, Copy)]
pub(crate) enum RejectReason {
    /// The latency target had passed when the request arrived.
    PastTarget,
    /// The request was queued until no backend could serve it in time.
    QueueTimeout,
    /// The attempts failed and the request may not be retried.
    AttemptsFailed,
}

/// Counts since [`Counters::since`].
#[derive(Default)]
pub(crate) struct Counters {
    /// When the counters were last logged and reset; 0 if never.
    pub(crate) since: Nanos,
    pub(crate) arrivals: u32,
    /// Number of requests that ended unserved, indexed by [`RejectReason`].
    pub(crate) unserved: [u32; 3],
    /// Number of attempts that ended, indexed by [`Outcome`].
    pub(crate) outcomes: [u32; Outcome::COUNT],
    pub(crate) sent: u32,
    pub(crate) sent_outside_subset: u32,
}

impl Counters {
    pub(crate) fn count_unserved(&mut self, reason: RejectReason) {
        self.unserved[reason as usize] += 1;
    }

    pub(crate) fn count_outcome(&mut self, outcome: Outcome) {
        self.outcomes[outcome as usize] += 1;
    }

    pub(crate) fn count_send(&mut self, outside_subset: bool) {
        self.sent += 1;
        self.sent_outside_subset += u32::from(outside_subset);
    }
}
