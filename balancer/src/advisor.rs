//! Placement advice by the embedder, which may know more about requests and backends than the balancer.

use crate::api::{BackendId, Nanos, RequestId};

/// Answers questions about a single request and a single backend whenever the balancer chooses a backend.
/// Without an advisor, the balancer uses its own estimates.
pub trait PlacementAdvisor {
    /// Whether this request may be sent to this backend now. `false` overrides all other considerations.
    fn allows(&self, now: Nanos, request: RequestId, backend: BackendId) -> bool;

    /// The expected time to the first byte of this request's response from this backend, in nanoseconds;
    /// `None` to use the balancer's own model. If it is `Some`, [`PlacementAdvisor::allows`] also decides on
    /// the backend's capacity.
    fn expected_delay(&self, now: Nanos, request: RequestId, backend: BackendId) -> Option<f64>;

    /// Called when this request is sent to this backend. Later answers must take the send into account, even
    /// within the same event.
    fn on_sent(&self, now: Nanos, request: RequestId, backend: BackendId);

    /// Whether the home zone of the node can ever serve this request.
    fn home_zone_allowed(&self, request: RequestId) -> bool;
}
