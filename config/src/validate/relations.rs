//! Rules between fields: unique names and addresses, known zones, and the rules between the fields of a request class.

use std::collections::BTreeMap;

use crate::diagnostic::Diagnostics;
use crate::node::Node;
use crate::origin::Origin;
use crate::suggestion::closest;

/// Validates the rules between fields.
pub(super) fn validate(root: &Node, diagnostics: &mut Diagnostics) {
    for list in ["class", "tenant", "instance"] {
        validate_unique(root, list, "name", |_| true, diagnostics);
    }
    // Port 0 means any free port, so several instances may have it.
    validate_unique(root, "instance", "listen", |address| !address.ends_with(":0"), diagnostics);
    if root.entries("class").is_empty() {
        let expected = "at least one [[class]], for what clients ask";
        diagnostics.report(&root.origin, "class", "none", expected);
    }
    validate_zones(root, diagnostics);
    for (index, class) in root.entries("class").iter().enumerate() {
        let path = format!("class[{}]", class.label(index));
        validate_latency_target(class, &path, diagnostics);
        validate_idempotency_key(class, &path, diagnostics);
    }
}

fn validate_unique(
    root: &Node,
    list: &str,
    field: &str,
    is_compared: impl Fn(&str) -> bool,
    diagnostics: &mut Diagnostics,
) {
    let mut seen: BTreeMap<&str, &Origin> = BTreeMap::new();
    for (index, entry) in root.entries(list).iter().enumerate() {
        let Some(given) = entry.field(field) else { continue };
        let Some(text) = given.text().filter(|text| is_compared(text)) else { continue };
        match seen.get(text) {
            Some(first) => {
                let path = format!("{list}[{}].{field}", entry.label(index));
                let expected = format!("a unique value: {first} has the same one");
                diagnostics.report(&given.origin, &path, format!("{text:?} is used twice"), expected);
            }
            None => drop(seen.insert(text, &given.origin)),
        }
    }
}

/// The zone of each instance has to be a zone of the fleet.
fn validate_zones(root: &Node, diagnostics: &mut Diagnostics) {
    let fleet_zones = root.field("fleet").map_or(&[][..], |fleet| fleet.entries("zones"));
    let zones: Vec<&str> = fleet_zones.iter().filter_map(Node::text).collect();
    for (index, instance) in root.entries("instance").iter().enumerate() {
        let Some(zone) = instance.field("zone") else { continue };
        let Some(name) = zone.text().filter(|name| !zones.contains(name)) else { continue };
        let expected = match closest(name, zones.iter().copied()) {
            Some(closest) => format!("did you mean \"{closest}\"?"),
            None => format!("one of fleet.zones: {}", zones.join(", ")),
        };
        let path = format!("instance[{}].zone", instance.label(index));
        diagnostics.report(&zone.origin, &path, format!("{name:?} is no zone of the fleet"), expected);
    }
}

/// The latency target of a class must not exceed its deadline.
fn validate_latency_target(class: &Node, path: &str, diagnostics: &mut Diagnostics) {
    let (Some(target), Some(deadline)) = (class.field("aim_ms"), class.field("deadline_ms")) else { return };
    let (Some(target_ms), Some(deadline_ms)) = (target.integer(), deadline.integer()) else { return };
    if target_ms > deadline_ms {
        let expected = format!("deadline_ms, {deadline_ms}, at most");
        diagnostics.report(&target.origin, &format!("{path}.aim_ms"), target_ms.to_string(), expected);
    }
}

/// Classes that are idempotent by key, and only these, have to set the scope and the time window of their keys.
fn validate_idempotency_key(class: &Node, path: &str, diagnostics: &mut Diagnostics) {
    let is_keyed = class.field("effect").and_then(Node::text) == Some("by_key");
    for name in ["key_scope", "window_ms"] {
        let path = format!("{path}.{name}");
        match (is_keyed, class.field(name)) {
            (true, None) => {
                let expected = "a value, as the class has effect = \"by_key\"";
                diagnostics.report(&class.origin, &path, "missing", expected);
            }
            (false, Some(given)) => {
                let expected = "no value, as the class does not have effect = \"by_key\"";
                diagnostics.report(&given.origin, &path, given.display(), expected);
            }
            _ => {}
        }
    }
}
