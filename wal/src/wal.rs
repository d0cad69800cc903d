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

/// The maximum number of set-aside files. If all of their names are taken, the last one is replaced.
const MAX_SET_ASIDE: u32 = 4;

/// Whether the file under the log's name can be written to.
#[derive(Debug)]
enum State<F> {
    /// The whole file is valid and durable.
    Ready(F),
    /// An append failed: the file may have bytes after its durable part.
    TailUnknown(F),
    /// A rewrite failed after it began to rename its file. It is unknown which of the two files has the log's name
    /// after a power loss, so an append to either file could be lost.
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
    /// The number of blocks in the durable part, which is the number of the next block.
    block_count: u32,
}

/// An open log, and the records that the log had when it was opened, in the order in which they were appended.
pub type OpenedWal<S> = (Wal<S>, Vec<Vec<u8>>);

impl Wal {
    /// Opens the log `name` in a directory. Creates the directory and the file if they are missing.
    ///
    /// # Errors
    /// As [`Wal::open_in`].
    pub fn open(directory: &Path, name: &str) -> Result<OpenedWal<Directory>, WalError> {
        Self::open_in(Directory::new(directory), name)
    }
}

impl<S: Storage> Wal<S> {
    /// Opens the log `name`, and creates the file if it is missing. The returned records are durable, as are the
    /// names of the file and of its directory.
    ///
    /// # Errors
    /// [`WalError::Damaged`] and [`WalError::UnsupportedFormat`] after the file was set aside: the next call
    /// creates an empty log. [`WalError::Io`] and [`WalError::DiskFull`] if an operation failed.
    pub fn open_in(storage: S, name: &str) -> Result<OpenedWal<S>, WalError> {
        let io_error = |source| WalError::from_io(storage.path(name), source);
        storage.create_directory().map_err(io_error)?;
        // The temporary file of a rewrite that was not completed. No record in it was acknowledged, and it does no
        // harm if it can't be removed.
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

    /// Truncates a torn block, and makes the valid blocks and the name of the file durable.
    ///
    /// A process that was killed may have left bytes or a name that were not synced. The caller acts on the
    /// records that it reads, so a later power loss must not remove them.
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

    /// Creates the file with these records. The file is renamed to the log's name only after it is durable, so that a
    /// file without a valid header is damaged rather than new.
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

    /// Appends records as one block, which is durable when this returns without an error. After a crash the log
    /// contains either all of these records or none.
    ///
    /// # Errors
    /// [`WalError::Io`] and [`WalError::DiskFull`] if an operation failed: the records may or may not be in
    /// the file, and the next append first truncates the file to its durable part. [`WalError::BatchTooLong`] if the
    /// records do not fit in a block. Earlier records stay durable.
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
                "a rewrite of the file failed during its rename, and has to succeed before the next append",
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

    /// Removes the bytes that a failed append may have written.
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

    /// Replaces the file by one with only these records, which is durable when this returns without an error.
    ///
    /// # Errors
    /// [`WalError::Io`] and [`WalError::DiskFull`] if an operation failed: after a crash the log has either
    /// its earlier records or the new ones. If the rename was begun, appends fail until a rewrite succeeds.
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
                // The disk may be full because of the incomplete file. If it can't be removed, the next rewrite
                // overwrites it.
                let _ = self.storage.remove(&temporary);
                return Err(error);
            }
        };
        // From here on the log's name may refer to either file.
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

/// The name of the file that a rewrite creates and then renames to the log's name.
fn temporary_name(name: &str) -> String {
    format!("{name}.new")
}

/// Sets the file aside. Returns the error that `error` makes of the old and the new path, or the error of the rename.
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

/// Renames an unusable file, so that it is kept for the operator. Returns its new path.
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
