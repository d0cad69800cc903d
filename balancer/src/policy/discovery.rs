//! The list of backends, what its weights say, and when discovery is asked again.

use super::figures::*;
use crate::api::*;
use crate::state::*;

impl Balancer {
    pub(super) fn on_membership(&mut self, scope: ListScope, mut members: Vec<Member>) {
        if scope != ListScope::Cached {
            self.discovery_failures = 0;
        }
        let started = |id| self.backends.get(&id).and_then(|backend| backend.member.online_since);
        self.removal_notices.apply(scope, &mut members, started, self.now);
        self.apply_membership(scope, members, SUBSET_SIZE);
        if self.settings.weights == Weights::Live && scope != ListScope::Cached {
            self.apply_live_weights();
        }
    }

    /// What a list's live weights say, which reach all nodes alike and late.
    pub(super) fn apply_live_weights(&mut self) {
        let period =
            self.list_received_at.map_or(1.0, |at| self.now.saturating_sub(at) as f64 / SECOND as f64);
        self.list_interval_s += (period.min(3.0) - self.list_interval_s) * 0.2;
        self.list_received_at = Some(self.now);
        let mut sums = vec![(0.0, 0.0); self.zones.len()];
        for backend in self.backends.values_mut().filter(|b| b.member.state == BackendState::InService) {
            if let (Some(sum), Some(held)) =
                (sums.get_mut(backend.member.zone.0 as usize), backend.listed_load)
            {
                *sum = (sum.0 + 1.0, sum.1 + held);
                backend.utilisation.update(self.now, held / (1.0 + held), UTILISATION_TIME_CONSTANT, 0.05);
            }
        }
        for (zone, &(count, total)) in self.zones.iter_mut().zip(&sums) {
            zone.load_per_core = total / f64::max(count, 1.0);
        }
        self.cached_zone_utilisation.iter().for_each(|sum| sum.set(None));
        self.update_overflow_share();
    }

    pub(super) fn schedule_poll(&mut self) {
        let wait =
            (DISCOVERY_BACKOFF << self.discovery_failures.min(4)) as f64 * (0.75 + 0.5 * self.random_unit());
        self.discovery_failures += 1;
        self.poll_at = Some(self.now + wait as Nanos);
    }
}
