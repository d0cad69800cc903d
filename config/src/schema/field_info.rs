//! The schema as a list of fields, for operators.

use serde::Serialize;

use super::fields::FILE;
use super::kind::{Field, Kind, Presence};

/// A field of the schema as operators see it. The names in the JSON are those of the first release.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FieldInfo {
    /// Path of the field, as in `limits.sockets` or `instance[].zone`.
    pub field: String,
    /// Kind and range of valid values, in words.
    #[serde(rename = "wanted")]
    pub expected: String,
    /// Default value in TOML notation; `None` for required and optional fields.
    pub default: Option<&'static str>,
    /// Whether a configuration without the field is invalid.
    pub required: bool,
    /// Purpose of the field, in a few words.
    pub purpose: &'static str,
}

/// All fields of the schema that hold values, in the order of the schema. Tables are not listed themselves.
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
