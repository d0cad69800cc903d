//! Requests of an operator, which control nodes forward to the leader of a partition.

use speedy::{Readable, Writable};

use crate::ids::PartitionId;

/// A request of an operator.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum AdminRequest {
    /// Replaces the configuration.
    Put {
        /// The revision that the new configuration is based on; see [`AdminResponse::Conflict`].
        base: u64,
        /// The body of the HTTP request: the whole configuration, as JSON.
        body: Vec<u8>,
    },
    /// Adds, replaces and removes named items of the configuration.
    Patch {
        /// The revision that the change is based on; see [`AdminResponse::Conflict`].
        base: u64,
        /// The body of the HTTP request: the change, as JSON.
        body: Vec<u8>,
    },
    /// Reads the configuration; the read is linearizable.
    Read,
    /// Starts or ends the evacuation of a zone: routers send no new requests to the servers of an evacuated
    /// zone.
    Evacuate {
        /// The zone.
        zone: String,
        /// Whether the zone is to be evacuated from now on.
        active: bool,
        /// The change count of the zone, as known to the node that received the request from the operator. A request
        /// with a lower count than the zone's current one is not applied: its sender has timed out, and the zone has
        /// changed since.
        change_count: u64,
    },
}

impl AdminRequest {
    /// The partition whose leader applies the request.
    pub fn partition(&self) -> PartitionId {
        match self {
            Self::Put { .. } | Self::Patch { .. } | Self::Read => PartitionId::CONFIGURATION,
            Self::Evacuate { zone, .. } => PartitionId::for_key(zone),
        }
    }
}

/// The response to an [`AdminRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum AdminResponse {
    /// The change is committed: a quorum has stored it durably.
    Applied {
        /// The current revision, this change included.
        revision: u64,
    },
    /// The configuration, as JSON.
    Document(String),
    /// There is no configuration yet.
    NotConfigured,
    /// The base revision of the request differs from the current one. Nothing was changed.
    Conflict {
        /// The current revision.
        revision: u64,
    },
    /// The request is invalid; the text says why. Nothing was changed.
    Invalid(String),
    /// The outcome is unknown: the change may or may not have been committed. The text says what the operator can
    /// do.
    Unavailable(String),
}
