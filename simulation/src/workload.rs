//! The operators' requests. The content of a configuration is a function of its revision and its base, so the oracle can check that a
//! configuration in effect is the one that was sent.

use std::collections::BTreeMap;
use std::fmt::Write;

use ivyhatch_protocol::configuration::Document;
use ivyhatch_protocol::hash::{fnv1a_hash, hash_mix};
use ivyhatch_protocol::peer::AdminRequest;

use crate::plan::PlannedOperation;

/// The number of routes in each configuration.
const ROUTE_COUNT: usize = 6;

/// The service that all routes name.
const SERVICE: &str = "s";
/// The service that an invalid configuration defines instead of [`SERVICE`], so that its routes name an unknown service.
const OTHER_SERVICE: &str = "t";

/// The timeout of each route in milliseconds, minus 1. A change sets one of the timeouts to its own revision.
type RouteTimeouts = [u64; ROUTE_COUNT];

/// An operator's request, and the effect that the oracle expects.
#[derive(Clone, Debug)]
pub struct Operation {
    /// The request; retries send it unchanged.
    pub request: AdminRequest,
    /// The effect of the operation once it is acknowledged.
    pub kind: OperationKind,
}

/// The effect of an operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperationKind {
    /// Sets the configuration.
    SetConfiguration {
        /// The revision that the change is based on; 0 if there is no configuration yet.
        base: u64,
        /// The revision that the change creates.
        revision: u64,
        /// The [`document_digest`] of the configuration at `revision`.
        digest: u64,
        /// Whether the configuration is valid.
        valid: bool,
    },
    /// Reads the configuration.
    Read,
    /// Starts or ends the evacuation of a zone.
    Evacuate {
        /// The zone's number.
        zone: usize,
        /// Whether the operation starts the evacuation; false ends it.
        active: bool,
    },
}

/// Generates the operators' requests, based on the newest revision that any operator has received.
#[derive(Debug, Default)]
pub struct Workload {
    newest_known_revision: u64,
    highest_sent_revision: u64,
    timeouts_by_revision: BTreeMap<u64, RouteTimeouts>,
}

/// The name of the zone with this number.
pub fn zone_name(number: usize) -> String {
    format!("zone-{number}")
}

/// The digest of a configuration. The order of its items does not affect the digest.
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
    /// Records that an operator received this revision with a response.
    pub fn observe_revision(&mut self, revision: u64) {
        self.newest_known_revision = self.newest_known_revision.max(revision);
    }

    /// Generates the request of a planned operation. A configuration change raises the highest revision by `revision_step`, or by 1 if
    /// that is 0.
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
        // A patch needs a base revision; without one, the whole configuration is sent.
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
