//! A write-ahead log in one file: an append-only sequence of checksummed blocks of records. Carries out
//! writes; what a record means is the caller's.
//!
//! # Crash model
//!
//! The process may be killed, and the machine may lose power, at any moment. A loss of power may keep or
//! lose, each by itself, every name that was changed since the last sync of its directory and every write
//! since the last sync of its file; a lost write may be kept in part or leave zeros. A crash never changes
//! synced bytes; if they do change, the disk is damaged, which checksums detect.
//!
//! # Durability
//!
//! - Records are durable when [`Wal::append`], [`Wal::rewrite`] or [`CompactingWal::append`] returns without
//!   an error. After an error they may or may not be in the file; all earlier records stay durable.
//! - Records that [`Wal::open`] returns are durable: they are synced before it returns.
//! - A block is appended only after the one before it is durable, so a crash can tear only the last block. A
//!   torn block was never acknowledged, and [`Wal::open`] truncates it. All other damage means that
//!   acknowledged records may be lost: the file is set aside under another name, and none of its records
//!   count.
//! - A file is created, and rewritten, as a temporary file that is synced and renamed over the log's name;
//!   then the directory is synced. Nothing is appended before that, as a loss of power could bring back the
//!   file that had the name before.
//!
//! # The caller's duty
//!
//! - Acknowledge nothing to others before the call that writes it has returned without an error.
//! - Open a log in one process and by one [`Wal`] at a time.
//! - After [`WalError::is_set_aside`], open again for an empty log, and treat all state as lost.
//!
//! # Modules
//!
//! - `wal`: an open log
//! - `compaction`: a log that is rewritten when it has grown long
//! - `format`: the bytes of a file
//! - `storage`: the file operations that a log needs, as a trait for tests that lose names and bytes one by
//!   one
//! - `directory`: these operations on a file system
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
