//! Overflow between zones, the core of the design: requests stay in the home zone while it is under its
//! threshold, go to the best-scored other zone otherwise, and stay at home if no other zone qualifies.

use super::tuning::{
    MAX_LOAD_UTILISATION, MIN_EXPECTED_ARRIVALS, OVERFLOW_GAIN, OVERFLOW_THRESHOLD,
    SHARED_OVERFLOW_THRESHOLD, WAIT_FOR_HOME_SHARE, WAIT_FOR_HOME_UTILISATION,
};
use crate::api::{BackendId, Nanos, RequestId, SECOND, Weights, ZoneId};
use crate::state::Balancer;

impl Balancer {
    /// The utilisation at which a zone starts to overflow.
    pub(super) fn overflow_threshold(&self) -> f64 {
        if self.has_many_nodes() { SHARED_OVERFLOW_THRESHOLD } else { OVERFLOW_THRESHOLD }
    }

    /// Chooses a backend for a request. `None` if the request is better queued.
    pub(super) fn choose_backend(&mut self, id: RequestId) -> Option<BackendId> {
        let home = self.settings.home;
        let stays_home = self.stays_home();
        if stays_home && let Some(to) = self.choose_in_zone(id, home) {
            return Some(to);
        }
        if stays_home && self.home_zone_allowed(id) && self.waits_for_home(id) {
            return None;
        }
        let best = self.overflow_zones.first().copied().filter(|_| self.qualified_zones > 0);
        if let Some(to) = best.and_then(|zone| self.choose_in_zone(id, zone)) {
            return Some(to);
        }
        if !stays_home && let Some(to) = self.choose_in_zone(id, home) {
            return Some(to);
        }
        // Exception: home can serve nothing in time (full, ejected, warming up or empty); any reachable zone
        // with a suitable backend is used.
        let reachable = self.overflow_zones.iter().filter(|&&zone| !self.is_unreachable(zone));
        reachable.into_iter().find_map(|&zone| self.choose_in_zone(id, zone))
    }

    /// Whether the request is to stay in the home zone: with few nodes, while home is under its threshold.
    ///
    /// Exception: if many nodes left an overloaded zone at the same time, they would overload the next zone.
    /// With many nodes each request therefore overflows at random, with a probability that follows the excess
    /// load.
    fn stays_home(&mut self) -> bool {
        let home = self.settings.home;
        if self.has_many_nodes() {
            return self.random.next_unit() >= self.zones[home.0 as usize].overflow_share;
        }
        self.utilisation(home).is_none_or(|utilisation| utilisation < self.overflow_threshold())
    }

    /// Whether a request waits for capacity at home that is about to become free, instead of crossing zones:
    /// home is far below its threshold by its reports, and the wait is short compared to the latency target.
    fn waits_for_home(&self, id: RequestId) -> bool {
        if self.has_many_nodes() {
            return false;
        }
        let utilisation = self.utilisation(self.settings.home);
        let has_capacity = utilisation.is_some_and(|utilisation| utilisation < WAIT_FOR_HOME_UTILISATION);
        if !has_capacity {
            return false;
        }
        let unsent = self.requests.get(&id).filter(|request| request.attempts.is_empty());
        unsent.is_some_and(|request| {
            let target = self.settings.classes[request.class].latency_target;
            self.now + target < request.target_at + (WAIT_FOR_HOME_SHARE * target as f64) as Nanos
        })
    }

    /// If lists carry no loads, updates the overflow share from the reported utilisation, once a second.
    pub(super) fn update_overflow_share_by_reports(&mut self) {
        let lists_bring_loads = self.settings.weights == Weights::Live;
        if lists_bring_loads || !self.has_many_nodes() || self.now < self.overflow_share_at {
            return;
        }
        self.overflow_share_at = self.now + SECOND;
        for zone in 0..self.settings.zones {
            let utilisation = self.utilisation(ZoneId(zone)).unwrap_or(0.0).min(MAX_LOAD_UTILISATION);
            self.zones[zone as usize].load_per_core = utilisation / (1.0 - utilisation);
        }
        self.update_overflow_share();
    }

    /// Adjusts the overflow share, which is used with many nodes, so that the loads of the zones even out
    /// over the arrivals expected until the next loads are received.
    pub(super) fn update_overflow_share(&mut self) {
        let home = self.settings.home.0 as usize;
        let home_backends = self.zones[home].in_service.max(1.0);
        let expected_arrivals = (self.arrival_rate() * self.nodes_per_zone() * 2.0 * self.list_interval_s
            / home_backends)
            .max(MIN_EXPECTED_ARRIVALS);
        let target_load = SHARED_OVERFLOW_THRESHOLD / (1.0 - SHARED_OVERFLOW_THRESHOLD);
        let best = self.overflow_zones.first().filter(|_| self.qualified_zones > 0);
        // Crossing zones has a cost: the other zone's load must be lower by at least one request per core.
        let limit = best
            .map_or(f64::INFINITY, |zone| (self.zones[zone.0 as usize].load_per_core + 1.0).max(target_load));
        let view = &mut self.zones[home];
        let excess = view.load_per_core - limit;
        let step = OVERFLOW_GAIN * excess.max(-view.load_per_core) / expected_arrivals;
        view.overflow_share = (view.overflow_share + step).clamp(0.0, 1.0);
    }
}
