//! Routers, and the servers that they send requests to.

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
    /// The router is shutting down gracefully: it completes its requests, and clients should not send it new
    /// ones.
    Draining,
}

/// A router, as it registers with control nodes and as the directory lists it.
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

/// A control node, as routers choose among them.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Readable, Writable)]
pub struct ControlNode {
    /// The node.
    pub node: NodeId,
    /// The zone of its machine; empty where it is not known yet.
    pub zone: String,
}

/// A server of the platform's list.
///
/// Times are remaining spans, as control nodes and routers share no clock. They are as of the encoding of the
/// message; see [`crate::server_list::ServerList`].
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
    /// Whether the server is draining. It must not get new requests.
    pub draining: bool,
    /// Milliseconds until the server is warm; 0 once it is. Its request rate is limited meanwhile (slow
    /// start).
    pub warm_up_remaining_ms: u32,
    /// Milliseconds until the platform stops the server; `None` if no stop is announced.
    pub lifetime_remaining_ms: Option<u32>,
}
