//! An append-only file of checksummed records: carries out writes, decides nothing about what they mean.
//!
//! Each [`Wal::append`] is one block with a checksum, written in one go and synced before the call returns. Nothing is written
//! behind a block that is not durable, so a crash can tear only the last block: such a block was never confirmed, and is cut off.
//! Any other damage means that something confirmed may be missing: then nothing of the file counts, the file is set aside under
//! another name, and the caller is told so.
//!
//! A file is made, and replaced, by writing another one beside it, which is synced and renamed; then the folder is synced. A
//! loss of power before that leaves either file under the name, and both are sound and say all that was confirmed. Until the
//! folder is synced nothing is appended, as the file that was written to might not be the one that keeps the name.
//!
//! - `block`: the bytes of a file
//! - `storage`: the file operations, a trait, so that tests can lose names and bytes one by one
//! - `log`: an open file
//! - `compacting`: when a file is replaced by a shorter one

mod block;
mod compaction;
mod error;
mod storage;
mod wal;

pub use compaction::{CompactingWal, MAX_COMPACTION_BYTES, MIN_COMPACTION_BYTES, WriteOutcome};
pub use error::WalError;
pub use storage::{Directory, Storage};
pub use wal::{OpenedWal, Wal};
