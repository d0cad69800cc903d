//! The file operations that a log needs.

use std::fmt::Debug;
use std::io;
use std::path::PathBuf;

/// A directory of files.
///
/// A name that was created, renamed or removed is durable only after [`Storage::sync_directory`], and bytes
/// of a file only after [`Storage::sync`]. Until then a loss of power may keep or lose each of these changes
/// by itself.
pub trait Storage {
    /// An open file. It stays the same file when its name changes.
    type File: Debug;

    /// The path of a name, for error texts.
    fn path(&self, name: &str) -> PathBuf;

    /// Creates the directory if it is missing; it is durable when this returns.
    ///
    /// # Errors
    /// If it can't be created or synced.
    fn create_directory(&self) -> io::Result<()>;

    /// Opens a file for reading and writing; `None` if there is no such name.
    ///
    /// # Errors
    /// If it can't be opened.
    fn open(&self, name: &str) -> io::Result<Option<Self::File>>;

    /// Creates an empty file; an existing one is truncated.
    ///
    /// # Errors
    /// If it can't be created. The name may exist all the same.
    fn create(&self, name: &str) -> io::Result<Self::File>;

    /// Reads a whole file.
    ///
    /// # Errors
    /// If it can't be read.
    fn read(&self, file: &mut Self::File) -> io::Result<Vec<u8>>;

    /// Writes bytes at an offset from the beginning.
    ///
    /// # Errors
    /// If not all of them were written; some may have been.
    fn write(&self, file: &mut Self::File, offset: u64, bytes: &[u8]) -> io::Result<()>;

    /// Truncates a file to a length in bytes.
    ///
    /// # Errors
    /// If it can't be truncated.
    fn truncate(&self, file: &mut Self::File, length: u64) -> io::Result<()>;

    /// Makes the bytes and the length of a file durable.
    ///
    /// # Errors
    /// If they may not be durable.
    fn sync(&self, file: &mut Self::File) -> io::Result<()>;

    /// Renames a file, and atomically replaces any file of the new name.
    ///
    /// # Errors
    /// If it can't be renamed. It may have been all the same.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file; a missing one is no error.
    ///
    /// # Errors
    /// If it can't be removed.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Whether there is a file of this name.
    ///
    /// # Errors
    /// If that can't be determined.
    fn exists(&self, name: &str) -> io::Result<bool>;

    /// Makes all names of the directory durable.
    ///
    /// # Errors
    /// If they may not be durable.
    fn sync_directory(&self) -> io::Result<()>;
}
