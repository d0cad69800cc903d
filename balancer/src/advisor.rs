//! What an embedder may know better than the balancer.

use crate::api::{BackendId, Nanos, RequestId};

/// Asked about single requests and backends at each choice. Without an advisor the balancer goes by what it
/// has learned.
pub trait PlacementAdvisor {
    /// Whether this request may be sent to this backend now. A refusal overrides everything else.
    fn allows(&self, now: Nanos, request: RequestId, backend: BackendId) -> bool;

    /// The expected time to the first byte of this request's response from this backend, in nanoseconds;
    /// `None` where the balancer's own model is to be used. Where it is known, [`PlacementAdvisor::allows`]
    /// decides on the backend's capacity as well.
    fn expected_delay(&self, now: Nanos, request: RequestId, backend: BackendId) -> Option<f64>;

    /// This request is being sent to this backend. Later questions have to take it into account, also
    /// within the same event.
    fn on_sent(&self, now: Nanos, request: RequestId, backend: BackendId);

    /// Whether the node's own zone can ever serve this request.
    fn home_zone_allowed(&self, request: RequestId) -> bool;
}
