//! A configuration as the operator wrote it.

use std::collections::BTreeMap;

use serde_json::Value;
use speedy::{Readable, Writable};

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
/// A section is a field whose value is a list of objects that have a `name`, including fields that this release does
/// not know. The order of items is kept, the order of fields is not.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct Document {
    /// The revision, which the operator chooses and increases with each configuration; 0 for none.
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
