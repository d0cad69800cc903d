//! Measures how much of this node's work is served per unit of used capacity.

use crate::policy::tuning::{
    CAPACITY_FALL_RATE, CAPACITY_RISE_RATE, MIN_MEASURED_UTILISATION, UTILISATION_MAX_AGE,
};
use crate::state::{Backend, Balancer};

/// One more measurement is skipped per this many backends, as iterating over very many backends is expensive.
const BACKENDS_PER_SKIP: usize = 1024;

/// Work served by a set of backends, and their used capacity.
#[derive(Clone, Copy, Default)]
struct ServedCapacity {
    served_work: f64,
    used_capacity: f64,
}

impl ServedCapacity {
    fn add(&mut self, other: Self) {
        self.served_work += other.served_work;
        self.used_capacity += other.used_capacity;
    }

    fn per_unit(self) -> f64 {
        if self.used_capacity > 0.0 { self.served_work / self.used_capacity } else { 0.0 }
    }
}

impl Balancer {
    /// Updates the work served per unit of used capacity in each zone; the values of all nodes add up to the
    /// work that one unit of capacity serves. The measured value falls slowly: little is served in
    /// congestion, and backends that are warming up are needed to end the congestion.
    pub(crate) fn measure_served_capacity(&mut self) {
        let interval = 1 + self.backends.len() / BACKENDS_PER_SKIP;
        self.refresh_count += 1;
        if !self.refresh_count.is_multiple_of(interval) {
            return;
        }
        let by_zone = self.served_capacity_by_zone();
        let mut total = ServedCapacity::default();
        by_zone.iter().for_each(|zone| total.add(*zone));
        let even_share = total.per_unit() / f64::from(self.settings.nodes);
        for (zone, measured) in self.zones.iter_mut().zip(by_zone) {
            let change = measured.per_unit().max(even_share) - zone.served_per_capacity;
            let rate = if change > 0.0 { CAPACITY_RISE_RATE } else { CAPACITY_FALL_RATE };
            let step = interval as f64 * rate;
            zone.served_per_capacity += change * step.min(1.0);
        }
    }

    /// Sums up the warm backends with a recent report.
    fn served_capacity_by_zone(&self) -> Vec<ServedCapacity> {
        let mut by_zone = vec![ServedCapacity::default(); self.zones.len()];
        let (now, rules) = (self.now, &self.settings.rules);
        let is_measured = |backend: &&Backend| {
            backend.capacity_share(now, rules) >= 1.0
                && backend.utilisation.is_fresh(now, UTILISATION_MAX_AGE)
        };
        for backend in self.backends.values().filter(is_measured) {
            if let Some(zone) = by_zone.get_mut(backend.member.zone.0 as usize) {
                zone.add(ServedCapacity {
                    served_work: backend.served_work.per_second(now),
                    used_capacity: backend.weight() * backend.utilisation.value.max(MIN_MEASURED_UTILISATION),
                });
            }
        }
        by_zone
    }
}
