//! Changes of a configuration: application, and computation from two documents.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use speedy::{Readable, Writable};

use super::document::{Document, Item};

/// A change from one configuration to another, by item: an operator's PATCH request, or the difference of two
/// revisions that is sent to watchers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct Change {
    /// The resulting revision.
    pub revision: u64,
    /// By section: the items to add, or to replace by name.
    pub upsert: BTreeMap<String, Vec<Item>>,
    /// By section: the names of the items to remove. Unknown names are ignored.
    pub remove: BTreeMap<String, Vec<String>>,
    /// By name: the new JSON value of a field that is not a section; `None` for a field to remove.
    pub other_fields: BTreeMap<String, Option<String>>,
}

impl Document {
    /// A copy of this configuration with the change applied.
    #[must_use]
    pub fn with_change(&self, change: &Change) -> Self {
        let mut changed = self.clone();
        changed.apply(change);
        changed
    }

    /// Applies a change: removals first, so that an item that is both removed and upserted moves to the end
    /// of its section.
    pub fn apply(&mut self, change: &Change) {
        self.revision = change.revision;
        for (section, names) in &change.remove {
            let names: BTreeSet<&str> = names.iter().map(String::as_str).collect();
            let items = self.sections.entry(section.clone()).or_default();
            items.retain(|item| !names.contains(item.name.as_str()));
        }
        for (section, upsert) in &change.upsert {
            upsert_items(self.sections.entry(section.clone()).or_default(), upsert);
        }
        for (name, value) in &change.other_fields {
            match value {
                Some(value) => self.other_fields.insert(name.clone(), value.clone()),
                None => self.other_fields.remove(name),
            };
        }
    }

    /// The change from this configuration to another one. If items differ only in their order, applying the change
    /// keeps the order of this configuration; routing does not depend on the order.
    pub fn diff(&self, other: &Self) -> Change {
        let mut change = Change { revision: other.revision, ..Change::default() };
        let sections: BTreeSet<&String> = self.sections.keys().chain(other.sections.keys()).collect();
        for section in sections {
            self.diff_section(other, section, &mut change);
        }
        for name in self.other_fields.keys().chain(other.other_fields.keys()).collect::<BTreeSet<_>>() {
            let value = other.other_fields.get(name);
            if self.other_fields.get(name) != value {
                change.other_fields.insert(name.clone(), value.cloned());
            }
        }
        change
    }

    fn diff_section(&self, other: &Self, section: &str, change: &mut Change) {
        let old = self.items(section);
        let new = other.items(section);
        let old_json: BTreeMap<&str, &str> =
            old.iter().map(|item| (item.name.as_str(), item.json.as_str())).collect();
        let new_names: BTreeSet<&str> = new.iter().map(|item| item.name.as_str()).collect();
        let differs = |item: &&Item| old_json.get(item.name.as_str()) != Some(&item.json.as_str());
        let upsert: Vec<Item> = new.iter().filter(differs).cloned().collect();
        let remove: Vec<String> = old_json
            .keys()
            .filter(|name| !new_names.contains(*name))
            .map(|name| (*name).to_owned())
            .collect();
        // A new section is created even if it has no items.
        if !upsert.is_empty() || !self.sections.contains_key(section) {
            change.upsert.insert(section.to_owned(), upsert);
        }
        if !remove.is_empty() {
            change.remove.insert(section.to_owned(), remove);
        }
    }

    fn items(&self, section: &str) -> &[Item] {
        self.sections.get(section).map_or(&[], Vec::as_slice)
    }
}

/// Replaces items by name and appends new items. Of several upserted items with the same name the last one is used.
fn upsert_items(items: &mut Vec<Item>, upsert: &[Item]) {
    let mut latest: HashMap<&str, &Item> = upsert.iter().map(|item| (item.name.as_str(), item)).collect();
    for item in items.iter_mut() {
        if let Some(new) = latest.remove(item.name.as_str()) {
            item.clone_from(new);
        }
    }
    let added = upsert.iter().filter_map(|item| latest.remove(item.name.as_str())).cloned();
    items.extend(added);
}
