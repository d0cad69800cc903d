//! Routers, control nodes, and the servers to which routers send requests.

use speedy::{Readable, Writable};

use crate::ids::NodeId;

/// A router's readiness.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Readable, Writable)]
pub enum RouterState {
    /// The router has no configuration or no server list yet.
    #[default]
    Starting,
    /// The router accepts requests.
    Ready,
    /// The router is shutting down gracefully: it completes the requests in flight, and clients should send new
    /// requests to other routers.
    Draining,
}

/// A router, as registered with control nodes, and as listed by the directory, which clients query for the addresses of
/// routers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Readable, Writable)]
pub struct Router {
    /// The router's machine.
    pub node: NodeId,
    /// The address at which the router accepts requests of clients, as `address:port`.
    pub client_address: String,
    /// The router's zone.
    pub zone: String,
    /// The router's region.
    pub region: String,
    /// The router's readiness.
    pub state: RouterState,
}

/// A control node, with the zone by which routers choose control nodes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Readable, Writable)]
pub struct ControlNode {
    /// The node.
    pub node: NodeId,
    /// The zone of the node's machine; empty if the zone is not known yet.
    pub zone: String,
}

/// A server of the platform's list.
///
/// Times are remaining durations, because control nodes and routers share no clock. They are relative to the
/// moment of encoding the message; see [`crate::server_list::ServerList`].
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Server {
    /// Identifies one incarnation of the server; a restarted server has another id.
    pub id: String,
    /// The name of the service that the server belongs to.
    pub service: String,
    /// The address at which the server accepts requests, as `address:port`.
    pub address: String,
    /// The server's zone.
    pub zone: String,
    /// The number of requests that the server processes concurrently.
    pub slots: u32,
    /// Whether the server is draining. A draining server must not receive new requests.
    pub draining: bool,
    /// Milliseconds until the server's warm-up ends; 0 after the warm-up. The server's request rate is limited
    /// during the warm-up (slow start).
    pub warm_up_remaining_ms: u32,
    /// Milliseconds until the platform stops the server; `None` if the platform has announced no stop.
    pub lifetime_remaining_ms: Option<u32>,
}
