//! A log that stays short: it is replaced by a snapshot of its state when it has grown much longer than that.

use crate::error::WalError;
use crate::storage::{Directory, Storage};
use crate::wal::Wal;

/// A shorter file is never replaced.
pub const MIN_COMPACTION_BYTES: u64 = 2 << 20;
/// A file is replaced when it is so many times as long as a snapshot ...
const GROWTH_FACTOR: u64 = 6;
/// ... or this long: the file, its last write and its replacement have to fit on a disk of 64 MB together.
pub const MAX_COMPACTION_BYTES: u64 = 24 << 20;
/// A file that is longer than [`MAX_COMPACTION_BYTES`] by its state alone is replaced at this many times its snapshot.
const GROWTH_FACTOR_OF_LARGE_STATE: u64 = 2;
/// After a compaction that failed the next one is tried when the file has grown by this.
const RETRY_GROWTH: u64 = 256 << 10;

/// A log, and when it is to be compacted next.
#[derive(Debug)]
pub struct CompactingWal<S: Storage = Directory> {
    log: Wal<S>,
    compact_at: u64,
    /// A write has failed, so that the next one is a replacement of the file.
    needs_replacement: bool,
}

/// What a write has done.
#[derive(Debug)]
pub struct WriteOutcome {
    /// Why the compaction that was due has failed. The write itself is durable all the same.
    pub compaction_error: Option<WalError>,
}

impl<S: Storage> CompactingWal<S> {
    /// Compacts this log from now on.
    pub fn new(log: Wal<S>) -> Self {
        Self { log, compact_at: MIN_COMPACTION_BYTES, needs_replacement: false }
    }

    /// The length of the file in bytes, as far as it is sound and durable.
    pub fn length(&self) -> u64 {
        self.log.length()
    }

    /// Writes records. When this returns without an error, they are durable. `snapshot` gives the records that say all that the
    /// file has to say, these ones included; it is called only when the file is to be replaced.
    ///
    /// # Errors
    /// Where the records are not known to be durable. The same call is to be made again until it succeeds.
    pub fn write(
        &mut self,
        records: &[Vec<u8>],
        snapshot: impl Fn() -> Vec<Vec<u8>>,
    ) -> Result<WriteOutcome, WalError> {
        if self.needs_replacement {
            return self.retry(records, snapshot).map(|()| WriteOutcome { compaction_error: None });
        }
        if let Err(error) = self.log.append(records) {
            self.needs_replacement = true;
            return Err(error);
        }
        Ok(WriteOutcome { compaction_error: self.compact(snapshot).err() })
    }

    /// After a write that failed: a new file is tried first, as the present one may be beyond use, and then the present one, as
    /// there may be no room for two.
    fn retry(&mut self, records: &[Vec<u8>], snapshot: impl Fn() -> Vec<Vec<u8>>) -> Result<(), WalError> {
        let Err(error) = self.replace(&snapshot()) else { return Ok(()) };
        if self.log.append(records).is_err() {
            return Err(error);
        }
        self.needs_replacement = false;
        Ok(())
    }

    fn compact(&mut self, snapshot: impl Fn() -> Vec<Vec<u8>>) -> Result<(), WalError> {
        if self.log.length() < self.compact_at {
            return Ok(());
        }
        let records = snapshot();
        self.compact_at = compaction_length(&records);
        if self.log.length() < self.compact_at {
            return Ok(());
        }
        self.replace(&records).inspect_err(|_| self.compact_at = self.log.length() + RETRY_GROWTH)
    }

    fn replace(&mut self, records: &[Vec<u8>]) -> Result<(), WalError> {
        self.log.rewrite(records)?;
        self.needs_replacement = false;
        self.compact_at = compaction_length(records);
        Ok(())
    }
}

/// The length at which a file with a snapshot like this one is replaced.
fn compaction_length(snapshot: &[Vec<u8>]) -> u64 {
    let length: u64 = snapshot.iter().map(|record| record.len() as u64).sum();
    let wanted = (length * GROWTH_FACTOR).min(MAX_COMPACTION_BYTES);
    wanted.max(length * GROWTH_FACTOR_OF_LARGE_STATE).max(MIN_COMPACTION_BYTES)
}
