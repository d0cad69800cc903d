//! The list of backends as discovery reports it.

use super::ids::{BackendId, ZoneId};
use super::time::Nanos;

/// Whether a listed backend may be sent requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BackendState {
    /// Takes requests.
    #[default]
    InService,
    /// Shuts down gracefully: completes its work, and nothing new may be sent.
    Draining,
    /// No longer a member.
    Removed,
}

/// One backend of the list.
#[derive(Clone, Copy, Debug, Default)]
pub struct Member {
    /// The backend.
    pub backend: BackendId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its machine kind.
    pub machine_kind: u32,
    /// Its cell, which shares seen idempotency keys under
    /// [`IdempotencyScope::Cell`](super::IdempotencyScope::Cell).
    pub cell: u64,
    /// Whether it may be sent requests.
    pub state: BackendState,
    /// Its weight against the others', or as [`Weights`](super::Weights) says. A weight that is not above 0
    /// counts as 1.
    pub weight: f64,
    /// When its process last started, if it started recently enough to be warming up still.
    pub online_since: Option<Nanos>,
}

/// Which members an [`Event::Membership`](super::Event::Membership) names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// Changed members only.
    Changes,
    /// All members: one that is missing has been removed.
    Full,
    /// All members as the node last stored them, perhaps stale.
    Cached,
}
