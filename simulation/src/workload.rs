//! The operators' requests. The content of a configuration is a function of its revision and its base, so that an observer can check
//! whether a configuration is the one that was sent.

use std::collections::BTreeMap;
use std::fmt::Write;

use ivyhatch_protocol::configuration::Document;
use ivyhatch_protocol::hash::{fnv1a_hash, hash_mix};
use ivyhatch_protocol::peer::AdminRequest;

use crate::plan::PlannedOperation;

/// Routes of each configuration.
const ROUTE_COUNT: usize = 6;

/// The service that all routes name.
const SERVICE: &str = "s";
/// The service that an invalid configuration defines in place of [`SERVICE`].
const OTHER_SERVICE: &str = "t";

/// The time-out of each route; a change sets one of them to its own revision.
type RouteTimeouts = [u64; ROUTE_COUNT];

/// An operator's request and its effect.
#[derive(Clone, Debug)]
pub struct Operation {
    /// The request as it is sent.
    pub request: AdminRequest,
    /// The effect of its acknowledgement.
    pub kind: OperationKind,
}

/// The effect of an operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperationKind {
    /// Sets the configuration.
    SetConfiguration {
        /// The revision that it builds on.
        base: u64,
        /// The revision that it leads to.
        revision: u64,
        /// The [`document_digest`] of that revision.
        digest: u64,
        /// Whether the configuration is valid.
        valid: bool,
    },
    /// Reads the configuration.
    Read,
    /// Evacuates a zone, or ends its evacuation.
    Evacuate {
        /// The zone's number.
        zone: usize,
        /// Whether the zone is evacuated from then on.
        active: bool,
    },
}

/// Makes the operators' requests from what any of them knows.
#[derive(Debug, Default)]
pub struct Workload {
    newest_known_revision: u64,
    highest_sent_revision: u64,
    timeouts_by_revision: BTreeMap<u64, RouteTimeouts>,
}

/// The name of a zone.
pub fn zone_name(number: usize) -> String {
    format!("zone-{number}")
}

/// The digest of a configuration, whatever the order of its items.
pub fn document_digest(document: &Document) -> u64 {
    let item_digest = |section: &str, json: &str| {
        hash_mix(fnv1a_hash(section.as_bytes()) ^ fnv1a_hash(json.as_bytes()).rotate_left(7))
    };
    let items =
        document.sections.iter().flat_map(|(section, items)| items.iter().map(move |item| (section, item)));
    let sum = items.fold(0_u64, |sum, (section, item)| sum.wrapping_add(item_digest(section, &item.json)));
    hash_mix(sum ^ document.revision)
}

fn route_json(number: usize, timeout: u64) -> String {
    format!(
        r#"{{"name":"r{number}","host":"h","path_prefix":"/{number}/","route_kind":"safe","timeout_ms":{},"service":"{SERVICE}"}}"#,
        timeout + 1
    )
}

fn document_json(revision: u64, timeouts: &RouteTimeouts, service: &str) -> Vec<u8> {
    let mut text = format!(r#"{{"revision":{revision},"services":[{{"name":"{service}"}}],"routes":["#);
    for (number, timeout) in timeouts.iter().enumerate() {
        let comma = if number == 0 { "" } else { "," };
        let _ = write!(text, "{comma}{}", route_json(number, *timeout));
    }
    text.push_str("]}");
    text.into_bytes()
}

impl Workload {
    /// An operator has received the current revision with a response.
    pub fn observe_revision(&mut self, revision: u64) {
        self.newest_known_revision = self.newest_known_revision.max(revision);
    }

    /// Makes the request of a planned operation. A change raises the highest revision by `revision_step`, at least 1.
    pub fn next_operation(&mut self, planned: PlannedOperation, revision_step: u64) -> Operation {
        match planned {
            PlannedOperation::Put | PlannedOperation::Patch | PlannedOperation::Invalid => {
                self.set_configuration(planned, revision_step)
            }
            PlannedOperation::Read => Operation { request: AdminRequest::Read, kind: OperationKind::Read },
            PlannedOperation::Evacuate(zone) => evacuation(zone, true),
            PlannedOperation::EndEvacuation(zone) => evacuation(zone, false),
        }
    }

    fn set_configuration(&mut self, planned: PlannedOperation, revision_step: u64) -> Operation {
        let base = self.newest_known_revision;
        let revision = self.highest_sent_revision.max(base) + revision_step.max(1);
        self.highest_sent_revision = revision;
        let mut timeouts = self.timeouts_by_revision.get(&base).copied().unwrap_or_default();
        let changed_route = revision as usize % ROUTE_COUNT;
        timeouts[changed_route] = revision;
        self.timeouts_by_revision.insert(revision, timeouts);
        let body = document_json(revision, &timeouts, SERVICE);
        let digest = Document::parse(&body).map_or(0, |document| document_digest(&document));
        // A patch needs a base: without a configuration the whole one is sent.
        let request = match planned {
            PlannedOperation::Patch if base > 0 => {
                let route = route_json(changed_route, revision);
                let change = format!(r#"{{"revision":{revision},"upsert":{{"routes":[{route}]}}}}"#);
                AdminRequest::Patch { base, body: change.into_bytes() }
            }
            PlannedOperation::Invalid => {
                AdminRequest::Put { base, body: document_json(revision, &timeouts, OTHER_SERVICE) }
            }
            _ => AdminRequest::Put { base, body },
        };
        let valid = planned != PlannedOperation::Invalid;
        Operation { request, kind: OperationKind::SetConfiguration { base, revision, digest, valid } }
    }
}

fn evacuation(zone: usize, active: bool) -> Operation {
    Operation {
        request: AdminRequest::Evacuate { zone: zone_name(zone), active, change_count: 0 },
        kind: OperationKind::Evacuate { zone, active },
    }
}
