//! The operator's configuration.
//!
//! A [`Document`] keeps the operator's JSON item by item, fields of later versions included, so that it is returned as it was sent.
//! A [`Configuration`] is its typed view, by which requests are routed. A [`Change`] leads from one document to another.
//!
//! - `parse`: JSON to documents and changes
//! - `validate`: whether a document can be committed
//! - `change`: how a change is applied and computed
//! - `schema`: the typed view
//! - `error`: why a document is rejected

mod change;
mod error;
mod parse;
mod schema;
mod validate;

use std::collections::BTreeMap;

use serde_json::Value;
use speedy::{Readable, Writable};

pub use self::change::Change;
pub use self::error::{ConfigurationError, JsonError};
pub use self::schema::{Configuration, Engine, RequestLimits, Route, RouteKind, Service, Split};

/// An object of a section, identified by its `name`.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Item {
    /// The value of the object's field `name`.
    pub name: String,
    /// The whole object, as JSON.
    pub json: String,
}

/// A whole configuration.
///
/// A section is a field whose value is a list of objects with names, also one that this version does not know. The order of items
/// is kept, that of fields is not.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct Document {
    /// The revision: chosen by the operator, higher with each configuration; 0 for none.
    pub revision: u64,
    /// The sections by name.
    pub sections: BTreeMap<String, Vec<Item>>,
    /// The JSON values of all other fields by name.
    pub other_fields: BTreeMap<String, String>,
}

impl Document {
    /// The configuration as one JSON object: the revision, the sections, the other fields.
    pub fn to_json(&self) -> String {
        let mut json = format!("{{\"revision\":{}", self.revision);
        let mut push_field = |name: &str, value: &str| {
            json.push_str(&format!(",{}:{value}", Value::from(name)));
        };
        for (name, items) in &self.sections {
            let items: Vec<&str> = items.iter().map(|item| item.json.as_str()).collect();
            push_field(name, &format!("[{}]", items.join(",")));
        }
        for (name, value) in &self.other_fields {
            push_field(name, value);
        }
        json.push('}');
        json
    }
}
