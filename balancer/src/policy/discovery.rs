//! Discovery: applies lists of backends and their weights, and schedules polls of discovery after failures.

use super::tuning::{
    DISCOVERY_BACKOFF, LIST_INTERVAL_SMOOTHING, MAX_DISCOVERY_DOUBLINGS, MAX_LIST_INTERVAL_S,
    MIN_REPORT_WEIGHT, SUBSET_SIZE, UTILISATION_TIME_CONSTANT,
};
use crate::api::{ListScope, Member, Nanos, SECOND, Weights};
use crate::state::Balancer;

/// Sum of the listed loads of a zone's backends.
#[derive(Clone, Copy, Default)]
struct ListedLoads {
    backend_count: f64,
    load: f64,
}

impl Balancer {
    /// Applies a list of backends, or changes to it, from discovery or from the node's cache.
    pub(super) fn on_membership(&mut self, scope: ListScope, mut members: Vec<Member>) {
        if scope != ListScope::Cached {
            self.discovery_failures = 0;
        }
        let started_at = |id| self.backends.get(&id).and_then(|backend| backend.member.online_since);
        self.removal_notices.apply(scope, &mut members, started_at, self.now);
        self.apply_membership(scope, members, SUBSET_SIZE);
        if self.settings.weights == Weights::Live && scope != ListScope::Cached {
            self.apply_live_weights();
        }
    }

    /// Derives loads and utilisations from the live weights of a list. All nodes receive the same weights,
    /// with a delay.
    fn apply_live_weights(&mut self) {
        let interval_s =
            self.list_received_at.map_or(1.0, |at| self.now.saturating_sub(at) as f64 / SECOND as f64);
        self.list_interval_s +=
            (interval_s.min(MAX_LIST_INTERVAL_S) - self.list_interval_s) * LIST_INTERVAL_SMOOTHING;
        self.list_received_at = Some(self.now);
        let mut by_zone = vec![ListedLoads::default(); self.zones.len()];
        for backend in self.backends.values_mut().filter(|backend| backend.is_in_service()) {
            let Some(zone) = by_zone.get_mut(backend.member.zone.0 as usize) else { continue };
            let Some(load) = backend.listed_load else { continue };
            zone.backend_count += 1.0;
            zone.load += load;
            let utilisation = load / (1.0 + load);
            backend.utilisation.update(self.now, utilisation, UTILISATION_TIME_CONSTANT, MIN_REPORT_WEIGHT);
        }
        for (zone, listed) in self.zones.iter_mut().zip(&by_zone) {
            zone.load_per_core = listed.load / f64::max(listed.backend_count, 1.0);
        }
        self.cached_zone_utilisation.iter().for_each(|utilisation| utilisation.set(None));
        self.update_overflow_share();
    }

    /// Schedules the next poll after a failed call, with exponential backoff and jitter.
    pub(super) fn schedule_poll(&mut self) {
        let doublings = self.discovery_failures.min(MAX_DISCOVERY_DOUBLINGS);
        let jitter = 0.75 + 0.5 * self.random.next_unit();
        let backoff = (DISCOVERY_BACKOFF << doublings) as f64 * jitter;
        self.discovery_failures += 1;
        self.poll_at = Some(self.now + backoff as Nanos);
    }
}
