//! An open log.

use std::io;
use std::path::{Path, PathBuf};

use crate::directory::Directory;
use crate::error::WalError;
use crate::format::{
    DecodedBlocks, DecodedFile, EncodedFile, MAX_BODY_LENGTH, body_length, decode_file, encode_block,
    encode_file,
};
use crate::storage::Storage;

/// The number of files that are kept after they were set aside. A further one replaces the last of them.
const MAX_SET_ASIDE: u32 = 4;

/// Whether the file under the log's name can be written to.
#[derive(Debug)]
enum State<F> {
    /// The whole file is valid and durable.
    Ready(F),
    /// An append failed: there may be bytes behind the durable ones.
    TailUnknown(F),
    /// A rewrite failed after it began to rename its file. Which file a loss of power would leave under the
    /// name is unknown, so that an append to either could be lost.
    NameUnknown,
}

/// An open log.
#[derive(Debug)]
pub struct Wal<S: Storage = Directory> {
    storage: S,
    name: String,
    state: State<S::File>,
    /// The length of the durable part of the file, in bytes.
    length: u64,
    /// The number of blocks in the durable part.
    block_count: u32,
}

/// A log, and the records that it had when it was opened, in the order in which they were appended.
pub type OpenedWal<S> = (Wal<S>, Vec<Vec<u8>>);

impl Wal {
    /// Opens the log of this name in a directory. Creates a directory or file that is missing.
    ///
    /// # Errors
    /// As [`Wal::open_in`].
    pub fn open(directory: &Path, name: &str) -> Result<OpenedWal<Directory>, WalError> {
        Self::open_in(Directory::new(directory), name)
    }
}

impl<S: Storage> Wal<S> {
    /// Opens the log of this name, and creates a file that is missing. The records that are returned are
    /// durable, as are the names of the file and of its directory.
    ///
    /// # Errors
    /// [`WalError::Damaged`] and [`WalError::UnsupportedFormat`] after the file was set aside: the next call
    /// creates an empty log. [`WalError::Io`] and [`WalError::DiskFull`] if an operation failed.
    pub fn open_in(storage: S, name: &str) -> Result<OpenedWal<S>, WalError> {
        let io_error = |source| WalError::from_io(storage.path(name), source);
        storage.create_directory().map_err(io_error)?;
        // The file of a rewrite that was not completed has no records that count, and does no harm if it
        // can't be removed.
        let _ = storage.remove(&temporary_name(name));
        let Some(mut file) = storage.open(name).map_err(io_error)? else {
            return Ok((Self::create_with(storage, name, &[])?, Vec::new()));
        };
        let bytes = storage.read(&mut file).map_err(io_error)?;
        match decode_file(&bytes) {
            DecodedFile::Current(_) if bytes.is_empty() => {
                Ok((Self::create_with(storage, name, &[])?, Vec::new()))
            }
            DecodedFile::Current(blocks) => {
                let has_torn_block = blocks.length < bytes.len();
                Self::recover(storage, name, file, blocks, has_torn_block)
            }
            DecodedFile::Unnumbered(blocks) => {
                let wal = Self::create_with(storage, name, &blocks.records)?;
                Ok((wal, blocks.records))
            }
            DecodedFile::Damaged { offset } => {
                Err(set_aside_or_io_error(&storage, name, |path, set_aside| WalError::Damaged {
                    path,
                    offset,
                    set_aside,
                }))
            }
            DecodedFile::UnsupportedFormat { version } => {
                Err(set_aside_or_io_error(&storage, name, |path, set_aside| WalError::UnsupportedFormat {
                    path,
                    version,
                    set_aside,
                }))
            }
        }
    }

    /// Makes a file durable as far as its blocks are valid.
    ///
    /// A process that was killed may have left bytes or a name that were not synced. The caller acts on the
    /// records that it reads, so a later loss of power must not take them back.
    fn recover(
        storage: S,
        name: &str,
        mut file: S::File,
        blocks: DecodedBlocks,
        has_torn_block: bool,
    ) -> Result<OpenedWal<S>, WalError> {
        let DecodedBlocks { records, length, block_count } = blocks;
        let length = length as u64;
        let truncated = if has_torn_block { storage.truncate(&mut file, length) } else { Ok(()) };
        truncated
            .and_then(|()| storage.sync(&mut file))
            .and_then(|()| storage.sync_directory())
            .map_err(|source| WalError::from_io(storage.path(name), source))?;
        let state = State::Ready(file);
        Ok((Self { storage, name: name.to_owned(), state, length, block_count }, records))
    }

    /// Creates the file with these records. It gets its name only after it is durable, so that a file without
    /// a valid header is damaged rather than new.
    fn create_with(storage: S, name: &str, records: &[Vec<u8>]) -> Result<Self, WalError> {
        let state = State::NameUnknown;
        let mut wal = Self { storage, name: name.to_owned(), state, length: 0, block_count: 0 };
        wal.rewrite(records)?;
        Ok(wal)
    }

    /// The length of the durable part of the file, in bytes.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Appends records as one block; they are durable when this returns without an error. After a crash
    /// either all of them are in the log or none.
    ///
    /// # Errors
    /// [`WalError::Io`] and [`WalError::DiskFull`] if an operation failed: the records may or may not be in
    /// the file, and the next append first truncates them. [`WalError::BatchTooLong`] if they do not fit in a
    /// block. Earlier records stay durable.
    pub fn append(&mut self, records: &[Vec<u8>]) -> Result<(), WalError> {
        self.check_length(records)?;
        let mut bytes = Vec::new();
        encode_block(records, self.block_count, &mut bytes);
        self.append_bytes(&bytes).map_err(|source| self.io_error(source))
    }

    fn append_bytes(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.truncate_unknown_tail()?;
        let State::Ready(mut file) = std::mem::replace(&mut self.state, State::NameUnknown) else {
            return Err(io::Error::other(
                "a replacement of the file has failed and must be tried again first",
            ));
        };
        let written =
            self.storage.write(&mut file, self.length, bytes).and_then(|()| self.storage.sync(&mut file));
        if let Err(error) = written {
            self.state = State::TailUnknown(file);
            return Err(error);
        }
        self.state = State::Ready(file);
        self.length += bytes.len() as u64;
        self.block_count += 1;
        Ok(())
    }

    /// Removes what an append that failed may have written.
    fn truncate_unknown_tail(&mut self) -> io::Result<()> {
        let State::TailUnknown(file) = &mut self.state else { return Ok(()) };
        self.storage.truncate(file, self.length)?;
        self.storage.sync(file)?;
        self.state = match std::mem::replace(&mut self.state, State::NameUnknown) {
            State::TailUnknown(file) => State::Ready(file),
            other => other,
        };
        Ok(())
    }

    /// Replaces the file by one with just these records; it is durable when this returns without an error.
    ///
    /// # Errors
    /// [`WalError::Io`] and [`WalError::DiskFull`] if an operation failed: after a crash the log has either
    /// its earlier records or these. If the rename was begun, appends fail until a rewrite succeeds.
    /// [`WalError::BatchTooLong`] if the records do not fit in a block.
    pub fn rewrite(&mut self, records: &[Vec<u8>]) -> Result<(), WalError> {
        self.check_length(records)?;
        let EncodedFile { bytes, block_count } = encode_file(records);
        self.replace_file(&bytes).map_err(|source| self.io_error(source))?;
        self.block_count = block_count;
        Ok(())
    }

    fn replace_file(&mut self, bytes: &[u8]) -> io::Result<()> {
        let temporary = temporary_name(&self.name);
        let file = match self.write_temporary(&temporary, bytes) {
            Ok(file) => file,
            Err(error) => {
                // The disk may be full because of the incomplete file. If this fails, the next rewrite
                // overwrites it.
                let _ = self.storage.remove(&temporary);
                return Err(error);
            }
        };
        // From here on the present file may have no name.
        self.state = State::NameUnknown;
        self.storage.rename(&temporary, &self.name)?;
        self.storage.sync_directory()?;
        self.state = State::Ready(file);
        self.length = bytes.len() as u64;
        Ok(())
    }

    fn write_temporary(&self, name: &str, bytes: &[u8]) -> io::Result<S::File> {
        let mut file = self.storage.create(name)?;
        self.storage.write(&mut file, 0, bytes)?;
        self.storage.sync(&mut file)?;
        Ok(file)
    }

    /// Sets the file aside because the caller can't decode the record at this index, counted from 0 in the
    /// order of [`OpenedWal`]. Returns the error to report: [`WalError::UndecodableRecord`], or why the file
    /// could not be renamed.
    pub fn reject_record(self, index: usize, reason: String) -> WalError {
        set_aside_or_io_error(&self.storage, &self.name, |path, set_aside| WalError::UndecodableRecord {
            path,
            index,
            reason,
            set_aside,
        })
    }

    fn check_length(&self, records: &[Vec<u8>]) -> Result<(), WalError> {
        let length = body_length(records);
        if length > MAX_BODY_LENGTH {
            let path = self.storage.path(&self.name);
            return Err(WalError::BatchTooLong { path, length, limit: MAX_BODY_LENGTH });
        }
        Ok(())
    }

    fn io_error(&self, source: io::Error) -> WalError {
        WalError::from_io(self.storage.path(&self.name), source)
    }
}

/// The name of the file that a rewrite makes before it has the log's name.
fn temporary_name(name: &str) -> String {
    format!("{name}.new")
}

/// Sets the file aside and returns the error for that, which is made of the paths that the file had and has.
fn set_aside_or_io_error<S: Storage>(
    storage: &S,
    name: &str,
    error: impl FnOnce(PathBuf, PathBuf) -> WalError,
) -> WalError {
    let path = storage.path(name);
    match set_aside(storage, name) {
        Ok(set_aside) => error(path, set_aside),
        Err(source) => WalError::from_io(path, source),
    }
}

/// Renames a file that can't be used, so that it is kept for the operator. Returns its new path.
fn set_aside<S: Storage>(storage: &S, name: &str) -> io::Result<PathBuf> {
    let mut target = String::new();
    for number in 1..=MAX_SET_ASIDE {
        target = format!("{name}.set-aside-{number}");
        if !storage.exists(&target)? {
            break;
        }
    }
    storage.rename(name, &target)?;
    storage.sync_directory()?;
    Ok(storage.path(&target))
}
