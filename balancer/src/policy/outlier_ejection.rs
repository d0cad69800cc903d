//! Outlier ejection: failing backends are ejected, receive single trial requests, and are readmitted.

use super::tuning::{
    BASE_EJECTION_TIME, BASE_REJECTION_BACKOFF, CONSECUTIVE_FAILURES_TO_EJECT, FAILURE_RATE_TIME_CONSTANT,
    INVALID_RESPONSE_FAILURE, MAX_EJECTED_SHARE, MAX_EJECTION_DOUBLINGS, MAX_MEAN_FAILURE_RATE,
    MAX_REJECTION_DOUBLINGS, MAX_SCANNED_BACKENDS, MIN_FAILURE_WEIGHT, OUTLIER_FAILURE_RATIO,
    REFRESH_INTERVAL,
};
use crate::api::{Action, BackendId, MILLISECOND, Nanos, Outcome};
use crate::state::{Backend, Balancer, FailureRateSum, Health};

/// What the outcome of an attempt or a probe says about the health of its backend.
enum HealthSignal {
    Success,
    /// `consecutive` is added to the consecutive failures, `rate` is a sample of the failure rate.
    Failure {
        consecutive: u32,
        rate: f64,
    },
    None,
}

impl HealthSignal {
    fn of(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Served => Self::Success,
            Outcome::InvalidResponse => Self::Failure { consecutive: 1, rate: INVALID_RESPONSE_FAILURE },
            // A reset connection may be due to the network between two healthy ends; a refused connection is
            // a stronger sign of a fault.
            Outcome::Error | Outcome::TimedOut | Outcome::Rejected | Outcome::Reset => {
                Self::Failure { consecutive: 1, rate: 1.0 }
            }
            Outcome::ConnectFailed | Outcome::Misdirected => Self::Failure { consecutive: 2, rate: 1.0 },
            Outcome::Cancelled | Outcome::NotSent => Self::None,
        }
    }
}

impl Balancer {
    /// Whether the health of a backend allows a request or a trial request now.
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

    /// The next time at which the end of a backoff or an ejection may make the backend usable.
    pub(crate) fn usable_changes_at(&self, backend: &Backend) -> Option<Nanos> {
        let ejected_until = match backend.health {
            Health::Ejected { until } => until,
            _ => 0,
        };
        [backend.backoff_until, ejected_until].into_iter().filter(|&until| until > self.now).min()
    }

    /// Updates the health of a backend by the outcome of an attempt or a probe: ejects an outlier, and
    /// readmits a backend after two served trials.
    pub(super) fn update_health(&mut self, id: BackendId, outcome: Outcome, actions: &mut Vec<Action>) {
        let signal = HealthSignal::of(outcome);
        let Some(backend) = self.backends.get(&id) else { return };
        // With many nodes, a refused connection may be due to a full connection table as well as to a dead
        // process.
        let is_rejection =
            outcome == Outcome::Rejected || (outcome == Outcome::ConnectFailed && self.has_many_nodes());
        if matches!(signal, HealthSignal::None) {
            return;
        }
        if is_rejection || backend.health != Health::Healthy {
            self.invalidate_zone_utilisation(backend.member.zone);
        }
        if is_rejection {
            return self.back_off(id);
        }
        match signal {
            HealthSignal::Success => self.record_success(id, actions),
            HealthSignal::Failure { consecutive, rate } => {
                self.record_failure(id, consecutive, rate);
                if self.should_eject(id, rate) {
                    self.eject(id, outcome, actions);
                }
            }
            HealthSignal::None => {}
        }
    }

    /// Stops sends to a backend that rejected an attempt, for a time that doubles with consecutive
    /// rejections. Without this, a backend that rejects immediately would look idle and attract all traffic.
    fn back_off(&mut self, id: BackendId) {
        let Some(backend) = self.backends.get_mut(&id) else { return };
        let doublings = backend.consecutive_rejections.min(MAX_REJECTION_DOUBLINGS);
        backend.backoff_until = self.now + (BASE_REJECTION_BACKOFF << doublings);
        backend.consecutive_rejections += 1;
    }

    fn record_success(&mut self, id: BackendId, actions: &mut Vec<Action>) {
        let Some(backend) = self.backends.get_mut(&id) else { return };
        backend.consecutive_rejections = 0;
        backend.failure_rate.update(self.now, 0.0, FAILURE_RATE_TIME_CONSTANT, MIN_FAILURE_WEIGHT);
        backend.consecutive_failures = 0;
        match backend.health {
            Health::HalfOpen { served_trials: 0 } => backend.health = Health::HalfOpen { served_trials: 1 },
            Health::HalfOpen { .. } => {
                backend.health = Health::Healthy;
                backend.ejections = backend.ejections.saturating_sub(1);
                self.ejected_count = self.ejected_count.saturating_sub(1);
                self.log_rate_limited(actions, || format!("backend {} readmitted: trials served", id.0));
            }
            _ => {}
        }
    }

    fn record_failure(&mut self, id: BackendId, consecutive: u32, rate: f64) {
        let Some(backend) = self.backends.get_mut(&id) else { return };
        backend.consecutive_rejections = 0;
        backend.failure_rate.update(self.now, rate, FAILURE_RATE_TIME_CONSTANT, MIN_FAILURE_WEIGHT);
        backend.consecutive_failures += consecutive;
    }

    /// Whether a backend that has just failed is to be ejected: it failed its trial request, or it is an
    /// outlier and the maximum ejected share is not reached.
    fn should_eject(&mut self, id: BackendId, rate: f64) -> bool {
        let in_service = self.in_service_count as f64;
        let mean_failure_rate = self.total_failure_rate() / in_service.max(1.0);
        let Some(backend) = self.backends.get(&id) else { return false };
        let outlier_rate = OUTLIER_FAILURE_RATIO * mean_failure_rate.min(MAX_MEAN_FAILURE_RATE);
        let is_outlier = backend.consecutive_failures >= CONSECUTIVE_FAILURES_TO_EJECT
            && backend.failure_rate.value > outlier_rate;
        let failed_trial = rate == 1.0 && matches!(backend.health, Health::HalfOpen { .. });
        let may_eject = self.ejected_count as f64 + 1.0 <= in_service * MAX_EJECTED_SHARE;
        failed_trial || (is_outlier && may_eject && backend.health == Health::Healthy)
    }

    /// The sum of the failure rates of all backends. With very many backends it is computed no more often
    /// than the overflow zones are scored.
    fn total_failure_rate(&mut self) -> f64 {
        let is_stale = self.now >= self.total_failure_rate.computed_at + REFRESH_INTERVAL;
        if self.backends.len() <= MAX_SCANNED_BACKENDS || is_stale {
            let value = self.backends.values().map(|backend| backend.failure_rate.value).sum();
            self.total_failure_rate = FailureRateSum { value, computed_at: self.now };
        }
        self.total_failure_rate.value
    }

    fn eject(&mut self, id: BackendId, outcome: Outcome, actions: &mut Vec<Action>) {
        let Some(backend) = self.backends.get_mut(&id) else { return };
        let zone = backend.member.zone;
        let ejection_time = BASE_EJECTION_TIME << backend.ejections.min(MAX_EJECTION_DOUBLINGS);
        backend.ejections += 1;
        backend.consecutive_failures = 0;
        self.ejected_count += usize::from(backend.health == Health::Healthy);
        backend.health = Health::Ejected { until: self.now + ejection_time };
        self.invalidate_zone_utilisation(zone);
        self.log_rate_limited(actions, || {
            format!("backend {} ejected for {} ms: {outcome:?}", id.0, ejection_time / MILLISECOND)
        });
    }
}
