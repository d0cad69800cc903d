//! The keys of registers.

use speedy::{Readable, Writable};

use crate::watch::Shared;

/// The value of a register. Clones share one value.
pub type RegisterValue = Shared<Vec<u8>>;

/// The key of a register. Its encoding depends on the order of the variants: new variants are added at the end.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub enum RegisterKey {
    /// The revision of the configuration.
    Revision,
    /// Present if the configuration has a section of this name.
    Section(String),
    /// An item of a section of the configuration.
    Item {
        /// The name of the section.
        section: String,
        /// The item's name.
        name: String,
    },
    /// A field of the configuration that is not a section, by its name.
    Field(String),
    /// A request that was applied to the configuration, by its slot in a ring buffer.
    AppliedRequest(u16),
    /// The evacuation state of a zone, by the zone's name.
    Zone(String),
    /// The next membership.
    Membership,
    /// A value that an earlier release has stored and this release can't decode, unchanged.
    Undecodable,
    /// A lock that is held, by its name.
    Lock(String),
    /// A cell, by its name.
    Cell(String),
    /// A put in the history from which watches are answered, by its slot in a ring buffer.
    CellEvent(u16),
}
