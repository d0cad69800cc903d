//! The zone choice, which is the design: home under the threshold, else the one best-scored overflow zone,
//! home when none qualifies.

use super::figures::*;
use crate::api::*;
use crate::state::*;

impl Balancer {
    pub(super) fn overflow_threshold(&self) -> f64 {
        if self.has_many_nodes() { SHARED_OVERFLOW_THRESHOLD } else { OVERFLOW_THRESHOLD }
    }

    /// A zone's utilisation: smoothed reports, raised by the own sends since they were made. Never lowered:
    /// a zone reported full would look free in a moment's lull.
    pub(crate) fn utilisation(&self, zone: ZoneId) -> Option<f64> {
        let view = self.zones.get(zone.0 as usize)?;
        let ZoneUtilisation {
            used_weight: used,
            total_weight: size,
            usable_backends: usable,
            reporting_backends: known,
            ..
        } = self.zone_utilisation(zone);
        // Too few figures to stand for the others.
        if self.probe_scheduler.is_some() && known < MIN_REPORTING_BACKENDS.min(usable.div_ceil(2)) {
            return None;
        }
        let own = view.in_flight;
        (size > 0.0).then(|| {
            used / size
                * ((own + size) / (view.smoothed_in_flight_at(self.now, UTILISATION_TIME_CONSTANT) + size))
                    .max(1.0)
        })
    }

    fn zone_utilisation(&self, zone: ZoneId) -> ZoneUtilisation {
        let known =
            self.cached_zone_utilisation[zone.0 as usize].get().filter(|sum| self.now < sum.valid_until);
        known.unwrap_or_else(|| self.compute_zone_utilisation(zone))
    }

    /// Whether so few of a zone's backends were reached by the last probes that it counts as cut off: its old
    /// figures, or none, would make it look free.
    fn is_unreachable(&self, zone: ZoneId) -> bool {
        let dark = self.zone_utilisation(zone).unreachable_backends as f64;
        dark > 0.0 && dark >= UNREACHABLE_SHARE * self.zones[zone.0 as usize].in_service
    }

    /// Scores the other zones. Those under the threshold come first, by score; an unseen zone qualifies
    /// lowest, so that one send learns its figures.
    pub(super) fn refresh_overflow_zones(&mut self, actions: &mut Vec<Action>) {
        if self.now < self.refresh_at {
            return;
        }
        self.refresh_at =
            self.now + REFRESH_INTERVAL + (self.random_unit() * REFRESH_INTERVAL as f64 * 0.1) as Nanos;
        self.update_class_values();
        self.measure_served_capacity();
        for zone in &mut self.zones {
            // Forgotten slowly, so that a link that has become slow shows.
            zone.min_latency = zone.min_latency.map(|least| least * 1.002);
        }
        let (home, threshold) = (self.settings.home, self.overflow_threshold());
        let seen = |zone: &ZoneId| self.zones[zone.0 as usize].min_latency;
        let others = (0..self.settings.zones).map(ZoneId).filter(|&zone| zone != home);
        let farthest = others.clone().filter_map(|zone| seen(&zone)).fold(1.0, f64::max);
        // A zone little better than home would send as much back: both would pay for the crossing.
        let worth_it = match self.utilisation(home) {
            Some(util) if !self.has_many_nodes() => threshold.min(util - MIN_OVERFLOW_GAIN),
            _ => threshold,
        };
        let mut scored: Vec<(bool, f64, ZoneId)> = others
            .map(|zone| match (self.utilisation(zone), seen(&zone)) {
                (Some(util), latency) => {
                    let headroom = 1.0 - util;
                    let saved = (farthest - latency.unwrap_or(farthest)) / farthest;
                    (
                        util < worth_it && !self.is_unreachable(zone),
                        HEADROOM_WEIGHT * headroom + LATENCY_WEIGHT * saved,
                        zone,
                    )
                }
                (None, _) => (!self.is_unreachable(zone), -1.0, zone),
            })
            .collect();
        scored.sort_by(|a, b| b.0.cmp(&a.0).then(b.1.total_cmp(&a.1)).then(a.2.cmp(&b.2)));
        self.qualified_zones = scored.iter().filter(|score| score.0).count();
        self.overflow_zones = scored.into_iter().map(|score| score.2).collect();
        if self.settings.weights != Weights::Live
            && self.has_many_nodes()
            && self.now >= self.overflow_share_at
        {
            self.overflow_share_at = self.now + SECOND;
            for zone in 0..self.settings.zones {
                let util = self.utilisation(ZoneId(zone)).unwrap_or(0.0).min(0.95);
                self.zones[zone as usize].load_per_core = util / (1.0 - util);
            }
            self.update_overflow_share();
        }
        if self.has_many_nodes() {
            self.record_overdue_attempts();
        }
        self.update_probe_interest();
        self.log_counters(actions);
        let spilling = self.utilisation(home).is_some_and(|util| util >= threshold);
        if std::mem::replace(&mut self.zones[home.0 as usize].is_overflowing, spilling) != spilling {
            let to = self.overflow_zones.first().map_or(home.0, |zone| zone.0);
            let does = if spilling { "spills" } else { "serves" };
            let (util, ZoneUtilisation { reporting_backends: known, usable_backends: usable, .. }) =
                (self.utilisation(home), self.zone_utilisation(home));
            let util = util.unwrap_or(f64::NAN);
            self.log_rate_limited(actions, || {
                let by = format!("at {util:.2} by {known} of {usable} backends");
                format!("home zone {does} {by}; the best other one is {to}")
            });
        }
    }

    /// Whether a request waits for a place at home that others are about to leave, rather than cross: home is
    /// far from its threshold by its reports, and the wait short against the aim.
    fn waits_for_home(&self, id: RequestId) -> bool {
        let calm = !self.has_many_nodes()
            && self.utilisation(self.settings.home).is_some_and(|util| util < WAIT_FOR_HOME_UTILISATION);
        let first = self.requests.get(&id).filter(|request| request.attempts.is_empty());
        calm && first.is_some_and(|request| {
            let aim = self.settings.classes[request.class].latency_target;
            self.now + aim < request.target_at + (WAIT_FOR_HOME_SHARE * aim as f64) as Nanos
        })
    }

    /// The backend for a request by the design, or none if it is better held.
    pub(super) fn choose_backend(&mut self, id: RequestId) -> Option<BackendId> {
        let home = self.settings.home;
        // Exception: many nodes that all left an over-used zone at once would pile onto the next; so each
        // request leaves by chance, and the share follows the excess.
        let under = if self.has_many_nodes() {
            self.random_unit() >= self.zones[home.0 as usize].overflow_share
        } else {
            self.utilisation(home).is_none_or(|util| util < self.overflow_threshold())
        };
        if under && let Some(to) = self.pick(id, home) {
            return Some(to);
        }
        if under && self.home_zone_allowed(id) && self.waits_for_home(id) {
            return None;
        }
        let target = self.overflow_zones.first().copied().filter(|_| self.qualified_zones > 0);
        if let Some(to) = target.and_then(|zone| self.pick(id, zone)) {
            return Some(to);
        }
        if !under && let Some(to) = self.pick(id, home) {
            return Some(to);
        }
        // Exception: home can take nothing in time (full, ejected, cold or empty): any zone that can.
        self.overflow_zones
            .iter()
            .filter(|&&zone| !self.is_unreachable(zone))
            .find_map(|&zone| self.pick(id, zone))
    }
}
