//! Errors of a log.

use std::io;
use std::path::PathBuf;

/// Why a log can't be opened or written. The text says what the operator can do.
#[derive(Debug, thiserror::Error)]
pub enum WalError {
    /// An operation on the file or its directory failed.
    #[error(
        "{path}: {source}: check the disk and its folder; no write that was confirmed depends on this one"
    )]
    Io {
        /// The path of the file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The disk has no space for the write.
    #[error(
        "{path}: {source}: free space on the disk; the records that are there stay valid, and the write is tried again"
    )]
    DiskFull {
        /// The path of the file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The file has damage that no crash explains. Acknowledged records may be lost.
    #[error(
        "{path}: damaged at byte {offset}: the file was kept as {set_aside}, and the replica asks the others for its \
         state; check the disk"
    )]
    Damaged {
        /// The path of the file.
        path: PathBuf,
        /// Where the damage begins, in bytes from the beginning of the file.
        offset: usize,
        /// The path under which the file is kept.
        set_aside: PathBuf,
    },
    /// The file has a format version that this release does not know.
    #[error(
        "{path}: file format {version}, this release reads {known}: the file was kept as {set_aside}; install the \
         release that wrote it and put the file back, or let the replica ask the others for its state",
        known = crate::format::FORMAT_VERSION
    )]
    UnsupportedFormat {
        /// The path of the file.
        path: PathBuf,
        /// The format version of the file.
        version: u32,
        /// The path under which the file is kept.
        set_aside: PathBuf,
    },
    /// A record is undamaged, and the caller can't decode it: see [`crate::Wal::reject_record`].
    #[error(
        "{path}: record {index} can't be decoded ({reason}): the file was kept as {set_aside}; install the release \
         that wrote it and put the file back, or let the replica ask the others for its state"
    )]
    UndecodableRecord {
        /// The path of the file.
        path: PathBuf,
        /// The index of the record in the file, from 0.
        index: usize,
        /// Why the caller can't decode the record.
        reason: String,
        /// The path under which the file is kept.
        set_aside: PathBuf,
    },
    /// The records of one append or rewrite do not fit in a block.
    #[error(
        "{path}: {length} bytes in one write, over the {limit} of a block: make the configuration smaller"
    )]
    BatchTooLong {
        /// The path of the file.
        path: PathBuf,
        /// The length of the block's body, in bytes.
        length: usize,
        /// The longest body of a block, in bytes.
        limit: usize,
    },
}

impl WalError {
    /// Whether the file was set aside. The log has lost its records, and opening it again creates an empty
    /// one.
    pub fn is_set_aside(&self) -> bool {
        matches!(self, Self::Damaged { .. } | Self::UnsupportedFormat { .. } | Self::UndecodableRecord { .. })
    }

    /// Classifies an error of the operating system.
    pub(crate) fn from_io(path: PathBuf, source: io::Error) -> Self {
        match source.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded | io::ErrorKind::FileTooLarge => {
                Self::DiskFull { path, source }
            }
            _ => Self::Io { path, source },
        }
    }
}
