//! An open file of records.

use std::io;
use std::path::{Path, PathBuf};

use crate::block::{self, Contents, MAX_BODY_LENGTH};
use crate::error::WalError;
use crate::storage::{Directory, Storage};

/// Files that were set aside and are kept; a further one replaces the last of these.
const MAX_SET_ASIDE: u32 = 4;

/// How far the file under the log's name can be relied on.
#[derive(Debug)]
enum State<F> {
    /// All of it is sound and durable.
    Ready(F),
    /// A write failed: behind the sound bytes there may be others.
    TailUnknown(F),
    /// A replacement failed between its rename and the sync of the folder: which file a loss of power would leave under the
    /// name is not known, so neither is written to.
    NameUnknown,
}

/// An open file of records.
#[derive(Debug)]
pub struct Wal<S: Storage = Directory> {
    storage: S,
    name: String,
    state: State<S::File>,
    /// Bytes that are sound and durable.
    length: u64,
    /// The blocks in them.
    block_count: u32,
}

/// A log, and the records that it held when it was opened, in order.
pub type OpenedWal<S> = (Wal<S>, Vec<Vec<u8>>);

impl Wal {
    /// Opens the file of this name in a folder. Either is made where there is none.
    ///
    /// # Errors
    /// As [`Wal::open_in`].
    pub fn open(folder: &Path, name: &str) -> Result<OpenedWal<Directory>, WalError> {
        Self::open_in(Directory::new(folder), name)
    }
}

impl<S: Storage> Wal<S> {
    /// Opens the file of this name, and makes one where there is none. What is returned as read is durable, as are the names of
    /// the file and its folder.
    ///
    /// # Errors
    /// Where the disk refuses, or the file is damaged or of another format. In these two cases it has been set aside, and the
    /// next call starts an empty one.
    pub fn open_in(storage: S, name: &str) -> Result<OpenedWal<S>, WalError> {
        let failed = |source| WalError::from_io(storage.path(name), source);
        storage.create_directory().map_err(failed)?;
        // A replacement that was never put in place holds nothing that counts, and does no harm where it can't be removed.
        let _ = storage.remove(&replacement_name(name));
        let found = storage.open(name).map_err(failed)?;
        let Some(mut file) = found else {
            return Ok((Self::create_with(storage, name, &[])?, Vec::new()));
        };
        let bytes = storage.read(&mut file).map_err(failed)?;
        match block::decode_file(&bytes) {
            Contents::Sound(_) if bytes.is_empty() => {
                Ok((Self::create_with(storage, name, &[])?, Vec::new()))
            }
            Contents::Sound(sound) => {
                let length = sound.length as u64;
                if sound.length < bytes.len() {
                    storage.truncate(&mut file, length).map_err(failed)?;
                }
                // A process that was killed may have left bytes or a name that were not synced yet. Whoever has read them acts
                // on them, so a later loss of power must not take them back.
                storage.sync(&mut file).and_then(|()| storage.sync_directory()).map_err(failed)?;
                let (state, block_count) = (State::Ready(file), sound.block_count);
                Ok((Self { storage, name: name.to_owned(), state, length, block_count }, sound.records))
            }
            Contents::SoundWithoutNumbers(sound) => {
                let log = Self::create_with(storage, name, &sound.records)?;
                Ok((log, sound.records))
            }
            Contents::Damaged { offset } => {
                let path = storage.path(name);
                Err(set_aside(&storage, name).map_or_else(failed, |set_aside| WalError::Damaged {
                    path,
                    offset,
                    set_aside,
                }))
            }
            Contents::UnsupportedFormat { version } => {
                let path = storage.path(name);
                Err(set_aside(&storage, name).map_or_else(failed, |set_aside| WalError::UnsupportedFormat {
                    path,
                    version,
                    set_aside,
                }))
            }
        }
    }

    /// A new file with these records. It gets its name only when it is durable, so that a file without a sound header is
    /// damaged and not just young.
    fn create_with(storage: S, name: &str, records: &[Vec<u8>]) -> Result<Self, WalError> {
        let state = State::NameUnknown;
        let mut log = Self { storage, name: name.to_owned(), state, length: 0, block_count: 0 };
        log.rewrite(records)?;
        Ok(log)
    }

    /// The length of the file in bytes, as far as it is sound and durable.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Appends records as one block. When this returns without an error, they are durable.
    ///
    /// # Errors
    /// Where the disk refuses them, or there are too many for one block. All records from before stay valid; the next call
    /// first cuts off what this one may have written.
    pub fn append(&mut self, records: &[Vec<u8>]) -> Result<(), WalError> {
        self.check_length(records)?;
        let mut bytes = Vec::new();
        block::encode_block(records, self.block_count, &mut bytes);
        self.append_bytes(&bytes).map_err(|source| self.io_error(source))
    }

    fn append_bytes(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.cut_unknown_tail()?;
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

    /// Makes a file sound again whose last write has failed.
    fn cut_unknown_tail(&mut self) -> io::Result<()> {
        let State::TailUnknown(file) = &mut self.state else { return Ok(()) };
        self.storage.truncate(file, self.length)?;
        self.storage.sync(file)?;
        self.state = match std::mem::replace(&mut self.state, State::NameUnknown) {
            State::TailUnknown(file) => State::Ready(file),
            other => other,
        };
        Ok(())
    }

    /// Puts a file with just these records in place of the present one. When this returns without an error, it is durable.
    ///
    /// # Errors
    /// Where the disk refuses, or there are too many records for one block. The present file then stays valid.
    pub fn rewrite(&mut self, records: &[Vec<u8>]) -> Result<(), WalError> {
        self.check_length(records)?;
        let (bytes, block_count) = block::encode_file(records);
        self.replace_with(&bytes).map_err(|source| self.io_error(source))?;
        self.block_count = block_count;
        Ok(())
    }

    fn replace_with(&mut self, bytes: &[u8]) -> io::Result<()> {
        let file = match self.write_replacement(bytes) {
            Ok(file) => file,
            Err(error) => {
                // Room that a half-written file takes may be what the disk lacks. The next replacement overwrites it anyway.
                let _ = self.storage.remove(&replacement_name(&self.name));
                return Err(error);
            }
        };
        // From here on a write to the present file could be a write to one without a name.
        self.state = State::NameUnknown;
        self.storage.rename(&replacement_name(&self.name), &self.name)?;
        self.storage.sync_directory()?;
        self.state = State::Ready(file);
        self.length = bytes.len() as u64;
        Ok(())
    }

    fn write_replacement(&self, bytes: &[u8]) -> io::Result<S::File> {
        let mut file = self.storage.create(&replacement_name(&self.name))?;
        self.storage.write(&mut file, 0, bytes)?;
        self.storage.sync(&mut file)?;
        Ok(file)
    }

    /// Keeps the file under another name, as its records can't be decoded. Opening again then starts an empty one.
    pub fn reject(self, index: usize, reason: String) -> WalError {
        let path = self.storage.path(&self.name);
        match set_aside(&self.storage, &self.name) {
            Ok(set_aside) => WalError::UndecodableRecord { path, index, reason, set_aside },
            Err(source) => WalError::from_io(path, source),
        }
    }

    fn check_length(&self, records: &[Vec<u8>]) -> Result<(), WalError> {
        let length = block::body_length(records);
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

fn replacement_name(name: &str) -> String {
    format!("{name}.new")
}

/// Gives a file that can't be used a name under which it is kept.
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
