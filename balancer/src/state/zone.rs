//! The state of a zone.

use crate::api::Nanos;
use crate::estimators::Ewma;

use super::window::ConcurrencyWindow;

/// The estimates and measurements of this node for a zone.
#[derive(Clone, Copy, Default)]
pub(crate) struct ZoneView {
    /// This node's attempts in flight in the zone, now and smoothed.
    pub(crate) in_flight: f64,
    pub(crate) smoothed_in_flight: Ewma,
    /// Mean number of requests in flight per core, from all nodes.
    pub(crate) load_per_core: f64,
    /// Number of backends in service.
    pub(crate) in_service: f64,
    /// The highest [`subset_rank`](super::Backend::subset_rank) of the node's subset.
    pub(crate) subset_cutoff: u64,
    /// Work of this node's requests that is served in the zone, per unit of used capacity.
    pub(crate) served_per_capacity: f64,
    /// Share of the requests that overflow to another zone; used with many nodes.
    pub(crate) overflow_share: f64,
    pub(crate) window: ConcurrencyWindow,
    /// Lowest latency seen, in nanoseconds; old samples decay slowly.
    pub(crate) min_latency: Option<f64>,
    /// The utilisation is at the overflow threshold or above.
    pub(crate) is_overflowing: bool,
}

impl ZoneView {
    /// This node's attempts in flight, smoothed up to `now`.
    pub(crate) fn smoothed_in_flight_at(&self, now: Nanos, time_constant: Nanos) -> f64 {
        let mut in_flight = self.smoothed_in_flight;
        in_flight.update(now, self.in_flight, time_constant, 0.0);
        in_flight.value
    }

    /// Adds `change` to the attempts in flight. The smoothed value is first updated with the number that was
    /// in flight until now.
    pub(crate) fn add_in_flight(&mut self, now: Nanos, change: f64, time_constant: Nanos) {
        let is_first = self.smoothed_in_flight.updated_at.is_none();
        let until_now = if is_first { change } else { self.in_flight };
        self.smoothed_in_flight.update(now, until_now, time_constant, 0.0);
        self.in_flight = (self.in_flight + change).max(0.0);
    }
}

/// The reported utilisation of a zone's usable backends, summed by weight.
#[derive(Clone, Copy)]
pub(crate) struct ZoneUtilisation {
    /// Part of `total_weight` that is in use.
    pub(crate) used_weight: f64,
    pub(crate) total_weight: f64,
    /// Backends that may be sent requests.
    pub(crate) usable_backends: usize,
    /// Number of usable backends whose reports are included.
    pub(crate) reporting_backends: usize,
    /// Number of backends in service that the last probe did not reach.
    pub(crate) unreachable_backends: usize,
    /// Until this time, only an event can change the utilisation.
    pub(crate) valid_until: Nanos,
}
