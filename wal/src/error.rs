//! Errors of opening and writing a log.

use std::io;
use std::path::PathBuf;

/// Why a log can't be opened or written. The text says what the operator can do.
#[derive(Debug, thiserror::Error)]
pub enum WalError {
    /// An operation on the file or its directory failed.
    #[error(
        "{path}: {source}: check the disk and the folder; no acknowledged write depends on the failed \
         operation"
    )]
    Io {
        /// The path of the file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The disk has no space for the write.
    #[error(
        "{path}: {source}: free space on the disk; the records in the file stay valid, and the \
         write is retried"
    )]
    DiskFull {
        /// The path of the file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The file is damaged in a way that no crash explains. Acknowledged records may be lost.
    #[error(
        "{path}: damaged at byte {offset}: the file was renamed to {set_aside}, and the replica fetches its \
         state from other replicas; check the disk"
    )]
    Damaged {
        /// The path of the file.
        path: PathBuf,
        /// The offset at which the damage begins, in bytes from the beginning of the file.
        offset: usize,
        /// The path to which the file was renamed.
        set_aside: PathBuf,
    },
    /// The file has a format version that this release does not support.
    #[error(
        "{path}: file format {version}, this release reads {known}: the file was renamed to {set_aside}; \
         install the release that wrote it and rename the file back, or let the replica fetch its state from \
         other replicas",
        known = crate::format::FORMAT_VERSION
    )]
    UnsupportedFormat {
        /// The path of the file.
        path: PathBuf,
        /// The format version of the file.
        version: u32,
        /// The path to which the file was renamed.
        set_aside: PathBuf,
    },
    /// The caller can't decode a record whose checksum matches: see [`crate::Wal::reject_record`].
    #[error(
        "{path}: record {index} can't be decoded ({reason}): the file was renamed to {set_aside}; install \
         the release that wrote it and rename the file back, or let the replica fetch its state from other \
         replicas"
    )]
    UndecodableRecord {
        /// The path of the file.
        path: PathBuf,
        /// The index of the record in the file, from 0.
        index: usize,
        /// Why the caller can't decode the record.
        reason: String,
        /// The path to which the file was renamed.
        set_aside: PathBuf,
    },
    /// The records of one append or rewrite do not fit in a block.
    #[error(
        "{path}: one write has {length} bytes, which exceeds the limit of {limit}: make the \
         configuration smaller"
    )]
    BatchTooLong {
        /// The path of the file.
        path: PathBuf,
        /// The length of the block's body, in bytes.
        length: usize,
        /// The maximum length of a block's body, in bytes.
        limit: usize,
    },
}

impl WalError {
    /// Whether the file was set aside: renamed, so that the operator can inspect it. The log has lost its records, and
    /// opening it again creates an empty log.
    pub fn is_set_aside(&self) -> bool {
        matches!(self, Self::Damaged { .. } | Self::UnsupportedFormat { .. } | Self::UndecodableRecord { .. })
    }

    /// Classifies an error of the operating system by whether the disk or a quota is full.
    pub(crate) fn from_io(path: PathBuf, source: io::Error) -> Self {
        match source.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded | io::ErrorKind::FileTooLarge => {
                Self::DiskFull { path, source }
            }
            _ => Self::Io { path, source },
        }
    }
}
