//! The number of routers and this router's index among them, which determine its share of limits common to all routers.

/// The number of routers that share the servers, and this router's index among them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RouterShare {
    /// The number of routers that share the servers.
    pub count: u32,
    /// This router's index. It is below `count` as long as the control nodes agree on the set of routers.
    pub index: u32,
}
