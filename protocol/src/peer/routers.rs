//! Reports of the routers that have a session with a control node.

use speedy::{Readable, Writable};

use crate::hash::fnv1a_hash;
use crate::ids::NodeId;
use crate::watch::Router;

/// A change of the set of routers that have a session with the sender.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct RouterChanges {
    /// The routers that were added or have changed.
    pub upsert: Vec<Router>,
    /// The routers that no longer have a session with the sender.
    pub removed: Vec<NodeId>,
    /// The digest of all routers after the change, by [`routers_digest`].
    pub digest: u64,
}

/// A digest of a set of routers, independent of their order.
pub fn routers_digest<'a>(routers: impl IntoIterator<Item = &'a Router>) -> u64 {
    // Encoding to memory can't fail.
    let digest = |router: &Router| fnv1a_hash(&router.write_to_vec().unwrap_or_default());
    routers.into_iter().map(digest).fold(0, u64::wrapping_add)
}
