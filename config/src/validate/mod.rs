//! Validation: checks the given values against the schema, fills in defaults, and reports every error.

mod relations;

use std::collections::BTreeMap;

use crate::diagnostic::Diagnostics;
use crate::field_path::join;
use crate::node::{Node, NodeValue};
use crate::origin::Origin;
use crate::schema::{FILE, Field, Kind, Presence, VERSION};
use crate::suggestion::closest;

/// Validates a configuration and fills in the defaults of omitted fields.
pub(crate) fn validate(root: &mut Node, diagnostics: &mut Diagnostics) {
    // In another version the same fields may have another meaning, so nothing else is validated.
    if let Some(node) = root.field("version")
        && let Some(version) = node.integer().filter(|version| *version != VERSION as i64)
    {
        let problem = format!("this program can't read version {version}");
        let expected =
            format!("version {VERSION}; use a release that reads this version, or convert the file");
        return diagnostics.report(&node.origin, "version", problem, expected);
    }
    validate_table(root, FILE, "", diagnostics);
    relations::validate(root, diagnostics);
}

fn validate_table(node: &mut Node, fields: &'static [Field], path: &str, diagnostics: &mut Diagnostics) {
    let NodeValue::Table(table) = &mut node.value else {
        let problem = format!("{} in place of a table", node.display());
        return diagnostics.report(&node.origin, path, problem, Kind::Table(fields).expected());
    };
    report_unknown_fields(table, fields, path, diagnostics);
    for field in fields {
        let path = join(path, field.name);
        if !table.contains_key(field.name) {
            match default_value(field, &node.origin) {
                Some(default) => drop(table.insert(field.name.to_owned(), default)),
                None if matches!(field.presence, Presence::Required) => {
                    let expected = format!("{}: {}", field.kind.expected(), field.purpose);
                    diagnostics.report(&node.origin, &path, "missing", expected);
                }
                None => {}
            }
        }
        if let Some(given) = table.get_mut(field.name) {
            validate_value(given, &field.kind, &path, diagnostics);
        }
    }
}

fn report_unknown_fields(
    table: &BTreeMap<String, Node>,
    fields: &'static [Field],
    path: &str,
    diagnostics: &mut Diagnostics,
) {
    let known = || fields.iter().map(|field| field.name);
    for (name, given) in table.iter().filter(|(name, _)| !known().any(|known| known == **name)) {
        let expected = match closest(name, known()) {
            Some(closest) => format!("did you mean \"{closest}\"?"),
            None => format!("the fields here are {}", known().collect::<Vec<_>>().join(", ")),
        };
        diagnostics.report(&given.origin, &join(path, name), "unknown field", expected);
    }
}

/// The default of an omitted field; `None` if the field is required or optional.
fn default_value(field: &Field, table_origin: &Origin) -> Option<Node> {
    let Presence::Default(text) = field.presence else { return None };
    Some(match field.kind {
        // The empty table is validated in turn: some of its fields may be required.
        Kind::Table(_) => Node::empty_table(table_origin.clone()),
        _ => Node::from_literal(text, Origin::Default),
    })
}

fn validate_value(node: &mut Node, kind: &'static Kind, path: &str, diagnostics: &mut Diagnostics) {
    match (&mut node.value, kind) {
        (NodeValue::Table(_), Kind::Table(fields)) => {
            return validate_table(node, fields, path, diagnostics);
        }
        (NodeValue::List(list), Kind::TableList(fields)) if list.iter().all(Node::is_table) => {
            for (index, entry) in list.iter_mut().enumerate() {
                let path = format!("{path}[{}]", entry.label(index));
                validate_table(entry, fields, &path, diagnostics);
            }
            return;
        }
        (NodeValue::Integer(integer), Kind::Number(..)) => {
            node.value = NodeValue::Number(*integer as f64);
        }
        _ => {}
    }
    if !kind.accepts(&node.value) {
        diagnostics.report(&node.origin, path, node.display(), expected_with_suggestion(node, kind));
    }
}

/// The expected value in place of an invalid one, with a suggestion if a valid word is similar.
fn expected_with_suggestion(node: &Node, kind: &Kind) -> String {
    let suggestion = match kind {
        Kind::OneOf(words) => node.text().and_then(|text| closest(text, words.iter().copied())),
        _ => None,
    };
    match suggestion {
        Some(word) => format!("did you mean \"{word}\"? {}", kind.expected()),
        None => kind.expected(),
    }
}
