//! A view of a backend for operators. No decision is made by it.

use super::ids::{BackendId, ZoneId};
use super::time::Nanos;

/// A backend as this node sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BackendSnapshot {
    /// The backend.
    pub backend: BackendId,
    /// Its zone.
    pub zone: ZoneId,
    /// This node's attempts in flight there.
    pub in_flight: u32,
    /// Its smoothed utilisation (1 for all cores in use) and the age of the last report in nanoseconds;
    /// `None` where none came.
    pub utilisation: Option<(f64, Nanos)>,
    /// The latency of its responses as a multiple of the expected one; 1 for a backend of the usual speed.
    pub slowness: f64,
    /// Ejected as an outlier: it gets no requests, or single trials.
    pub ejected: bool,
    /// Share of its capacity that slow start counts on, 0 to 1; 1 when warm.
    pub capacity_share: f64,
}
