//! The file operations that a log needs.

use std::fmt::Debug;
use std::io;
use std::path::PathBuf;

/// A directory of files.
///
/// A name that was created, renamed or removed is durable only after [`Storage::sync_directory`], and bytes
/// of a file only after [`Storage::sync`]. Until then a power loss may keep or lose each of these changes
/// independently of the others.
pub trait Storage {
    /// An open file. The handle refers to the same file after the file is renamed.
    type File: Debug;

    /// The path of the file `name`, for error texts.
    fn path(&self, name: &str) -> PathBuf;

    /// Creates the directory if it is missing. The directory is durable when this returns without an error.
    ///
    /// # Errors
    /// If the directory can't be created or synced.
    fn create_directory(&self) -> io::Result<()>;

    /// Opens a file for reading and writing; `None` if no file has this name.
    ///
    /// # Errors
    /// If the file exists and can't be opened.
    fn open(&self, name: &str) -> io::Result<Option<Self::File>>;

    /// Creates an empty file; an existing one is truncated.
    ///
    /// # Errors
    /// If the file can't be created. The name may exist nevertheless.
    fn create(&self, name: &str) -> io::Result<Self::File>;

    /// Reads a whole file.
    ///
    /// # Errors
    /// If the file can't be read.
    fn read(&self, file: &mut Self::File) -> io::Result<Vec<u8>>;

    /// Writes bytes at an offset from the beginning of the file.
    ///
    /// # Errors
    /// If not all bytes were written; some may have been.
    fn write(&self, file: &mut Self::File, offset: u64, bytes: &[u8]) -> io::Result<()>;

    /// Truncates a file to a length in bytes.
    ///
    /// # Errors
    /// If the file can't be truncated.
    fn truncate(&self, file: &mut Self::File, length: u64) -> io::Result<()>;

    /// Makes the bytes and the length of a file durable.
    ///
    /// # Errors
    /// If the bytes or the length may not be durable.
    fn sync(&self, file: &mut Self::File) -> io::Result<()>;

    /// Renames a file, and atomically replaces any file of the new name.
    ///
    /// # Errors
    /// If the operation failed. The file may have been renamed nevertheless.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file; a missing file is no error.
    ///
    /// # Errors
    /// If the file can't be removed.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Whether a file of this name exists.
    ///
    /// # Errors
    /// If the directory can't be searched for the name.
    fn exists(&self, name: &str) -> io::Result<bool>;

    /// Makes all names in the directory durable.
    ///
    /// # Errors
    /// If the names may not be durable.
    fn sync_directory(&self) -> io::Result<()>;
}
