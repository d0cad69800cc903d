//! The keys of registers.

use speedy::{Readable, Writable};

use crate::watch::Shared;

/// The value of a register. Clones share one value.
pub type RegisterValue = Shared<Vec<u8>>;

/// What a register holds. Its encoding follows the order of variants: new ones go to the end.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub enum RegisterKey {
    /// The revision of the configuration.
    Revision,
    /// That the configuration has a section of this name.
    Section(String),
    /// An item of a section of the configuration.
    Item {
        /// The section.
        section: String,
        /// The item's name.
        name: String,
    },
    /// A field of the configuration that is no section.
    Field(String),
    /// A request that was applied to the configuration, in a ring of such slots.
    AppliedRequest(u16),
    /// The evacuation of a zone.
    Zone(String),
    /// The next membership.
    Membership,
    /// A value of an earlier release that this one can't decode, as it was stored.
    Undecodable,
    /// A lock that is held, by its name.
    Lock(String),
    /// A cell, by its name.
    Cell(String),
    /// A put of the history that watches are answered from, in a ring of such slots.
    CellEvent(u16),
}
