//! A view of a backend for operators. No decision depends on it.

use super::ids::{BackendId, ZoneId};
use super::time::Nanos;

/// The state of a backend from the point of view of this node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BackendSnapshot {
    /// The backend.
    pub backend: BackendId,
    /// The zone of the backend.
    pub zone: ZoneId,
    /// This node's attempts in flight at the backend.
    pub in_flight: u32,
    /// The smoothed utilisation (1 is all cores in use) and the age of the last report in nanoseconds; `None`
    /// if there was no report.
    pub utilisation: Option<(f64, Nanos)>,
    /// The latency of the backend's responses as a multiple of the expected latency; 1 is a backend of the
    /// usual speed.
    pub slowness: f64,
    /// Whether the backend is ejected as an outlier: it receives no requests, or single trial requests.
    pub ejected: bool,
    /// Share of the backend's capacity that is available by the slow-start rule, 0 to 1; 1 when warm.
    pub capacity_share: f64,
}
