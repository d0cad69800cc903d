//! The contents of a partition of the control state: a map of registers.
//!
//! Each register has a key, a value, and the number of the change that wrote it last. These numbers show which
//! registers a receiver lacks, so that a replica sends only those: see [`StateUpdate`].

mod key;
mod map;
mod update;

pub use self::key::{RegisterKey, RegisterValue};
pub use self::map::RegisterMap;
pub use self::update::{
    RegisterChanges, RegisterWrite, StateUpdate, UpdateBase, Version, register_digest, writes_digest,
};
