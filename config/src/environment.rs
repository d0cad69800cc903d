//! Overrides by environment variables: `IVYHATCH_LIMITS__SOCKETS` sets `limits.sockets`, and `IVYHATCH_INSTANCE__n0__LISTEN` sets
//! `listen` of the instance `n0`.

use crate::diagnostic::Diagnostics;
use crate::field_path::join;
use crate::node::{Node, NodeValue};
use crate::origin::Origin;
use crate::schema::{FILE, Field, Kind};
use crate::suggestion::closest;

/// Environment variables with this prefix override fields.
pub const ENVIRONMENT_PREFIX: &str = "IVYHATCH_";
/// Separates the names of nested fields in a variable's name.
const SEPARATOR: &str = "__";

/// Why a variable can't override a field.
struct OverrideError {
    field: String,
    problem: &'static str,
    expected: String,
}

/// Sets the field that a variable names, or reports a diagnostic.
pub(crate) fn apply_override(root: &mut Node, variable: &str, value: &str, diagnostics: &mut Diagnostics) {
    let origin = Origin::Environment(variable.to_owned());
    if let Err(error) = set_field(root, variable, value, &origin) {
        diagnostics.report(&origin, &error.field, error.problem, error.expected);
    }
}

fn set_field(root: &mut Node, variable: &str, value: &str, origin: &Origin) -> Result<(), OverrideError> {
    let name = &variable[ENVIRONMENT_PREFIX.len()..];
    let (mut node, mut fields, mut path) = (root, FILE, String::new());
    let mut segments = name.split(SEPARATOR);
    while let Some(segment) = segments.next() {
        let segment = segment.to_ascii_lowercase();
        let field = find_field(fields, &segment, &path)?;
        path = join(&path, &segment);
        // Validation reports the value that was given in place of a table.
        let NodeValue::Table(table) = &mut node.value else { return Ok(()) };
        match &field.kind {
            Kind::Table(inner) => {
                let table_node = table.entry(segment).or_insert_with(|| Node::empty_table(origin.clone()));
                (node, fields) = (table_node, inner);
            }
            Kind::TableList(inner) => {
                let Some(entry_name) = segments.next() else {
                    let expected = format!("{variable}{SEPARATOR}NAME{SEPARATOR}FIELD");
                    return Err(OverrideError { field: path, problem: "can't be set as a whole", expected });
                };
                let list = table.get_mut(&segment);
                (node, fields) = (find_entry(list, entry_name, &path)?, inner);
                path = format!("{path}[{entry_name}]");
            }
            kind if segments.next().is_some() => {
                let (problem, expected) = ("not a table: it has no fields", kind.expected());
                return Err(OverrideError { field: path, problem, expected });
            }
            kind => {
                table.insert(segment, parse_value(value, kind, origin));
                return Ok(());
            }
        }
    }
    let names: Vec<&str> = fields.iter().map(|field| field.name).collect();
    let names = names.join(", ").to_ascii_uppercase();
    let expected = format!("{variable}{SEPARATOR}FIELD, one of {names}");
    Err(OverrideError { field: path, problem: "can't be set as a whole", expected })
}

fn find_field(fields: &'static [Field], name: &str, path: &str) -> Result<&'static Field, OverrideError> {
    if let Some(field) = fields.iter().find(|field| field.name == name) {
        return Ok(field);
    }
    let known = || fields.iter().map(|field| field.name);
    let expected = match closest(name, known()) {
        Some(closest) => format!("did you mean \"{}\"?", closest.to_ascii_uppercase()),
        None => format!("one of {}", known().collect::<Vec<_>>().join(", ").to_ascii_uppercase()),
    };
    Err(OverrideError { field: join(path, name), problem: "unknown field", expected })
}

/// The table in a list of tables whose `name` field has this value.
fn find_entry<'a>(list: Option<&'a mut Node>, name: &str, path: &str) -> Result<&'a mut Node, OverrideError> {
    let entries = match list.map(|node| &mut node.value) {
        Some(NodeValue::List(list)) => list.as_mut_slice(),
        _ => &mut [],
    };
    let known: Vec<String> = entries.iter().enumerate().map(|(index, entry)| entry.label(index)).collect();
    let has_name = |entry: &Node| entry.field("name").and_then(Node::text) == Some(name);
    entries.iter_mut().find(|entry| has_name(entry)).ok_or_else(|| {
        let expected = match closest(name, known.iter().map(String::as_str)) {
            Some(closest) => format!("did you mean \"{closest}\"?"),
            None => format!("one of {}", known.join(", ")),
        };
        OverrideError { field: join(path, name), problem: "no entry has this name", expected }
    })
}

/// Parses a value in TOML notation. If the field's kind is text, a value without quotation marks is taken literally, even if it looks
/// like a number.
fn parse_value(value: &str, kind: &Kind, origin: &Origin) -> Node {
    let is_quoted = value.starts_with(['"', '\'']);
    if kind.is_text() && !is_quoted {
        Node::from_text(value, origin.clone())
    } else {
        Node::from_literal(value, origin.clone())
    }
}
