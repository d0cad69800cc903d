//! The reported utilisation of each zone, cached so that not every decision iterates over all backends.

use crate::api::{BackendId, Nanos, ZoneId};
use crate::policy::tuning::{MAX_SCANNED_BACKENDS, REFRESH_INTERVAL, UTILISATION_MAX_AGE};
use crate::state::{Backend, Balancer, ZoneUtilisation};

impl Balancer {
    /// The utilisation of a zone, recomputed if the cached value is no longer valid.
    pub(crate) fn zone_utilisation(&self, zone: ZoneId) -> ZoneUtilisation {
        let cached = self.cached_zone_utilisation[zone.0 as usize].get();
        cached
            .filter(|cached| self.now < cached.valid_until)
            .unwrap_or_else(|| self.compute_zone_utilisation(zone))
    }

    /// Discards the cached utilisation of a zone after an event that changes it. The utilisation of a large
    /// zone stays cached until it expires: it would otherwise be recomputed for every response.
    pub(crate) fn invalidate_zone_utilisation(&self, zone: ZoneId) {
        let zone = zone.0 as usize;
        if self.zone_backends.get(zone).is_some_and(|members| members.len() <= MAX_SCANNED_BACKENDS) {
            self.cached_zone_utilisation[zone].set(None);
        }
    }

    fn compute_zone_utilisation(&self, zone: ZoneId) -> ZoneUtilisation {
        let members = &self.zone_backends[zone.0 as usize];
        let mut sum = ZoneUtilisation {
            used_weight: 0.0,
            total_weight: 0.0,
            usable_backends: 0,
            reporting_backends: 0,
            unreachable_backends: 0,
            valid_until: Nanos::MAX,
        };
        if members.len() > MAX_SCANNED_BACKENDS {
            // One iteration over all backends is faster than this many look-ups.
            let in_zone = self.backends.values().filter(|backend| backend.member.zone == zone);
            in_zone.for_each(|backend| self.add_backend(&mut sum, backend));
            sum.valid_until = sum.valid_until.min(self.now + REFRESH_INTERVAL);
        } else {
            let backend = |id: &BackendId| self.backends.get(id);
            members.iter().filter_map(backend).for_each(|backend| self.add_backend(&mut sum, backend));
        }
        self.cached_zone_utilisation[zone.0 as usize].set(Some(sum));
        sum
    }

    fn add_backend(&self, sum: &mut ZoneUtilisation, backend: &Backend) {
        sum.unreachable_backends += usize::from(backend.unreachable && backend.is_in_service());
        if let Some(change_at) = self.usable_changes_at(backend) {
            sum.valid_until = sum.valid_until.min(change_at);
        }
        let is_usable = self.is_usable(backend);
        let may_be_sent_to = is_usable && backend.is_in_service();
        sum.usable_backends += usize::from(may_be_sent_to);
        if is_usable && backend.utilisation.is_fresh(self.now, UTILISATION_MAX_AGE) {
            let reported_at = backend.utilisation.updated_at.unwrap_or(self.now);
            sum.valid_until = sum.valid_until.min(reported_at + UTILISATION_MAX_AGE);
            sum.reporting_backends += usize::from(may_be_sent_to);
            sum.used_weight += backend.utilisation.value * backend.weight();
            sum.total_weight += backend.weight();
        }
    }
}
