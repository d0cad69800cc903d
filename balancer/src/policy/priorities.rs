//! Priorities: the value of each class's work, the load limit of each class, and tenants' quotas.

use super::tuning::{
    ADMISSION_SHARE, LOWER_PRIORITY_SHARE, MAX_QUEUEING_RATIO, MIN_CLASS_RATE, MIN_LOAD_LIMIT,
    QUOTA_TOLERANCE,
};
use crate::state::Balancer;

/// Lower bound of divisors, so that no class gets an infinite value.
const MIN_DIVISOR: f64 = 1e-9;

/// Requests per second of a class.
#[derive(Clone, Copy)]
struct ClassRates {
    arrivals: f64,
    served: f64,
}

impl ClassRates {
    fn served_share(self) -> f64 {
        if self.arrivals > 0.0 { self.served / self.arrivals } else { 1.0 }
    }
}

impl Balancer {
    /// Updates the value of a unit of each class's work, and the load limit of each class.
    pub(super) fn update_class_values(&mut self) {
        let now = self.now;
        let rates = self.classes.iter().map(|class| ClassRates {
            arrivals: class.arrivals.per_second(now),
            served: class.served.per_second(now),
        });
        let rates: Vec<ClassRates> = rates.collect();
        self.update_value_densities(&rates);
        self.update_load_limits(&rates);
    }

    /// Updates the value of a unit of each class's work: the configured value of a request relative to the
    /// value offered per second by all classes, with an addition for the worst-served class by
    /// `worst_class_weight`.
    fn update_value_densities(&mut self, rates: &[ClassRates]) {
        let worst_class_weight = self.settings.worst_class_weight.min(1.0);
        let offered_value: f64 =
            rates.iter().zip(&self.settings.classes).map(|(rate, class)| rate.arrivals * class.value).sum();
        let worst_served_share = rates.iter().map(|rate| rate.served_share()).fold(1.0, f64::min);
        for ((view, class), rate) in self.classes.iter_mut().zip(&self.settings.classes).zip(rates) {
            let mut value = (1.0 - worst_class_weight) * class.value / offered_value.max(MIN_DIVISOR);
            if rate.served_share() <= worst_served_share {
                value += worst_class_weight / rate.arrivals.max(MIN_DIVISOR);
            }
            view.value_density =
                if self.settings.value_per_work { value } else { value / view.idle_latency.max(1.0) };
        }
    }

    /// Updates the load limit of each class, which is at most `LOWER_PRIORITY_SHARE` of the limit of the next
    /// more valuable class. Otherwise less valuable classes with a long latency target would fill the
    /// backends beyond the limit of a valuable class with a short target.
    fn update_load_limits(&mut self, rates: &[ClassRates]) {
        let mut limit = f64::INFINITY;
        let by_value = self.classes_by_value();
        for class in by_value.into_iter().filter(|&class| rates[class].arrivals > MIN_CLASS_RATE) {
            let target = self.settings.classes[class].latency_target as f64;
            let max_latency = MAX_QUEUEING_RATIO * self.classes[class].idle_latency;
            let before_queueing = self.load_for_latency(class, max_latency).max(MIN_LOAD_LIMIT);
            let within_target = self.load_for_latency(class, ADMISSION_SHARE * target);
            limit = (limit * LOWER_PRIORITY_SHARE).min(before_queueing).min(within_target);
            self.classes[class].load_limit = limit;
        }
    }

    /// Share of a tenant's requests that exceeds this node's part of the tenant's quota; 0 if the tenant is
    /// not known.
    pub(super) fn over_quota_fraction(&self, tenant: usize) -> f64 {
        let arrivals = self.tenant_arrivals.get(tenant);
        let Some((arrivals, quota)) = arrivals.zip(self.settings.tenant_quotas.get(tenant)) else {
            return 0.0;
        };
        if self.settings.over_quota_value >= 1.0 {
            return 0.0;
        }
        let nodes = f64::from(self.settings.nodes);
        let within_quota = quota / nodes / arrivals.per_second(self.now).max(MIN_DIVISOR);
        (1.0 - QUOTA_TOLERANCE * within_quota).max(0.0)
    }
}
