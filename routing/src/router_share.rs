//! This router's index among all routers, by which limits common to all routers are divided.

/// The number of routers that share the servers, and this router's index among them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RouterShare {
    /// The number of routers that share the servers.
    pub count: u32,
    /// This router's index. It is below `count` as long as the control nodes agree on the set of routers.
    pub index: u32,
}
