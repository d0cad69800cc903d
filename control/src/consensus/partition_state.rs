//! The state machine of each partition: the state that its registers hold, and how an operator's request changes that state.

use std::collections::BTreeMap;

use ivyhatch_protocol::configuration::{Change, ConfigurationError, Document};
use ivyhatch_protocol::hash::fnv1a_hash;
use ivyhatch_protocol::ids::PartitionId;
use ivyhatch_protocol::peer::{AdminRequest, AdminResponse};
use ivyhatch_protocol::registers::{RegisterChanges, RegisterKey, RegisterMap, RegisterValue};
use speedy::{Readable, Writable};

use crate::consensus::configuration_registers::{ItemPositions, configuration_changes, read_configuration};

/// The number of applied requests whose digests are kept, one for each revision. If one of these requests is sent again unchanged, it
/// is acknowledged again (idempotent retry), also when a later revision is current; an older request is a conflict like any other
/// request that builds on a past revision.
pub const MAX_APPLIED_DIGESTS: usize = 512;

/// What the leader of a partition does with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request changes nothing: respond, once a quorum has confirmed the leader's ballot.
    Respond(AdminResponse),
    /// Propose these changes of the partition's registers, and respond once the changes are committed.
    Propose {
        /// The registers to write, and those to remove.
        changes: RegisterChanges,
        /// The state after the changes.
        next: PartitionState,
        /// The response after the commit.
        response: AdminResponse,
    },
    /// Once a quorum has confirmed the leader's ballot, respond with the configuration that is current then.
    ReadConfiguration,
}

/// The state of [`PartitionId::CONFIGURATION`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConfigurationState {
    /// The current configuration.
    pub document: Document,
    /// Digests of the last applied requests, oldest first; at most [`MAX_APPLIED_DIGESTS`].
    pub applied_digests: Vec<u64>,
    /// The number of the first request in `applied_digests`, counted from 0 over all applied requests.
    pub first_applied: u64,
    /// The positions that give the items of each section their order.
    pub item_positions: ItemPositions,
}

/// The evacuation of one zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct EvacuationStatus {
    /// Whether the zone is evacuated.
    pub active: bool,
    /// How many times `active` has changed.
    pub change_count: u64,
}

/// The state of one of the partitions that zones are hashed into.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct EvacuationState {
    /// The status of each zone that was ever evacuated, by the zone's name.
    pub zones: BTreeMap<String, EvacuationStatus>,
}

/// The state of a partition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PartitionState {
    /// The state of [`PartitionId::CONFIGURATION`].
    Configuration(ConfigurationState),
    /// Evacuations of the zones that are hashed into this partition.
    Evacuations(EvacuationState),
}

/// The digest by which a repeated request is recognised; 0 for a read.
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

    /// Decodes the state from a partition's registers; `None` where they have a format that this release does not know.
    pub fn from_registers(partition: PartitionId, registers: &RegisterMap) -> Option<Self> {
        match partition {
            PartitionId::CONFIGURATION => read_configuration(registers).map(Self::Configuration),
            _ => EvacuationState::from_registers(registers).map(Self::Evacuations),
        }
    }

    /// How many times the evacuation of a zone has begun or ended; 0 for a zone that was never evacuated.
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
            _ => Decision::Respond(AdminResponse::Invalid("wrong partition for this request".to_owned())),
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
        let next = self.with_applied_request(document, digest);
        let changes = configuration_changes(self, &next);
        Decision::Propose { changes, next: PartitionState::Configuration(next), response }
    }

    /// The state after a request with this digest has replaced the configuration by `document`.
    fn with_applied_request(&self, document: Document, digest: u64) -> Self {
        let mut applied_digests = self.applied_digests.clone();
        applied_digests.push(digest);
        let surplus = applied_digests.len().saturating_sub(MAX_APPLIED_DIGESTS);
        applied_digests.drain(..surplus);
        let item_positions = self.item_positions.updated(&self.document, &document);
        let first_applied = self.first_applied + surplus as u64;
        Self { document, applied_digests, first_applied, item_positions }
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
                "the zone's evacuation changed after this request arrived: send it again if still wanted";
            return Decision::Respond(AdminResponse::Unavailable(text.to_owned()));
        }
        let status = EvacuationStatus { active, change_count: current.change_count + 1 };
        let mut next = self.clone();
        next.zones.insert(zone.to_owned(), status);
        let changes = vec![zone_register(zone, status)];
        Decision::Propose { changes, next: PartitionState::Evacuations(next), response }
    }

    /// The register changes that lead from an empty partition to this state.
    pub fn registers(&self) -> RegisterChanges {
        self.zones.iter().map(|(zone, status)| zone_register(zone, *status)).collect()
    }

    fn from_registers(registers: &RegisterMap) -> Option<Self> {
        let mut state = Self::default();
        for (key, value) in registers.values() {
            let RegisterKey::Zone(zone) = key else { return None };
            state.zones.insert(zone.clone(), EvacuationStatus::read_from_buffer(value).ok()?);
        }
        Some(state)
    }
}

fn zone_register(zone: &str, status: EvacuationStatus) -> (RegisterKey, Option<RegisterValue>) {
    // Writing to memory can't fail.
    let value = status.write_to_vec().unwrap_or_default();
    (RegisterKey::Zone(zone.to_owned()), Some(value.into()))
}
