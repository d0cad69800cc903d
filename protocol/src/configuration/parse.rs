//! Parsing of configurations and changes from JSON, with their items kept as text.

use std::collections::{BTreeMap, BTreeSet};

use serde::Deserialize;
use serde_json::value::RawValue;

use super::change::Change;
use super::document::{Document, Item};
use super::error::ConfigurationError;

type Fields = BTreeMap<String, Box<RawValue>>;

impl Document {
    /// Parses the body of a PUT request.
    ///
    /// # Errors
    /// If the body is not a JSON object with a revision, or the names in a section are not distinct.
    /// [`Document::validate`] checks the values of all other fields.
    pub fn parse(body: &[u8]) -> Result<Self, ConfigurationError> {
        let mut fields: Fields = serde_json::from_slice(body)?;
        let mut document = Self { revision: take_revision(&mut fields)?, ..Self::default() };
        for (name, raw) in fields {
            match parse_items(&raw) {
                Some(items) => {
                    check_names(&name, &items)?;
                    document.sections.insert(name, items);
                }
                None => {
                    document.other_fields.insert(name, raw.get().to_owned());
                }
            }
        }
        Ok(document)
    }
}

impl Change {
    /// Parses the body of a PATCH request.
    ///
    /// # Errors
    /// If the body is not a JSON object with a revision, `upsert` has a section that is not a list of named items, or
    /// `remove` is not an object of lists of names.
    pub fn parse(body: &[u8]) -> Result<Self, ConfigurationError> {
        let mut fields: Fields = serde_json::from_slice(body)?;
        let mut change = Self { revision: take_revision(&mut fields)?, ..Self::default() };
        if let Some(raw) = fields.remove("upsert") {
            change.upsert = parse_upsert(&raw)?;
        }
        if let Some(raw) = fields.remove("remove") {
            change.remove = serde_json::from_str(raw.get())
                .map_err(|error| ConfigurationError::RemoveNotNames(error.to_string()))?;
        }
        for (name, raw) in fields {
            change.other_fields.insert(name, Some(raw.get().to_owned()));
        }
        Ok(change)
    }
}

fn take_revision(fields: &mut Fields) -> Result<u64, ConfigurationError> {
    let raw = fields.remove("revision").ok_or(ConfigurationError::MissingRevision)?;
    raw.get().parse().map_err(|_| ConfigurationError::RevisionNotInteger(raw.get().to_owned()))
}

fn parse_upsert(raw: &RawValue) -> Result<BTreeMap<String, Vec<Item>>, ConfigurationError> {
    let sections: Fields = serde_json::from_str(raw.get())?;
    let mut upsert = BTreeMap::new();
    for (section, raw) in sections {
        let items = parse_items(&raw)
            .ok_or_else(|| ConfigurationError::UpsertNotItems { section: section.clone() })?;
        check_names(&section, &items)?;
        upsert.insert(section, items);
    }
    Ok(upsert)
}

/// The items of a list of objects that all have names; `None` for any other value.
fn parse_items(raw: &RawValue) -> Option<Vec<Item>> {
    let list: Vec<Box<RawValue>> = serde_json::from_str(raw.get()).ok()?;
    list.iter().map(|raw| parse_item(raw)).collect()
}

fn parse_item(raw: &RawValue) -> Option<Item> {
    #[derive(Deserialize)]
    struct Named {
        name: String,
    }
    let Named { name } = serde_json::from_str(raw.get()).ok()?;
    Some(Item { name, json: raw.get().to_owned() })
}

fn check_names(section: &str, items: &[Item]) -> Result<(), ConfigurationError> {
    let mut names = BTreeSet::new();
    match items.iter().find(|item| !names.insert(&item.name)) {
        Some(item) => {
            Err(ConfigurationError::DuplicateName { section: section.to_owned(), name: item.name.clone() })
        }
        None => Ok(()),
    }
}
