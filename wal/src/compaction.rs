//! A log that is rewritten with a snapshot of its state when it has grown much longer than that.

use crate::directory::Directory;
use crate::error::WalError;
use crate::storage::Storage;
use crate::wal::Wal;

/// A shorter file is never rewritten, in bytes.
pub const MIN_COMPACTION_BYTES: u64 = 2 << 20;
/// A file is rewritten at this multiple of its snapshot's length ...
const GROWTH_FACTOR: u64 = 6;
/// ... or at this length in bytes, whichever is less: the file, its last block and its replacement have to
/// fit on a disk of 64 MB.
pub const MAX_COMPACTION_BYTES: u64 = 24 << 20;
/// A file whose snapshot alone comes near [`MAX_COMPACTION_BYTES`] is rewritten at this multiple of the
/// snapshot's length.
const LARGE_STATE_GROWTH_FACTOR: u64 = 2;
/// After a compaction that failed, the next one is attempted when the file has grown by this, in bytes.
const RETRY_GROWTH_BYTES: u64 = 256 << 10;

/// A log that compacts itself.
#[derive(Debug)]
pub struct CompactingWal<S: Storage = Directory> {
    wal: Wal<S>,
    /// The length of the file at which it is rewritten, in bytes.
    compact_at: u64,
    /// Whether the last append failed, so that the next one rewrites the file.
    needs_rewrite: bool,
}

/// The outcome of an append that succeeded.
#[derive(Debug)]
pub struct AppendOutcome {
    /// Why the compaction that was due has failed. The records are durable all the same, and a later append
    /// attempts it again.
    pub compaction_error: Option<WalError>,
}

impl<S: Storage> CompactingWal<S> {
    /// Compacts this log from now on.
    pub fn new(wal: Wal<S>) -> Self {
        Self { wal, compact_at: MIN_COMPACTION_BYTES, needs_rewrite: false }
    }

    /// The length of the durable part of the file, in bytes.
    pub fn length(&self) -> u64 {
        self.wal.length()
    }

    /// Appends records; they are durable when this returns without an error. `snapshot` gives records that
    /// can replace all records of the log, the appended ones included; it is called only when the file is to
    /// be rewritten.
    ///
    /// # Errors
    /// If the records may not be durable. The caller has to repeat the same call until it succeeds, and must
    /// not append anything else before.
    pub fn append(
        &mut self,
        records: &[Vec<u8>],
        snapshot: impl Fn() -> Vec<Vec<u8>>,
    ) -> Result<AppendOutcome, WalError> {
        if self.needs_rewrite {
            self.retry(records, snapshot)?;
            return Ok(AppendOutcome { compaction_error: None });
        }
        if let Err(error) = self.wal.append(records) {
            self.needs_rewrite = true;
            return Err(error);
        }
        Ok(AppendOutcome { compaction_error: self.compact_if_due(snapshot).err() })
    }

    /// Repeats an append that failed: by a rewrite, as the present file may be beyond use; else by another
    /// append, as the disk may have no space for a second file.
    fn retry(&mut self, records: &[Vec<u8>], snapshot: impl Fn() -> Vec<Vec<u8>>) -> Result<(), WalError> {
        let Err(error) = self.rewrite(&snapshot()) else { return Ok(()) };
        if self.wal.append(records).is_err() {
            return Err(error);
        }
        self.needs_rewrite = false;
        Ok(())
    }

    fn compact_if_due(&mut self, snapshot: impl Fn() -> Vec<Vec<u8>>) -> Result<(), WalError> {
        if self.wal.length() < self.compact_at {
            return Ok(());
        }
        // The state may have grown since the last rewrite.
        let records = snapshot();
        self.compact_at = compaction_threshold(&records);
        if self.wal.length() < self.compact_at {
            return Ok(());
        }
        self.rewrite(&records).inspect_err(|_| self.compact_at = self.wal.length() + RETRY_GROWTH_BYTES)
    }

    fn rewrite(&mut self, records: &[Vec<u8>]) -> Result<(), WalError> {
        self.wal.rewrite(records)?;
        self.needs_rewrite = false;
        self.compact_at = compaction_threshold(records);
        Ok(())
    }
}

/// The length at which a file with this snapshot is rewritten, in bytes.
fn compaction_threshold(snapshot: &[Vec<u8>]) -> u64 {
    let length: u64 = snapshot.iter().map(|record| record.len() as u64).sum();
    let threshold = (length * GROWTH_FACTOR).min(MAX_COMPACTION_BYTES);
    threshold.max(length * LARGE_STATE_GROWTH_FACTOR).max(MIN_COMPACTION_BYTES)
}
