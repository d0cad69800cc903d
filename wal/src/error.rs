//! Why a records file can't be opened or written.

use std::io;
use std::path::PathBuf;

/// Why a records file can't be opened or written. Each variant says what to do about it.
#[derive(Debug, thiserror::Error)]
pub enum WalError {
    /// The file or its folder can't be read or written.
    #[error(
        "{path}: {source}: check the disk and its folder; no write that was confirmed depends on this one"
    )]
    Io {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// The disk has no room for the write.
    #[error(
        "{path}: {source}: free space on the disk; the records that are there stay valid, and the write is tried again"
    )]
    DiskFull {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// The file is damaged where a crash could not have damaged it.
    #[error(
        "{path}: damaged at byte {offset}: the file was kept as {set_aside}, and the replica asks the others for its \
         state; check the disk"
    )]
    Damaged {
        /// The file.
        path: PathBuf,
        /// Where the damage begins.
        offset: usize,
        /// Where the damaged file is now.
        set_aside: PathBuf,
    },
    /// The file has a format that this release does not know.
    #[error(
        "{path}: file format {version}, this release reads {known}: the file was kept as {set_aside}; install the \
         release that wrote it and put the file back, or let the replica ask the others for its state",
        known = crate::block::FORMAT_VERSION
    )]
    UnsupportedFormat {
        /// The file.
        path: PathBuf,
        /// The format version that the file names.
        version: u32,
        /// Where the file is now.
        set_aside: PathBuf,
    },
    /// A record was read whole, and this release can't decode it.
    #[error(
        "{path}: record {index} can't be decoded ({reason}): the file was kept as {set_aside}; install the release \
         that wrote it and put the file back, or let the replica ask the others for its state"
    )]
    UndecodableRecord {
        /// The file.
        path: PathBuf,
        /// The position of the record in the file, from 0.
        index: usize,
        /// What the decoder said.
        reason: String,
        /// Where the file is now.
        set_aside: PathBuf,
    },
    /// The records of one write are longer than a block may be.
    #[error(
        "{path}: {length} bytes in one write, over the {limit} of a block: make the configuration smaller"
    )]
    BatchTooLong {
        /// The file.
        path: PathBuf,
        /// The length of the records.
        length: usize,
        /// The longest that is taken.
        limit: usize,
    },
}

impl WalError {
    /// Whether the file has been set aside, so that opening again starts an empty one.
    pub fn is_set_aside(&self) -> bool {
        matches!(self, Self::Damaged { .. } | Self::UnsupportedFormat { .. } | Self::UndecodableRecord { .. })
    }

    pub(crate) fn from_io(path: PathBuf, source: io::Error) -> Self {
        match source.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded | io::ErrorKind::FileTooLarge => {
                Self::DiskFull { path, source }
            }
            _ => Self::Io { path, source },
        }
    }
}
