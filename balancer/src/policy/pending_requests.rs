//! Pending requests: sent as backends get capacity, and rejected while the client still has time to retry
//! (load shedding).

use std::collections::BTreeSet;

use super::tuning::{
    ADMISSION_SHARE, IDLE_LOAD, MAX_DISPATCH_MISSES, MAX_SCANNED_BACKENDS, RETRY_ADMISSION_SHARE,
};
use crate::api::{Action, Nanos, RequestId};
use crate::counters::RejectReason;
use crate::pending_queue::{Band, TargetGroup};
use crate::state::{Backend, Balancer};

/// The next request of a band in the pending queue.
struct NextInBand {
    /// Value of a unit of the band's work.
    value_density: f64,
    request: RequestId,
    band: Band,
    /// No backend has headroom for any request of the band.
    is_blocked: bool,
}

impl Balancer {
    /// Sends pending requests in descending order of value. Examines at most `MAX_DISPATCH_MISSES` + 1
    /// requests in addition to those that it sends.
    pub(super) fn dispatch_pending(&mut self, actions: &mut Vec<Action>) {
        if self.pending.is_empty() {
            return;
        }
        let mut bands = self.first_request_of_each_band();
        let mut misses = 0;
        while misses <= MAX_DISPATCH_MISSES
            && let Some(index) = most_valuable(&bands)
        {
            let NextInBand { request, band, is_blocked, .. } = bands[index];
            if self.is_unaffordable(request) {
                self.retry_usage.denied_repeats += 1;
                self.end_unserved(request, RejectReason::AttemptsFailed, 0, actions);
            } else if !self.dispatch_queued(request, is_blocked, actions) {
                misses += 1;
                // Sends only reduce capacity: a band without headroom has none for the rest of this call.
                bands[index].is_blocked = is_blocked || !self.any_backend_has_headroom(band);
            }
            match self.pending.next_in_band(band, Some(request)) {
                Some(next) => bands[index].request = next,
                None => drop(bands.swap_remove(index)),
            }
        }
    }

    /// Sends a queued request, unless its band is blocked. Returns whether the request was sent.
    fn dispatch_queued(&mut self, id: RequestId, is_blocked: bool, actions: &mut Vec<Action>) -> bool {
        let to = if is_blocked { None } else { self.choose_backend(id) };
        to.is_some_and(|to| self.send(id, to, actions))
    }

    fn first_request_of_each_band(&self) -> Vec<NextInBand> {
        let first = |band: Band| {
            let request = self.pending.next_in_band(band, None)?;
            let value_density = self.band_value_density(band);
            Some(NextInBand { value_density, request, band, is_blocked: false })
        };
        Band::all(self.classes.len()).filter_map(first).collect()
    }

    fn band_value_density(&self, band: Band) -> f64 {
        let factor = if band.over_quota { self.settings.over_quota_value } else { 1.0 };
        self.classes[band.class].value_density * factor
    }

    /// Whether any backend has headroom for a request of this band, regardless of the request's remaining
    /// time.
    fn any_backend_has_headroom(&self, band: Band) -> bool {
        let has_capacity = |backend: &Backend| self.is_usable(backend) && self.has_headroom(band, backend);
        self.has_many_nodes()
            || self.backends.len() > MAX_SCANNED_BACKENDS
            || self.backends.values().any(has_capacity)
    }

    /// Rejects pending requests that no backend can serve in time any more, and requests whose queue entry
    /// expires. A request that never reached a backend expires while its client has time for another attempt.
    pub(super) fn expire_pending(&mut self, actions: &mut Vec<Action>) {
        if self.pending.is_empty() {
            return;
        }
        let interval = self.housekeeping_interval();
        let mut expired = BTreeSet::new();
        for class in 0..self.classes.len() {
            for (is_retry, budget_share) in [(false, ADMISSION_SHARE), (true, RETRY_ADMISSION_SHARE)] {
                let min_latency = (self.expected_latency(class, IDLE_LOAD) / budget_share) as Nanos;
                let by = self.now + (min_latency + interval);
                self.pending.collect_targets_by(TargetGroup { class, is_retry }, by, &mut expired);
            }
        }
        self.pending.collect_expired_by(self.now + interval, &mut expired);
        let retry_after = self.settings.limits.max_retry_after;
        for (_, id) in expired {
            self.end_unserved(id, RejectReason::QueueTimeout, retry_after, actions);
        }
    }
}

/// The band to dispatch from next: the one of the highest value; among equal values, the one with the oldest
/// request.
fn most_valuable(bands: &[NextInBand]) -> Option<usize> {
    (0..bands.len()).min_by(|&a, &b| {
        let (a, b) = (&bands[a], &bands[b]);
        b.value_density.total_cmp(&a.value_density).then(a.request.cmp(&b.request))
    })
}
