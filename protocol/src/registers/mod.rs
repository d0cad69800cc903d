//! The contents of a partition of the control state: a map of registers.
//!
//! Each register has a key and a value, and knows the number of the change that wrote it last. What one replica lacks of another's
//! contents is therefore known by number, and is all that travels: see [`StateUpdate`].

mod key;
mod map;
mod update;

pub use self::key::{RegisterKey, RegisterValue};
pub use self::map::RegisterMap;
pub use self::update::{
    RegisterChanges, RegisterWrite, StateUpdate, UpdateBase, Version, register_digest, writes_digest,
};
