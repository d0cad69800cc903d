//! The schema as operators see it.

use serde::Serialize;

use super::fields::FILE;
use super::kind::{Field, Kind, Presence};

/// A field of the schema. The names in its JSON are those of the first release.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FieldInfo {
    /// Its path, as in `limits.sockets` or `instance[].zone`.
    pub field: String,
    /// What a value must be.
    #[serde(rename = "wanted")]
    pub expected: String,
    /// Its default, as in TOML; none where it is required or optional.
    pub default: Option<&'static str>,
    /// Whether it is required.
    pub required: bool,
    /// Its purpose.
    pub purpose: &'static str,
}

/// All fields of the schema, in its order.
pub fn fields() -> Vec<FieldInfo> {
    let mut found = Vec::new();
    list_fields(FILE, "", &mut found);
    found
}

fn list_fields(fields: &'static [Field], path: &str, found: &mut Vec<FieldInfo>) {
    for field in fields {
        let path = if path.is_empty() { field.name.to_owned() } else { format!("{path}.{}", field.name) };
        match field.kind {
            Kind::Table(inner) => list_fields(inner, &path, found),
            Kind::TableList(inner) => list_fields(inner, &format!("{path}[]"), found),
            _ => found.push(FieldInfo {
                field: path,
                expected: field.kind.expected(),
                default: match field.presence {
                    Presence::Default(text) => Some(text),
                    Presence::Required | Presence::Optional => None,
                },
                required: matches!(field.presence, Presence::Required),
                purpose: field.purpose,
            }),
        }
    }
}
