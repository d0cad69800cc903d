//! Zone scoring: the utilisation of each zone, and the order in which the other zones take home's overflow.

use super::tuning::{
    HEADROOM_WEIGHT, LATENCY_WEIGHT, MIN_LATENCY_GROWTH, MIN_OVERFLOW_GAIN, MIN_REPORTING_BACKENDS,
    REFRESH_INTERVAL, REFRESH_JITTER, UNREACHABLE_SHARE, UTILISATION_TIME_CONSTANT,
};
use crate::api::{Action, Nanos, ZoneId};
use crate::state::Balancer;

struct ZoneScore {
    qualifies: bool,
    score: f64,
    zone: ZoneId,
}

/// Score of a zone without reports: it qualifies with the lowest score, so that a send can reveal its load.
const NO_REPORTS_SCORE: f64 = -1.0;

impl Balancer {
    /// Utilisation of a zone: smoothed reports, scaled up by this node's growth in requests in flight since
    /// the reports. Never scaled down: during a short lull, a zone that was reported full would look free.
    /// `None` if too few backends report.
    pub(crate) fn utilisation(&self, zone: ZoneId) -> Option<f64> {
        let view = self.zones.get(zone.0 as usize)?;
        let reported = self.zone_utilisation(zone);
        let required_reports = MIN_REPORTING_BACKENDS.min(reported.usable_backends.div_ceil(2));
        if self.probe_scheduler.is_some() && reported.reporting_backends < required_reports {
            return None;
        }
        let weight = reported.total_weight;
        (weight > 0.0).then(|| {
            let in_flight_at_report = view.smoothed_in_flight_at(self.now, UTILISATION_TIME_CONSTANT);
            let growth = (view.in_flight + weight) / (in_flight_at_report + weight);
            reported.used_weight / weight * growth.max(1.0)
        })
    }

    /// Whether the last probes reached so few of a zone's backends that the zone counts as cut off: by its
    /// old reports, or without any, it would look free.
    pub(super) fn is_unreachable(&self, zone: ZoneId) -> bool {
        let unreachable = self.zone_utilisation(zone).unreachable_backends as f64;
        unreachable > 0.0 && unreachable >= UNREACHABLE_SHARE * self.zones[zone.0 as usize].in_service
    }

    /// Recomputes, at the refresh interval, the values derived from all backends and classes: class values,
    /// capacities, and the order of the overflow zones.
    pub(super) fn refresh_overflow_zones(&mut self, actions: &mut Vec<Action>) {
        if self.now < self.refresh_at {
            return;
        }
        let jitter = (self.random.next_unit() * REFRESH_INTERVAL as f64 * REFRESH_JITTER) as Nanos;
        self.refresh_at = self.now + REFRESH_INTERVAL + jitter;
        self.update_class_values();
        self.measure_served_capacity();
        for zone in &mut self.zones {
            zone.min_latency = zone.min_latency.map(|latency| latency * MIN_LATENCY_GROWTH);
        }
        self.rank_overflow_zones();
        self.update_overflow_share_by_reports();
        if self.has_many_nodes() {
            self.record_overdue_attempts();
        }
        self.update_probe_priorities();
        self.log_counters(actions);
        self.log_overflow_changes(actions);
    }

    /// Sorts the other zones: qualified zones first, then by descending score.
    fn rank_overflow_zones(&mut self) {
        let home = self.settings.home;
        let others = (0..self.settings.zones).map(ZoneId).filter(|&zone| zone != home);
        let latency = |zone: ZoneId| self.zones[zone.0 as usize].min_latency;
        let max_latency = others.clone().filter_map(latency).fold(1.0, f64::max);
        let max_utilisation = self.max_overflow_utilisation();
        let mut scores: Vec<ZoneScore> =
            others.map(|zone| self.score_zone(zone, max_utilisation, max_latency)).collect();
        scores.sort_by(|a, b| {
            b.qualifies.cmp(&a.qualifies).then(b.score.total_cmp(&a.score)).then(a.zone.cmp(&b.zone))
        });
        self.qualified_zones = scores.iter().filter(|score| score.qualifies).count();
        self.overflow_zones = scores.into_iter().map(|score| score.zone).collect();
    }

    /// Utilisation below which a zone takes overflow. A zone that is only a little better than home would
    /// send as much back, and both would pay for the crossing.
    fn max_overflow_utilisation(&self) -> f64 {
        let threshold = self.overflow_threshold();
        match self.utilisation(self.settings.home) {
            Some(utilisation) if !self.has_many_nodes() => threshold.min(utilisation - MIN_OVERFLOW_GAIN),
            _ => threshold,
        }
    }

    fn score_zone(&self, zone: ZoneId, max_utilisation: f64, max_latency: f64) -> ZoneScore {
        let Some(utilisation) = self.utilisation(zone) else {
            return ZoneScore { qualifies: !self.is_unreachable(zone), score: NO_REPORTS_SCORE, zone };
        };
        let headroom = 1.0 - utilisation;
        let latency = self.zones[zone.0 as usize].min_latency.unwrap_or(max_latency);
        let latency_saved = (max_latency - latency) / max_latency;
        ZoneScore {
            qualifies: utilisation < max_utilisation && !self.is_unreachable(zone),
            score: HEADROOM_WEIGHT * headroom + LATENCY_WEIGHT * latency_saved,
            zone,
        }
    }

    fn log_overflow_changes(&mut self, actions: &mut Vec<Action>) {
        let home = self.settings.home;
        let utilisation = self.utilisation(home);
        let threshold = self.overflow_threshold();
        let is_overflowing = utilisation.is_some_and(|utilisation| utilisation >= threshold);
        let view = &mut self.zones[home.0 as usize];
        let was_overflowing = std::mem::replace(&mut view.is_overflowing, is_overflowing);
        if was_overflowing == is_overflowing {
            return;
        }
        let best = self.overflow_zones.first().map_or(home.0, |zone| zone.0);
        let reported = self.zone_utilisation(home);
        self.log_rate_limited(actions, || {
            format!(
                "home zone {} at {:.2} by {} of {} backends; the best other one is {best}",
                if is_overflowing { "spills" } else { "serves" },
                utilisation.unwrap_or(f64::NAN),
                reported.reporting_backends,
                reported.usable_backends
            )
        });
    }
}
