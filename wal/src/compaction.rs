//! A log that is rewritten with a snapshot of its state when the file has grown much longer than the snapshot.

use crate::directory::Directory;
use crate::error::WalError;
use crate::storage::Storage;
use crate::wal::Wal;

/// The minimum length of a file that is compacted, in bytes.
pub const MIN_COMPACTION_BYTES: u64 = 2 << 20;
/// A file is rewritten when its length reaches this multiple of its snapshot's length, or
/// [`MAX_COMPACTION_BYTES`], whichever is less.
const GROWTH_FACTOR: u64 = 6;
/// The length at which a file is rewritten even if it is not much longer than its snapshot, in bytes: the file, its
/// last block and its replacement have to fit on a disk of 64 MB.
pub const MAX_COMPACTION_BYTES: u64 = 24 << 20;
/// A file whose snapshot alone comes near [`MAX_COMPACTION_BYTES`] is rewritten at this multiple of the
/// snapshot's length.
const LARGE_STATE_GROWTH_FACTOR: u64 = 2;
/// After a failed compaction, the next one is attempted when the file has grown by this length, in bytes.
const RETRY_GROWTH_BYTES: u64 = 256 << 10;

/// A log that compacts itself.
#[derive(Debug)]
pub struct CompactingWal<S: Storage = Directory> {
    wal: Wal<S>,
    /// The length of the file at which it is rewritten, in bytes.
    compact_at: u64,
    /// Whether the last append failed, so that the next append rewrites the file.
    needs_rewrite: bool,
}

/// The outcome of an append that succeeded.
#[derive(Debug)]
pub struct AppendOutcome {
    /// The error of the compaction that was due; `None` if none was due or it succeeded. The records are durable even
    /// if the compaction failed, and a later append attempts it again.
    pub compaction_error: Option<WalError>,
}

impl<S: Storage> CompactingWal<S> {
    /// Wraps an open log, so that appends compact it.
    pub fn new(wal: Wal<S>) -> Self {
        Self { wal, compact_at: MIN_COMPACTION_BYTES, needs_rewrite: false }
    }

    /// The length of the durable part of the file, in bytes.
    pub fn length(&self) -> u64 {
        self.wal.length()
    }

    /// Appends records, which are durable when this returns without an error. `snapshot` returns records that can
    /// replace all records of the log, including the appended ones; it is called only if the file may have to be
    /// rewritten.
    ///
    /// # Errors
    /// If the records may not be durable. The caller has to retry the same call until it succeeds, and must not
    /// append anything else before that.
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

    /// Retries a failed append: first by a rewrite, because the current file may be unusable; if the rewrite fails, by
    /// another append, because the disk may have no space for a second file.
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
        // The state may have grown since the last rewrite, which raises the threshold.
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

/// The length in bytes at which a file is rewritten if its state has this snapshot.
fn compaction_threshold(snapshot: &[Vec<u8>]) -> u64 {
    let length: u64 = snapshot.iter().map(|record| record.len() as u64).sum();
    let threshold = (length * GROWTH_FACTOR).min(MAX_COMPACTION_BYTES);
    threshold.max(length * LARGE_STATE_GROWTH_FACTOR).max(MIN_COMPACTION_BYTES)
}
