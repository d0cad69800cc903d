//! Health: outliers are ejected and tried again.

use super::figures::*;
use crate::api::*;
use crate::state::*;

impl Balancer {
    pub(crate) fn is_usable(&self, backend: &Backend) -> bool {
        if self.now < backend.backoff_until {
            return false;
        }
        match backend.health {
            Health::Healthy => true,
            Health::Ejected { until } => self.now >= until && backend.in_flight == 0,
            Health::HalfOpen { .. } => backend.in_flight == 0,
        }
    }

    /// When the time, and nothing else, makes a backend usable next.
    pub(crate) fn usable_changes_at(&self, backend: &Backend) -> Option<Nanos> {
        let ejected = match backend.health {
            Health::Ejected { until } => until,
            _ => 0,
        };
        [backend.backoff_until, ejected].into_iter().filter(|&until| until > self.now).min()
    }

    /// Ejects an outlier, readmits after two served trials.
    pub(super) fn update_health(&mut self, id: BackendId, outcome: Outcome, actions: &mut Vec<Action>) {
        let weight = match outcome {
            Outcome::Served => 0,
            // A connection may break on the way, between two that are well; a refused one tells more.
            Outcome::Error
            | Outcome::InvalidResponse
            | Outcome::TimedOut
            | Outcome::Rejected
            | Outcome::Reset => 1,
            Outcome::ConnectFailed => 2,
            Outcome::Cancelled | Outcome::NotSent => return,
        };
        let turned_away =
            outcome == Outcome::Rejected || (outcome == Outcome::ConnectFailed && self.has_many_nodes());
        let Some(backend) = self.backends.get_mut(&id) else { return };
        let (zone, sound) = (backend.member.zone, backend.health == Health::Healthy);
        if turned_away || !sound {
            self.invalidate_zone_utilisation(zone);
        }
        let Some(backend) = self.backends.get_mut(&id) else { return };
        // Sent away at once, again and again, a backend looks idle and would draw all traffic. With many
        // nodes a refused connection may mean a full table just as well as a dead process.
        if turned_away {
            backend.backoff_until =
                self.now + (BASE_REJECTION_BACKOFF << backend.consecutive_rejections.min(4));
            backend.consecutive_rejections += 1;
            return;
        }
        backend.consecutive_rejections = 0;
        // What comes back spoilt comes from all alike, or is the fault of the request: it tells little.
        let told = if outcome == Outcome::InvalidResponse { 0.5 } else { 1.0 };
        backend.failure_rate.update(self.now, if weight > 0 { told } else { 0.0 }, SECOND, 0.1);
        if weight == 0 {
            backend.consecutive_failures = 0;
            match backend.health {
                Health::HalfOpen { served: 0 } => backend.health = Health::HalfOpen { served: 1 },
                Health::HalfOpen { .. } => {
                    backend.health = Health::Healthy;
                    self.ejected_count = self.ejected_count.saturating_sub(1);
                    backend.ejections = backend.ejections.saturating_sub(1);
                    self.log_rate_limited(actions, || format!("backend {} readmitted: trials served", id.0));
                }
                _ => {}
            }
            return;
        }
        backend.consecutive_failures += weight;
        let (listed, ejected) = (self.in_service_count as f64, self.ejected_count as f64);
        // The sum over very many is made no more often than the overflow target is.
        if self.backends.len() <= MAX_SCANNED_BACKENDS
            || self.now >= self.total_failure_rate.1 + REFRESH_INTERVAL
        {
            self.total_failure_rate = (self.backends.values().map(|b| b.failure_rate.value).sum(), self.now);
        }
        let failing = self.total_failure_rate.0 / listed.max(1.0);
        let Some(backend) = self.backends.get_mut(&id) else { return };
        let outlier = backend.consecutive_failures >= CONSECUTIVE_FAILURES_TO_EJECT
            && backend.failure_rate.value > 2.0 * failing.min(0.4);
        let failed_trial = told == 1.0 && matches!(backend.health, Health::HalfOpen { .. });
        let room = ejected + 1.0 <= listed * MAX_EJECTED_SHARE;
        if failed_trial || (outlier && room && backend.health == Health::Healthy) {
            let span = BASE_EJECTION_TIME << backend.ejections.min(5);
            backend.ejections += 1;
            backend.consecutive_failures = 0;
            self.ejected_count += usize::from(backend.health == Health::Healthy);
            backend.health = Health::Ejected { until: self.now + span };
            self.invalidate_zone_utilisation(zone);
            self.log_rate_limited(actions, || {
                format!("backend {} ejected for {} ms: {outcome:?}", id.0, span / MS)
            });
        }
    }
}
