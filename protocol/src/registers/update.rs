//! Updates of a partition's contents, which one replica sends to another.

use speedy::{Readable, Writable};

use super::key::{RegisterKey, RegisterValue};
use crate::hash::{fnv1a_hash, hash_mix};
use crate::ids::Ballot;

/// The number of bits by which the hash of a key is rotated before the hash of its value is added.
const KEY_ROTATION: u32 = 23;

/// The registers that a change writes; registers without a value are removed.
pub type RegisterChanges = Vec<(RegisterKey, Option<RegisterValue>)>;

/// A version of a partition's contents: the ballot under which a leader proposed the contents, and the number of the
/// last change in them. Of two versions the one with the higher ballot is newer, whatever their numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct Version {
    /// The ballot under which the contents were proposed.
    pub ballot: Ballot,
    /// The number of the last change, from 1; 0 for empty contents.
    pub sequence: u64,
}

/// A register after the last change that wrote it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Readable, Writable)]
pub struct RegisterWrite {
    /// The key of the register.
    pub key: RegisterKey,
    /// The number of the change that wrote the register.
    pub sequence: u64,
    /// The value; `None` if the change removed the register.
    pub value: Option<RegisterValue>,
}

/// The contents that an update applies to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Readable, Writable)]
pub enum UpdateBase {
    /// The update contains all registers and replaces the receiver's contents.
    Empty,
    /// The update contains all registers that were written by changes after this one. It applies to any contents that
    /// agree with the sender's up to this change or a later one.
    Since(u64),
}

impl UpdateBase {
    /// Whether an update with this base applies to contents that agree with the sender's up to the change `sequence`.
    pub fn applies_to(self, sequence: u64) -> bool {
        match self {
            Self::Empty => true,
            Self::Since(since) => since <= sequence,
        }
    }
}

/// The difference between two versions of a partition's contents, or a whole version.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Readable, Writable)]
pub struct StateUpdate {
    /// The resulting version.
    pub version: Version,
    /// The contents that the update applies to.
    pub base: UpdateBase,
    /// Each register that was written since `base`, once.
    pub writes: Vec<RegisterWrite>,
    /// The digest of the resulting contents: the sum of [`register_digest`] over all registers that have a value. If the
    /// receiver computes another digest, its contents differ from the sender's, and it needs a whole version.
    pub digest: u64,
}

/// The digest of one register.
pub fn register_digest(key: &RegisterKey, value: &[u8]) -> u64 {
    // Encoding a key to memory can't fail.
    let key = key.write_to_vec().unwrap_or_default();
    hash_mix(fnv1a_hash(&key).rotate_left(KEY_ROTATION).wrapping_add(fnv1a_hash(value)))
}

/// The digest of contents that consist of these writes; see [`StateUpdate::digest`].
pub fn writes_digest(writes: &[RegisterWrite]) -> u64 {
    writes.iter().map(RegisterWrite::digest).fold(0, u64::wrapping_add)
}

impl RegisterWrite {
    /// The part of [`StateUpdate::digest`] that is due to this register; 0 if the register is removed.
    pub fn digest(&self) -> u64 {
        self.value.as_ref().map_or(0, |value| register_digest(&self.key, value))
    }
}
