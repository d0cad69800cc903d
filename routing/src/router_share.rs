//! This router's index among all routers, by which a limit that they share is divided.

/// How many routers share the servers, and which of them this one is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RouterShare {
    /// Routers that share the servers.
    pub count: u32,
    /// This router's index, below `count` as long as the control nodes agree on the routers.
    pub index: u32,
}
