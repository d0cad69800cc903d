//! The registers of the configuration: one for each item of a section, so that a change is sent and stored as the changed items only.
//!
//! The items of a section have an order. An item's register holds the item's position and its JSON text: positions increase along the
//! section, and may have gaps.

use std::collections::{BTreeMap, BTreeSet};

use ivyhatch_protocol::configuration::{Document, Item};
use ivyhatch_protocol::registers::{RegisterChanges, RegisterKey, RegisterMap, RegisterValue};
use speedy::{Readable, Writable};

use super::partition_state::{ConfigurationState, MAX_APPLIED_DIGESTS};

/// The value of an item's register.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
struct ItemValue {
    position: u64,
    json: String,
}

/// The value of an applied request's register. The request with number n is stored in slot n modulo [`MAX_APPLIED_DIGESTS`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
struct AppliedRequest {
    number: u64,
    digest: u64,
}

/// The positions of the items of each section, in the order of its items.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ItemPositions(BTreeMap<String, Vec<u64>>);

impl ItemPositions {
    /// The positions after `new` has replaced `old`. Items keep their positions where the new order allows that, and new items at the
    /// end get the next positions; otherwise all items of the section are renumbered from 1.
    #[must_use]
    pub fn updated(&self, old: &Document, new: &Document) -> Self {
        let section = |(name, items): (&String, &Vec<Item>)| {
            let old_items = old.sections.get(name).map_or(&[][..], Vec::as_slice);
            (name.clone(), updated_positions(old_items, self.for_section(name), items))
        };
        Self(new.sections.iter().map(section).collect())
    }

    fn for_section(&self, section: &str) -> &[u64] {
        self.0.get(section).map_or(&[], Vec::as_slice)
    }
}

fn updated_positions(old_items: &[Item], old_positions: &[u64], items: &[Item]) -> Vec<u64> {
    let names = old_items.iter().map(|item| item.name.as_str());
    let old_position_by_name: BTreeMap<&str, u64> = names.zip(old_positions.iter().copied()).collect();
    let mut next = old_positions.iter().max().map_or(1, |last| last + 1);
    let position = |item: &Item| {
        old_position_by_name.get(item.name.as_str()).copied().unwrap_or_else(|| {
            next += 1;
            next - 1
        })
    };
    let positions: Vec<u64> = items.iter().map(position).collect();
    match positions.is_sorted() {
        true => positions,
        false => (1..=items.len() as u64).collect(),
    }
}

/// The register changes that lead from one state to another.
pub fn configuration_changes(old: &ConfigurationState, new: &ConfigurationState) -> RegisterChanges {
    let mut changes = Vec::new();
    if old.document.revision != new.document.revision {
        changes.push((RegisterKey::Revision, encoded(&new.document.revision)));
    }
    add_field_changes(old, new, &mut changes);
    let sections: BTreeSet<&String> =
        old.document.sections.keys().chain(new.document.sections.keys()).collect();
    sections.into_iter().for_each(|section| add_section_changes(section, old, new, &mut changes));
    let old_end = old.first_applied + old.applied_digests.len() as u64;
    for (number, digest) in (new.first_applied..).zip(&new.applied_digests) {
        if number >= old_end {
            let slot = RegisterKey::AppliedRequest((number % MAX_APPLIED_DIGESTS as u64) as u16);
            changes.push((slot, encoded(&AppliedRequest { number, digest: *digest })));
        }
    }
    changes
}

fn add_field_changes(old: &ConfigurationState, new: &ConfigurationState, changes: &mut RegisterChanges) {
    let (old, new) = (&old.document.other_fields, &new.document.other_fields);
    for name in old.keys().chain(new.keys()).collect::<BTreeSet<_>>() {
        if old.get(name) != new.get(name) {
            let value = new.get(name).map(|value| value.clone().into_bytes().into());
            changes.push((RegisterKey::Field(name.clone()), value));
        }
    }
}

fn add_section_changes(
    section: &str,
    old: &ConfigurationState,
    new: &ConfigurationState,
    changes: &mut RegisterChanges,
) {
    let (had_section, has_section) =
        (old.document.sections.contains_key(section), new.document.sections.contains_key(section));
    if had_section != has_section {
        let value = has_section.then(|| Vec::new().into());
        changes.push((RegisterKey::Section(section.to_owned()), value));
    }
    let (old_items, new_items) = (items_by_name(old, section), items_by_name(new, section));
    let key = |name: &str| RegisterKey::Item { section: section.to_owned(), name: name.to_owned() };
    for (name, (position, json)) in &new_items {
        if old_items.get(name) != Some(&(*position, *json)) {
            let value = ItemValue { position: *position, json: (*json).to_owned() };
            changes.push((key(name), encoded(&value)));
        }
    }
    let removed = old_items.keys().filter(|name| !new_items.contains_key(*name));
    changes.extend(removed.map(|name| (key(name), None)));
}

/// The position and the text of each item of a section.
fn items_by_name<'a>(state: &'a ConfigurationState, section: &str) -> BTreeMap<&'a str, (u64, &'a str)> {
    let items = state.document.sections.get(section).into_iter().flatten();
    let positions = state.item_positions.for_section(section);
    let by_name = |(item, position): (&'a Item, &u64)| (item.name.as_str(), (*position, item.json.as_str()));
    items.zip(positions).map(by_name).collect()
}

/// The register changes that lead from an empty partition to a state.
pub fn configuration_registers(state: &ConfigurationState) -> RegisterChanges {
    configuration_changes(&ConfigurationState::default(), state)
}

/// Decodes the state from its registers; `None` where a register is unknown or malformed.
pub fn read_configuration(registers: &RegisterMap) -> Option<ConfigurationState> {
    let mut state = ConfigurationState::default();
    let mut sections: BTreeMap<&str, Vec<(u64, Item)>> = BTreeMap::new();
    let mut applied: Vec<AppliedRequest> = Vec::new();
    for (key, value) in registers.values() {
        match key {
            RegisterKey::Revision => state.document.revision = decoded(value)?,
            RegisterKey::Section(section) => drop(sections.entry(section).or_default()),
            RegisterKey::Item { section, name } => {
                let ItemValue { position, json } = decoded(value)?;
                let item = Item { name: name.clone(), json };
                sections.entry(section).or_default().push((position, item));
            }
            RegisterKey::Field(name) => {
                let json = String::from_utf8(value.to_vec()).ok()?;
                state.document.other_fields.insert(name.clone(), json);
            }
            RegisterKey::AppliedRequest(_) => applied.push(decoded(value)?),
            RegisterKey::Zone(_)
            | RegisterKey::Membership
            | RegisterKey::Undecodable
            | RegisterKey::Lock(_)
            | RegisterKey::Cell(_)
            | RegisterKey::CellEvent(_) => return None,
        }
    }
    applied.sort_unstable_by_key(|request| request.number);
    state.first_applied = applied.first().map_or(0, |request| request.number);
    state.applied_digests = applied.into_iter().map(|request| request.digest).collect();
    for (section, mut items) in sections {
        items.sort_by_key(|(position, _)| *position);
        let (positions, items) = items.into_iter().unzip();
        state.item_positions.0.insert(section.to_owned(), positions);
        state.document.sections.insert(section.to_owned(), items);
    }
    Some(state)
}

fn encoded(value: &impl Writable<speedy::LittleEndian>) -> Option<RegisterValue> {
    // Writing to memory can't fail.
    Some(value.write_to_vec().unwrap_or_default().into())
}

fn decoded<T: for<'a> Readable<'a, speedy::LittleEndian>>(value: &RegisterValue) -> Option<T> {
    T::read_from_buffer(value).ok()
}
