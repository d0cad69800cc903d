//! A map of registers that records which change wrote each register.

use std::collections::{BTreeMap, BTreeSet};

use super::key::{RegisterKey, RegisterValue};
use super::update::RegisterWrite;

/// The maximum number of removed registers that are kept, for receivers that may still have these registers. The ones
/// that were removed first are evicted first.
const MAX_REMOVED: usize = 1024;

/// A register of the map.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Register {
    sequence: u64,
    /// `None` if the register was removed.
    value: Option<RegisterValue>,
    digest: u64,
}

/// The registers of a partition at one version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RegisterMap {
    registers: BTreeMap<RegisterKey, Register>,
    /// All registers in the order of the changes that wrote them.
    by_sequence: BTreeSet<(u64, RegisterKey)>,
    /// The removed registers, in the order of the changes that removed them.
    removed: BTreeSet<(u64, RegisterKey)>,
    /// Registers that were removed by this change or an earlier one may have been evicted.
    complete_since: u64,
    digest: u64,
}

impl RegisterMap {
    /// The map with these writes, as of the change `sequence`. It does not know which registers were removed up to this
    /// change.
    pub fn from_snapshot(sequence: u64, writes: impl IntoIterator<Item = RegisterWrite>) -> Self {
        let mut map = Self { complete_since: sequence, ..Self::default() };
        writes.into_iter().filter(|write| write.value.is_some()).for_each(|write| map.apply(write));
        map
    }

    /// Applies one write.
    pub fn apply(&mut self, write: RegisterWrite) {
        let digest = write.digest();
        let RegisterWrite { key, sequence, value } = write;
        let is_removed = value.is_none();
        self.erase(&key);
        self.digest = self.digest.wrapping_add(digest);
        self.by_sequence.insert((sequence, key.clone()));
        if is_removed {
            self.removed.insert((sequence, key.clone()));
        }
        self.registers.insert(key, Register { sequence, value, digest });
        self.evict_oldest_removed();
    }

    /// Removes a register from the map, so that [`RegisterMap::written_since`] no longer returns it.
    fn erase(&mut self, key: &RegisterKey) {
        let Some(known) = self.registers.remove(key) else { return };
        let position = (known.sequence, key.clone());
        self.by_sequence.remove(&position);
        self.removed.remove(&position);
        self.digest = self.digest.wrapping_sub(known.digest);
    }

    fn evict_oldest_removed(&mut self) {
        while self.removed.len() > MAX_REMOVED {
            let Some((sequence, key)) = self.removed.first().cloned() else { return };
            self.erase(&key);
            self.complete_since = self.complete_since.max(sequence);
        }
    }

    /// The value of a register; `None` if the register was removed or does not exist.
    pub fn value(&self, key: &RegisterKey) -> Option<&RegisterValue> {
        self.registers.get(key)?.value.as_ref()
    }

    /// The registers that have a value, in the order of their keys.
    pub fn values(&self) -> impl Iterator<Item = (&RegisterKey, &RegisterValue)> {
        self.registers.iter().filter_map(|(key, register)| Some((key, register.value.as_ref()?)))
    }

    /// The digest of the contents; see [`super::StateUpdate::digest`].
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// The part of [`RegisterMap::digest`] that is due to a register; 0 if the register has no value.
    pub fn digest_of(&self, key: &RegisterKey) -> u64 {
        self.registers.get(key).map_or(0, |register| register.digest)
    }

    /// All registers that were written by changes after this one, including removed registers; `None` if some of the
    /// removed registers may have been evicted.
    pub fn written_since(&self, sequence: u64) -> Option<Vec<RegisterWrite>> {
        if sequence < self.complete_since {
            return None;
        }
        let later = self.by_sequence.iter().rev().take_while(|(written, _)| *written > sequence);
        Some(later.filter_map(|(_, key)| self.write(key)).collect())
    }

    /// All registers that have a value.
    pub fn snapshot(&self) -> Vec<RegisterWrite> {
        self.values().filter_map(|(key, _)| self.write(key)).collect()
    }

    fn write(&self, key: &RegisterKey) -> Option<RegisterWrite> {
        let register = self.registers.get(key)?;
        Some(RegisterWrite { key: key.clone(), sequence: register.sequence, value: register.value.clone() })
    }
}
