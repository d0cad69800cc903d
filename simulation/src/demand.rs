//! What operators ask for: configurations whose content follows from their version, so that whoever sees one can tell whether it
//! is what was sent.

use std::collections::BTreeMap;
use std::fmt::Write;

use ivyhatch_protocol::configuration::Document;
use ivyhatch_protocol::hash::{fnv1a_hash, hash_mix};
use ivyhatch_protocol::peer::AdminRequest;

use crate::plan::Undertaking;

/// Routes of a configuration.
const ROUTES: usize = 6;

/// An order, and what follows if it is taken.
#[derive(Clone, Debug)]
pub struct Demand {
    /// As it is sent.
    pub order: AdminRequest,
    /// What it does.
    pub kind: Kind,
}

/// What a demand does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Sets the configuration: on top of which version, to which, with which content.
    Set {
        /// The version that it builds on.
        base: u64,
        /// The version that it leads to.
        revision: u64,
        /// The digest of what is in force then.
        digest: u64,
        /// Whether it makes sense.
        valid: bool,
    },
    /// Reads it.
    Read,
    /// Empties a zone, or takes that back.
    Evacuate {
        /// The zone.
        zone: usize,
        /// Whether it is emptied.
        active: bool,
    },
}

/// What operators know between them.
#[derive(Debug, Default)]
pub struct Operators {
    /// The newest version that any has heard of.
    known: u64,
    /// The highest version that was ever sent.
    sent: u64,
    contents: BTreeMap<u64, [u64; ROUTES]>,
}

/// A zone's name.
pub fn zone(number: usize) -> String {
    format!("zone-{number}")
}

/// What a configuration holds, whatever the order of its items.
pub fn digest(document: &Document) -> u64 {
    let item = |section: &str, json: &str| {
        hash_mix(fnv1a_hash(section.as_bytes()) ^ fnv1a_hash(json.as_bytes()).rotate_left(7))
    };
    let items =
        document.sections.iter().flat_map(|(section, items)| items.iter().map(move |one| (section, one)));
    let sum = items.fold(0_u64, |sum, (section, one)| sum.wrapping_add(item(section, &one.json)));
    hash_mix(sum ^ document.revision)
}

fn route(number: usize, timeout: u64) -> String {
    format!(
        r#"{{"name":"r{number}","host":"h","path_prefix":"/{number}/","route_kind":"safe","timeout_ms":{},"service":"s"}}"#,
        timeout + 1
    )
}

fn body(revision: u64, content: &[u64; ROUTES], service: &str) -> Vec<u8> {
    let mut text = format!(r#"{{"revision":{revision},"services":[{{"name":"{service}"}}],"routes":["#);
    for (number, timeout) in content.iter().enumerate() {
        let comma = if number == 0 { "" } else { "," };
        let _ = write!(text, "{comma}{}", route(number, *timeout));
    }
    text.push_str("]}");
    text.into_bytes()
}

impl Operators {
    /// An operator has heard of a version.
    pub fn heard(&mut self, revision: u64) {
        self.known = self.known.max(revision);
    }

    /// Makes up an order. `step` is by how much the version rises.
    pub fn demand(&mut self, what: Undertaking, step: u64) -> Demand {
        match what {
            Undertaking::Put | Undertaking::Patch | Undertaking::Invalid => self.set(what, step),
            Undertaking::Read => Demand { order: AdminRequest::Read, kind: Kind::Read },
            Undertaking::Evacuate(number) => evacuate(number, true),
            Undertaking::Withdraw(number) => evacuate(number, false),
        }
    }

    fn set(&mut self, what: Undertaking, step: u64) -> Demand {
        let base = self.known;
        let revision = self.sent.max(base) + step.max(1);
        self.sent = revision;
        let mut content = self.contents.get(&base).copied().unwrap_or_default();
        let place = revision as usize % ROUTES;
        content[place] = revision;
        self.contents.insert(revision, content);
        let whole = body(revision, &content, "s");
        let digest = Document::parse(&whole).map_or(0, |document| digest(&document));
        let valid = what != Undertaking::Invalid;
        // There is nothing to change before the first whole one.
        let order = match what {
            Undertaking::Patch if base > 0 => {
                let text = format!(
                    r#"{{"revision":{revision},"upsert":{{"routes":[{}]}}}}"#,
                    route(place, revision)
                );
                AdminRequest::Patch { base, body: text.into_bytes() }
            }
            Undertaking::Invalid => AdminRequest::Put { base, body: body(revision, &content, "t") },
            _ => AdminRequest::Put { base, body: whole },
        };
        Demand { order, kind: Kind::Set { base, revision, digest, valid } }
    }
}

fn evacuate(number: usize, active: bool) -> Demand {
    Demand {
        order: AdminRequest::Evacuate { zone: zone(number), active, change_count: 0 },
        kind: Kind::Evacuate { zone: number, active },
    }
}
