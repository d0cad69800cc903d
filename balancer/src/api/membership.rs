//! The list of backends that discovery provides.

use super::ids::{BackendId, ZoneId};
use super::time::Nanos;

/// Whether a listed backend may be sent requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BackendState {
    /// The backend takes requests.
    #[default]
    InService,
    /// The backend is shutting down gracefully: it completes its requests in flight and must be sent no new
    /// ones.
    Draining,
    /// The backend is no longer a member.
    Removed,
}

/// One backend of the list.
#[derive(Clone, Copy, Debug, Default)]
pub struct Member {
    /// The backend.
    pub backend: BackendId,
    /// The zone of the backend.
    pub zone: ZoneId,
    /// The machine kind of the backend. With [`Weights::Live`](super::Weights::Live), backends of one kind
    /// are taken to have the same weight when idle.
    pub machine_kind: u32,
    /// The cell of the backend. Backends of a cell share the idempotency keys that they have seen under
    /// [`IdempotencyScope::Cell`](super::IdempotencyScope::Cell).
    pub cell: u64,
    /// Whether the backend may be sent requests.
    pub state: BackendState,
    /// The weight of the backend relative to the others; [`Weights`](super::Weights) says whether it includes
    /// the load. A weight that is not finite or not above 0 counts as 1.
    pub weight: f64,
    /// When the process of the backend last started; `None` if too long ago for the backend to be warming up.
    pub online_since: Option<Nanos>,
}

/// Which members an [`Event::Membership`](super::Event::Membership) lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// Changed members only.
    Changes,
    /// All members: a backend that is not listed has been removed.
    Full,
    /// All members as the node last stored them, possibly stale.
    Cached,
}
