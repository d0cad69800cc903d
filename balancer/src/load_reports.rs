//! Applies the load reports of backends.

use crate::api::{BackendId, LoadReport};
use crate::estimators::Ewma;
use crate::policy::tuning::{MAX_UTILISATION, MIN_REPORT_WEIGHT, UTILISATION_TIME_CONSTANT};
use crate::state::Balancer;

impl LoadReport {
    /// The reported utilisation, if it is within the possible range.
    pub(crate) fn valid_utilisation(&self) -> Option<f64> {
        self.utilisation.filter(|utilisation| (0.0..=MAX_UTILISATION).contains(utilisation))
    }
}

impl Balancer {
    /// Applies a load report. A report with an impossible utilisation is ignored.
    pub(crate) fn apply_load_report(&mut self, id: BackendId, report: LoadReport) {
        let Some(backend) = self.backends.get_mut(&id) else { return };
        let Some(utilisation) = report.valid_utilisation() else { return };
        let mut in_flight =
            Ewma { value: backend.in_flight_at_report, updated_at: backend.utilisation.updated_at };
        in_flight.update(
            self.now,
            f64::from(backend.in_flight),
            UTILISATION_TIME_CONSTANT,
            MIN_REPORT_WEIGHT,
        );
        backend.in_flight_at_report = in_flight.value;
        backend.utilisation.update(self.now, utilisation, UTILISATION_TIME_CONSTANT, MIN_REPORT_WEIGHT);
        let zone = backend.member.zone;
        self.invalidate_zone_utilisation(zone);
    }
}
