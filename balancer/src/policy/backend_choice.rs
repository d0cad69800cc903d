//! The choice of a backend inside a zone.

use super::tuning::{
    FAILURE_PENALTY, MAX_SCANNED_BACKENDS, MIN_SHARED_SLOWNESS, PICK_JITTER, PICK_SAMPLE_SIZE,
    REPEATED_BACKEND_PENALTY, SHARED_PICK_JITTER, SLOWNESS_DECAY_TIME_CONSTANT,
};
use crate::api::{BackendId, RequestId, ZoneId};
use crate::random::{ID_MULTIPLIER, PickJitter, SPLITMIX_INCREMENT, hash_mix};
use crate::state::{Backend, Balancer, Request};

/// The candidate with the lowest cost so far.
#[derive(Default)]
struct BestCandidate(Option<(f64, BackendId)>);

impl BestCandidate {
    fn offer(&mut self, cost: f64, backend: BackendId) {
        if self.0.is_none_or(|(lowest, _)| cost < lowest) {
            self.0 = Some((cost, backend));
        }
    }
}

impl Balancer {
    /// The best of the permitted backends that are expected to serve the request in time: with few nodes, the
    /// one with the lowest expected latency; with many nodes, the one in the node's subset with the lowest
    /// product of own load and slowness.
    pub(super) fn choose_in_zone(&self, id: RequestId, zone: ZoneId) -> Option<BackendId> {
        let all = self.zone_backends.get(zone.0 as usize)?;
        if !self.has_many_nodes() {
            return self.choose_among(id, all);
        }
        // If each of many nodes used all backends, their connection tables would fill up, so each node uses a
        // random subset. The node leaves the subset only if none of it takes requests: otherwise, in
        // congestion, all nodes would try all backends and none of these could recover.
        let subset = self.zone_subsets.get(zone.0 as usize)?;
        let takes_requests = |backend: &Backend| self.is_usable(backend) && backend.is_in_service();
        let subset_takes_requests = subset.iter().any(|id| self.backends.get(id).is_some_and(takes_requests));
        self.choose_among(id, if subset_takes_requests { subset } else { all })
    }

    fn choose_among(&self, id: RequestId, candidates: &[BackendId]) -> Option<BackendId> {
        let request = self.requests.get(&id)?;
        let seed = self.random.state() ^ id.0.wrapping_mul(ID_MULTIPLIER);
        let mut jitter = PickJitter::new(seed);
        let mut best = BestCandidate::default();
        // Of very many candidates only a sample is examined, and a second sample if none of the first has
        // capacity.
        let scans_all = candidates.len() <= MAX_SCANNED_BACKENDS;
        let max_examined = if scans_all { candidates.len() } else { 2 * PICK_SAMPLE_SIZE };
        let mut position = seed;
        for examined in 0..max_examined {
            if !scans_all && examined == PICK_SAMPLE_SIZE && best.0.is_some() {
                break;
            }
            let index = if scans_all { examined } else { next_sample(&mut position, candidates.len()) };
            self.consider(request, candidates[index], &mut jitter, &mut best);
        }
        best.0.map(|(_, to)| to)
    }

    fn consider(&self, request: &Request, to: BackendId, jitter: &mut PickJitter, best: &mut BestCandidate) {
        let Some(backend) = self.backends.get(&to) else { return };
        if self.is_usable(backend) && self.admits(request, backend) && self.permits_send(request, backend) {
            best.offer(self.send_cost(request, backend, jitter.next_unit()), to);
        }
    }

    /// Cost of a send to this backend: with many nodes, the load from this node's requests in flight; with
    /// few nodes, the expected latency in nanoseconds. Failures increase the cost, because a backend that
    /// fails fast must not look idle; the effect of failures decays, so that the backend is tried again.
    fn send_cost(&self, request: &Request, backend: &Backend, jitter: f64) -> f64 {
        let failure_rate = backend.failure_rate.decayed(self.now, SLOWNESS_DECAY_TIME_CONSTANT);
        let was_tried = request.attempts.iter().any(|attempt| attempt.backend == backend.member.backend);
        let repeat_penalty = if was_tried { REPEATED_BACKEND_PENALTY } else { 0.0 };
        let penalty = 1.0 + FAILURE_PENALTY * failure_rate + repeat_penalty;
        if self.has_many_nodes() {
            let slowness = backend.slowness(self.now, &self.settings.rules).max(MIN_SHARED_SLOWNESS);
            let load = (f64::from(backend.in_flight) + 1.0) * slowness;
            load * penalty * (1.0 + SHARED_PICK_JITTER * jitter)
        } else {
            self.expected_delay(request, backend) * penalty * (1.0 + PICK_JITTER * jitter)
        }
    }
}

/// A pseudo-random index below `count`; advances `position`.
fn next_sample(position: &mut u64, count: usize) -> usize {
    *position = position.wrapping_add(SPLITMIX_INCREMENT);
    (hash_mix(*position) % count as u64) as usize
}
