//! The state machine of each partition: what its value holds, and what an operator's request does to it.

use std::collections::BTreeMap;

use ivyhatch_protocol::configuration::{Change, ConfigurationError, Document};
use ivyhatch_protocol::hash::fnv1a_hash;
use ivyhatch_protocol::ids::PartitionId;
use ivyhatch_protocol::peer::{AdminRequest, AdminResponse};
use speedy::{Readable, Writable};

/// Digests of applied requests that are kept, as a count of revisions. A request that is sent again unchanged within these is
/// acknowledged again (idempotent retry), also when a later revision is current; an older one is a conflict like any other request
/// that builds on a past revision.
const MAX_APPLIED_DIGESTS: usize = 512;

/// What the leader of a partition does with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Nothing changes: respond, once a quorum has confirmed the leader's ballot.
    Respond(AdminResponse),
    /// Propose this value for the partition, and respond once it is committed.
    Propose {
        /// The encoded [`ConfigurationState`] or [`EvacuationState`].
        value: Vec<u8>,
        /// The response after the commit.
        response: AdminResponse,
    },
    /// Respond with the configuration that is current once a quorum has confirmed the leader's ballot.
    ReadConfiguration,
}

/// The value of [`PartitionId::CONFIGURATION`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct ConfigurationState {
    /// The current configuration.
    pub document: Document,
    /// Digests of the requests that led to it, oldest first; at most 512.
    pub applied_digests: Vec<u64>,
}

/// The evacuation of one zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct EvacuationStatus {
    /// Whether the zone is evacuated.
    pub active: bool,
    /// How many times `active` has changed.
    pub change_count: u64,
}

/// The value of the partitions that zones are hashed into.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct EvacuationState {
    /// Each zone that was ever evacuated.
    pub zones: BTreeMap<String, EvacuationStatus>,
}

/// The decoded value of a partition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PartitionState {
    /// The configuration.
    Configuration(ConfigurationState),
    /// Evacuations of the zones in this partition.
    Evacuations(EvacuationState),
}

/// The digest by which a repeated request is recognised; 0 for requests that change nothing.
pub fn digest(request: &AdminRequest) -> u64 {
    match request {
        AdminRequest::Put { base, body } => fnv1a_hash(body) ^ base.rotate_left(17),
        AdminRequest::Patch { base, body } => !(fnv1a_hash(body) ^ base.rotate_left(17)),
        AdminRequest::Read => 0,
        AdminRequest::Evacuate { zone, active, .. } => fnv1a_hash(zone.as_bytes()) ^ u64::from(*active),
    }
}

impl PartitionState {
    /// The state before the first change.
    pub fn empty(partition: PartitionId) -> Self {
        match partition {
            PartitionId::CONFIGURATION => Self::Configuration(ConfigurationState::default()),
            _ => Self::Evacuations(EvacuationState::default()),
        }
    }

    /// Decodes a committed value; `None` where it was written in a format that this release does not know.
    pub fn decode(partition: PartitionId, value: &[u8]) -> Option<Self> {
        match partition {
            PartitionId::CONFIGURATION => {
                ConfigurationState::read_from_buffer(value).ok().map(Self::Configuration)
            }
            _ => EvacuationState::read_from_buffer(value).ok().map(Self::Evacuations),
        }
    }

    /// How many times the evacuation of a zone has begun or ended.
    pub fn evacuation_change_count(&self, zone: &str) -> u64 {
        match self {
            Self::Evacuations(evacuations) => {
                evacuations.zones.get(zone).map_or(0, |state| state.change_count)
            }
            Self::Configuration(_) => 0,
        }
    }

    /// Decides on a request. Called by the partition's leader, once for each request.
    pub fn decide(&self, request: &AdminRequest) -> Decision {
        match (self, request) {
            (Self::Configuration(configuration), AdminRequest::Put { base, body }) => {
                configuration.decide(*base, digest(request), |_| Document::parse(body))
            }
            (Self::Configuration(configuration), AdminRequest::Patch { base, body }) => {
                configuration
                    .decide(*base, digest(request), |current| Ok(current.with_change(&Change::parse(body)?)))
            }
            (Self::Configuration(_), AdminRequest::Read) => Decision::ReadConfiguration,
            (Self::Evacuations(evacuations), AdminRequest::Evacuate { zone, active, change_count }) => {
                evacuations.decide(zone, *active, *change_count)
            }
            _ => Decision::Respond(AdminResponse::Invalid("this part does not hold that".to_owned())),
        }
    }
}

impl ConfigurationState {
    fn decide(
        &self,
        base: u64,
        digest: u64,
        next_document: impl FnOnce(&Document) -> Result<Document, ConfigurationError>,
    ) -> Decision {
        let revision = self.document.revision;
        if self.applied_digests.contains(&digest) {
            return Decision::Respond(AdminResponse::Applied { revision });
        }
        if base != revision {
            return Decision::Respond(AdminResponse::Conflict { revision });
        }
        let document = match next_document(&self.document) {
            Ok(document) => document,
            Err(error) => return Decision::Respond(AdminResponse::Invalid(error.to_string())),
        };
        if let Err(error) = document.validate(revision) {
            return Decision::Respond(AdminResponse::Invalid(error.to_string()));
        }
        let response = AdminResponse::Applied { revision: document.revision };
        let mut applied_digests = self.applied_digests.clone();
        applied_digests.push(digest);
        let surplus = applied_digests.len().saturating_sub(MAX_APPLIED_DIGESTS);
        applied_digests.drain(..surplus);
        propose(&Self { document, applied_digests }, response)
    }
}

impl EvacuationState {
    fn decide(&self, zone: &str, active: bool, known_change_count: u64) -> Decision {
        let response = AdminResponse::Applied { revision: 0 };
        let current = self.zones.get(zone).copied().unwrap_or_default();
        if current.active == active {
            return Decision::Respond(response);
        }
        if known_change_count != current.change_count {
            let text =
                "the zone's evacuation has changed since this was sent: send it again if it still holds";
            return Decision::Respond(AdminResponse::Unavailable(text.to_owned()));
        }
        let mut changed = self.clone();
        let change_count = current.change_count + 1;
        changed.zones.insert(zone.to_owned(), EvacuationStatus { active, change_count });
        propose(&changed, response)
    }
}

fn propose<S: Writable<speedy::LittleEndian>>(state: &S, response: AdminResponse) -> Decision {
    match state.write_to_vec() {
        Ok(value) => Decision::Propose { value, response },
        Err(error) => Decision::Respond(AdminResponse::Unavailable(error.to_string())),
    }
}
