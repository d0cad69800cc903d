//! What the parts hold, and what an order does to them.

use std::collections::BTreeMap;

use ivyhatch_protocol::configuration::{Change, ConfigurationError, Document};
use ivyhatch_protocol::ids::{PartitionId, fnv1a_hash};
use ivyhatch_protocol::peer::{AdminRequest, AdminResponse};
use speedy::{Readable, Writable};

/// Requests that were taken are remembered for so many versions: one that is sent again unchanged has been taken, also when it is no
/// longer the newest. Beyond that it is answered as any other that builds on an old version.
const REMEMBERED: usize = 512;

/// What becomes of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It changes nothing.
    Answer(AdminResponse),
    /// Once the part is set to this, the answer goes out.
    Set(Vec<u8>, AdminResponse),
    /// The newest configuration is to be told, by a leader that is sure to lead still.
    Tell,
}

/// The part that holds the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct Configured {
    /// The configuration.
    pub document: Document,
    /// Digests of the orders that led to it, the newest last.
    pub taken: Vec<u64>,
}

/// The parts that keys fall into.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct Evacuated {
    /// Zones that were ever evacuated: whether they are now, and how often that has changed.
    pub zones: BTreeMap<String, (bool, u64)>,
}

/// What a part holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum State {
    /// The configuration.
    Configured(Configured),
    /// Evacuations.
    Evacuated(Evacuated),
}

/// A digest by which an order is known again.
pub fn digest(request: &AdminRequest) -> u64 {
    match request {
        AdminRequest::Put { base, body } => fnv1a_hash(body) ^ base.rotate_left(17),
        AdminRequest::Patch { base, body } => !(fnv1a_hash(body) ^ base.rotate_left(17)),
        AdminRequest::Read => 0,
        AdminRequest::Evacuate { zone, active, .. } => fnv1a_hash(zone.as_bytes()) ^ u64::from(*active),
    }
}

impl State {
    /// What a part holds at first.
    pub fn empty(part: PartitionId) -> Self {
        match part {
            PartitionId::CONFIGURATION => Self::Configured(Configured::default()),
            _ => Self::Evacuated(Evacuated::default()),
        }
    }

    /// Reads what a part was set to. None for what no version of this program has written.
    pub fn read(part: PartitionId, value: &[u8]) -> Option<Self> {
        match part {
            PartitionId::CONFIGURATION => Configured::read_from_buffer(value).ok().map(Self::Configured),
            _ => Evacuated::read_from_buffer(value).ok().map(Self::Evacuated),
        }
    }

    /// How often a zone has been evacuated or taken back.
    pub fn zone_changes(&self, zone: &str) -> u64 {
        match self {
            Self::Evacuated(evacuated) => evacuated.zones.get(zone).map_or(0, |(_, changes)| *changes),
            Self::Configured(_) => 0,
        }
    }

    /// What an order does. Decided by the partition's leader, once.
    pub fn decide(&self, request: &AdminRequest) -> Verdict {
        match (self, request) {
            (Self::Configured(configured), AdminRequest::Put { base, body }) => {
                configured.decide(*base, digest(request), |_| Document::parse(body))
            }
            (Self::Configured(configured), AdminRequest::Patch { base, body }) => {
                configured
                    .decide(*base, digest(request), |current| Ok(current.with_change(&Change::parse(body)?)))
            }
            (Self::Configured(_), AdminRequest::Read) => Verdict::Tell,
            (Self::Evacuated(evacuated), AdminRequest::Evacuate { zone, active, change_count: changes }) => {
                evacuated.decide(zone, *active, *changes)
            }
            _ => Verdict::Answer(AdminResponse::Invalid("this part does not hold that".to_owned())),
        }
    }
}

impl Configured {
    fn decide(
        &self,
        base: u64,
        digest: u64,
        read: impl FnOnce(&Document) -> Result<Document, ConfigurationError>,
    ) -> Verdict {
        let revision = self.document.revision;
        if self.taken.contains(&digest) {
            return Verdict::Answer(AdminResponse::Applied { revision });
        }
        if base != revision {
            return Verdict::Answer(AdminResponse::Conflict { revision });
        }
        let document = match read(&self.document) {
            Ok(document) => document,
            Err(error) => return Verdict::Answer(AdminResponse::Invalid(error.to_string())),
        };
        if let Err(error) = document.validate(revision) {
            return Verdict::Answer(AdminResponse::Invalid(error.to_string()));
        }
        let answer = AdminResponse::Applied { revision: document.revision };
        let mut taken = self.taken.clone();
        taken.push(digest);
        let surplus = taken.len().saturating_sub(REMEMBERED);
        taken.drain(..surplus);
        set(&Self { document, taken }, answer)
    }
}

impl Evacuated {
    fn decide(&self, zone: &str, active: bool, known_changes: u64) -> Verdict {
        let answer = AdminResponse::Applied { revision: 0 };
        let (is, changes) = self.zones.get(zone).copied().unwrap_or_default();
        if is == active {
            return Verdict::Answer(answer);
        }
        if known_changes != changes {
            let text =
                "the zone's evacuation has changed since this was sent: send it again if it still holds";
            return Verdict::Answer(AdminResponse::Unavailable(text.to_owned()));
        }
        let mut changed = self.clone();
        changed.zones.insert(zone.to_owned(), (active, changes + 1));
        set(&changed, answer)
    }
}

fn set<S: Writable<speedy::LittleEndian>>(state: &S, answer: AdminResponse) -> Verdict {
    match state.write_to_vec() {
        Ok(value) => Verdict::Set(value, answer),
        Err(error) => Verdict::Answer(AdminResponse::Unavailable(error.to_string())),
    }
}
