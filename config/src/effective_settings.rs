//! The effective settings: the value of each field with its origin.

use serde::Serialize;

use crate::field_path::join;
use crate::node::Node;
use crate::origin::Origin;
use crate::schema::{FILE, Field, Kind};

/// The effective value of a field.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Setting {
    /// Path of the field, as in `limits.sockets` or `instance[n0].zone`.
    pub field: String,
    /// The effective value.
    pub value: serde_json::Value,
    /// Where the value was given.
    pub origin: Origin,
}

/// The effective values of all fields that have one, in the order of the schema.
pub(crate) fn effective_settings(root: &Node) -> Vec<Setting> {
    let mut settings = Vec::new();
    collect(root, FILE, "", &mut settings);
    settings
}

fn collect(node: &Node, fields: &'static [Field], path: &str, settings: &mut Vec<Setting>) {
    for field in fields {
        let Some(given) = node.field(field.name) else { continue };
        let path = join(path, field.name);
        match field.kind {
            Kind::Table(inner) => collect(given, inner, &path, settings),
            Kind::TableList(inner) => {
                for (index, entry) in node.entries(field.name).iter().enumerate() {
                    collect(entry, inner, &format!("{path}[{}]", entry.label(index)), settings);
                }
            }
            _ => {
                let (value, origin) = (given.to_json(), given.origin.clone());
                settings.push(Setting { field: path, value, origin });
            }
        }
    }
}
