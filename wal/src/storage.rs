//! The file operations that a log needs, and how the operating system carries them out.

use std::fs::{self, File, OpenOptions};
use std::io::{self, ErrorKind, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// A folder of files. A name that was made, renamed or removed is durable only after [`Storage::sync_directory`]; bytes of a file
/// are durable only after [`Storage::sync`]. Until then a loss of power may keep or lose each of them by itself.
pub trait Storage {
    /// An open file. Its bytes stay with it when its name changes.
    type File: std::fmt::Debug;

    /// Where a name stands, for messages.
    fn path(&self, name: &str) -> PathBuf;

    /// Makes the folder where there is none, durably.
    ///
    /// # Errors
    /// Where it can't be made.
    fn create_directory(&self) -> io::Result<()>;

    /// Opens a file for reading and writing; none where there is no such name.
    ///
    /// # Errors
    /// Where it can't be opened.
    fn open(&self, name: &str) -> io::Result<Option<Self::File>>;

    /// Makes an empty file, in place of any that has the name.
    ///
    /// # Errors
    /// Where it can't be made.
    fn create(&self, name: &str) -> io::Result<Self::File>;

    /// Reads a file from its beginning to its end.
    ///
    /// # Errors
    /// Where it can't be read.
    fn read(&self, file: &mut Self::File) -> io::Result<Vec<u8>>;

    /// Writes bytes at an offset.
    ///
    /// # Errors
    /// Where they are not written whole; some of them may be.
    fn write(&self, file: &mut Self::File, offset: u64, bytes: &[u8]) -> io::Result<()>;

    /// Cuts a file off.
    ///
    /// # Errors
    /// Where it can't be cut.
    fn truncate(&self, file: &mut Self::File, length: u64) -> io::Result<()>;

    /// Returns when all bytes of a file, and its length, are durable.
    ///
    /// # Errors
    /// Where they are not known to be.
    fn sync(&self, file: &mut Self::File) -> io::Result<()>;

    /// Gives a file another name, in place of any file that has it.
    ///
    /// # Errors
    /// Where it can't be renamed.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a name; one that is not there is no error.
    ///
    /// # Errors
    /// Where it can't be removed.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Whether there is a file of this name.
    ///
    /// # Errors
    /// Where that can't be told.
    fn exists(&self, name: &str) -> io::Result<bool>;

    /// Returns when all names of the folder are durable.
    ///
    /// # Errors
    /// Where they are not known to be.
    fn sync_directory(&self) -> io::Result<()>;
}

/// A folder of the file system.
#[derive(Clone, Debug)]
pub struct Directory(PathBuf);

impl Directory {
    /// The folder at this path, which need not exist yet.
    pub fn new(path: &Path) -> Self {
        Self(path.to_owned())
    }
}

impl Storage for Directory {
    type File = File;

    fn path(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }

    fn create_directory(&self) -> io::Result<()> {
        create_directory_durably(&self.0)
    }

    fn open(&self, name: &str) -> io::Result<Option<File>> {
        match OpenOptions::new().read(true).write(true).open(self.path(name)) {
            Ok(file) => Ok(Some(file)),
            Err(error) if error.kind() == ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    fn create(&self, name: &str) -> io::Result<File> {
        File::create(self.path(name))
    }

    fn read(&self, file: &mut File) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        file.seek(SeekFrom::Start(0))?;
        file.read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn write(&self, file: &mut File, offset: u64, bytes: &[u8]) -> io::Result<()> {
        file.seek(SeekFrom::Start(offset))?;
        file.write_all(bytes)
    }

    fn truncate(&self, file: &mut File, length: u64) -> io::Result<()> {
        file.set_len(length)
    }

    fn sync(&self, file: &mut File) -> io::Result<()> {
        file.sync_data()
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path(from), self.path(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        match fs::remove_file(self.path(name)) {
            Err(error) if error.kind() != ErrorKind::NotFound => Err(error),
            _ => Ok(()),
        }
    }

    fn exists(&self, name: &str) -> io::Result<bool> {
        self.path(name).try_exists()
    }

    fn sync_directory(&self) -> io::Result<()> {
        File::open(&self.0)?.sync_all()
    }
}

/// Makes a folder and all above it that are missing. Each is durable once the folder above it is synced.
fn create_directory_durably(path: &Path) -> io::Result<()> {
    if path.as_os_str().is_empty() || path.try_exists()? {
        return Ok(());
    }
    let above = path.parent().unwrap_or(Path::new(""));
    create_directory_durably(above)?;
    fs::create_dir(path)?;
    let above = if above.as_os_str().is_empty() { Path::new(".") } else { above };
    File::open(above)?.sync_all()
}
