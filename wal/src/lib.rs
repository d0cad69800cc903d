//! A write-ahead log in one file: an append-only sequence of checksummed blocks of records. Records are opaque bytes
//! to this crate; their meaning is defined by the caller.
//!
//! # Crash model
//!
//! The process may be killed, and the machine may lose power, at any moment. A power loss may keep or lose,
//! independently of each other, every file name that was created, renamed or removed since the last sync of its
//! directory, and every write since the last sync of its file; a lost write may be kept in part or leave zeros. A
//! crash never changes synced bytes; if they do change, the disk is damaged, which checksums detect.
//!
//! # Durability
//!
//! - Records are durable when [`Wal::append`], [`Wal::rewrite`] or [`CompactingWal::append`] returns without
//!   an error. After an error these records may or may not be in the file; all earlier records stay durable.
//! - Records that [`Wal::open`] returns are durable: the file is synced before the call returns.
//! - A block is appended only after the previous block is durable, so a crash can tear only the last block. A
//!   torn block was never acknowledged, and [`Wal::open`] truncates it. Any other damage means that acknowledged
//!   records may be lost: the file is set aside, which means renamed, and none of its records are used.
//! - A file is created, and rewritten, as a temporary file that is synced and renamed over the log's name;
//!   then the directory is synced. Nothing is appended before that, because a power loss could restore the file
//!   that had the name before.
//!
//! # What the caller must do
//!
//! - Acknowledge a record to other nodes only after the call that writes the record has returned without an error.
//! - Open a log in one process and by one [`Wal`] at a time.
//! - After an error for which [`WalError::is_set_aside`] is true, open the log again, which creates an empty log, and
//!   treat all state as lost.
//!
//! # Modules
//!
//! - `wal`: an open log
//! - `compaction`: a log that is rewritten when it has grown long
//! - `format`: the file format
//! - `storage`: the file operations that a log needs, as a trait, so that tests can simulate the loss of single file
//!   names and writes
//! - `directory`: the implementation of these operations on a file system
//! - `error`: why a log can't be opened or written

mod compaction;
mod directory;
mod error;
mod format;
mod storage;
mod wal;

pub use compaction::{AppendOutcome, CompactingWal, MAX_COMPACTION_BYTES, MIN_COMPACTION_BYTES};
pub use directory::Directory;
pub use error::WalError;
pub use storage::Storage;
pub use wal::{OpenedWal, Wal};
