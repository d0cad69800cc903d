//! Admission control: whether a backend can serve a request in time, and has spare capacity for it.

use super::tuning::{
    ADMISSION_SHARE, HIGH_UTILISATION, HIGH_UTILISATION_PENALTY, LOW_UTILISATION, LOW_UTILISATION_BONUS,
    LOWER_PRIORITY_SHARE, MAX_IDLE_SLOWNESS, RETRY_ADMISSION_SHARE, SPARE_UTILISATION, UTILISATION_MAX_AGE,
};
use crate::pending_queue::Band;
use crate::state::{Backend, Balancer, Request};

impl Balancer {
    /// Whether the backend is expected to answer the request in time. Having none of this node's requests in
    /// flight is not sufficient: the backend must not be known to be slow either.
    pub(super) fn admits(&self, request: &Request, backend: &Backend) -> bool {
        let is_late = self.now >= request.target_at;
        let response_due_at = if is_late { request.not_after } else { request.target_at };
        let time_left = response_due_at.saturating_sub(self.now) as f64;
        let slowness = backend.slowness(self.now, &self.settings.rules);
        if self.has_many_nodes() {
            return self.fits_window(request, time_left, slowness, backend);
        }
        if self.is_idle(slowness, backend) || self.has_advised_delay(request, backend) {
            return true;
        }
        let budget = self.latency_budget_share(request) * time_left / slowness;
        let band = Band { class: request.class, over_quota: request.over_quota };
        let load = backend.load(self.nodes_per_zone());
        load <= self.load_for_latency(request.class, budget)
            && self.is_within_load_limit(band, slowness, load, backend)
    }

    /// The part of the check in [`Balancer::admits`] that does not depend on the request's remaining time.
    pub(super) fn has_headroom(&self, band: Band, backend: &Backend) -> bool {
        let slowness = backend.slowness(self.now, &self.settings.rules);
        let load = backend.load(self.nodes_per_zone());
        self.is_idle(slowness, backend) || self.is_within_load_limit(band, slowness, load, backend)
    }

    /// Share of the remaining time that the expected latency of a send may take. It is larger for a retry:
    /// holding the retry back until a backend has more capacity would only make its response late.
    pub(super) fn latency_budget_share(&self, request: &Request) -> f64 {
        if request.attempts.is_empty() { ADMISSION_SHARE } else { RETRY_ADMISSION_SHARE }
    }

    /// Whether the backend has none of this node's requests in flight, or reports spare cores. A send to an
    /// idle backend takes no capacity from other requests, even if the request has little time left.
    fn is_idle(&self, slowness: f64, backend: &Backend) -> bool {
        let is_unused = backend.in_flight == 0 && slowness < MAX_IDLE_SLOWNESS;
        let reports_spare = backend.utilisation.is_fresh(self.now, UTILISATION_MAX_AGE)
            && backend.utilisation.value < SPARE_UTILISATION;
        is_unused || (reports_spare && f64::from(backend.in_flight) < backend.weight())
    }

    fn is_within_load_limit(&self, band: Band, slowness: f64, load: f64, backend: &Backend) -> bool {
        // A single request overloads no backend, and without one in flight no response could show that the
        // backend has recovered.
        if backend.in_flight == 0 {
            return true;
        }
        // Slow start has a budget of its own: reduced capacity during warm-up must not count as load.
        let effective_load = slowness * backend.capacity_share(self.now, &self.settings.rules) * load;
        let class_limit = self.classes[band.class].load_limit;
        let limit = if band.over_quota { class_limit * LOWER_PRIORITY_SHARE } else { class_limit };
        effective_load <= limit * self.load_limit_factor(backend)
    }

    /// Factor on the load limit of a backend, by the utilisation that the backend reports. The utilisation is
    /// scaled up by the growth of this node's requests in flight since the report: reports are about a second
    /// old, and load can build up in less time.
    fn load_limit_factor(&self, backend: &Backend) -> f64 {
        if !backend.utilisation.is_fresh(self.now, UTILISATION_MAX_AGE) {
            return 1.0;
        }
        let growth = (f64::from(backend.in_flight) + 1.0) / (backend.in_flight_at_report + 1.0);
        let utilisation = backend.utilisation.value * growth.max(1.0);
        if utilisation < LOW_UTILISATION {
            1.0 + LOW_UTILISATION_BONUS * (1.0 - utilisation / LOW_UTILISATION)
        } else {
            let excess = (utilisation - HIGH_UTILISATION) / (1.0 - HIGH_UTILISATION);
            1.0 - HIGH_UTILISATION_PENALTY * excess.clamp(0.0, 1.0)
        }
    }
}
