//! The implementation of [`Storage`] on a directory of the file system.

use std::fs::{self, File, OpenOptions};
use std::io::{self, ErrorKind, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use crate::storage::Storage;

/// The path of a directory of the file system.
#[derive(Clone, Debug)]
pub struct Directory(PathBuf);

impl Directory {
    /// The directory at `path`, which need not exist yet.
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

/// Creates a directory and its missing parents. Each created directory is durable after its parent is synced.
fn create_directory_durably(path: &Path) -> io::Result<()> {
    if path.as_os_str().is_empty() || path.try_exists()? {
        return Ok(());
    }
    let parent = path.parent().unwrap_or(Path::new(""));
    create_directory_durably(parent)?;
    fs::create_dir(path)?;
    let parent = if parent.as_os_str().is_empty() { Path::new(".") } else { parent };
    File::open(parent)?.sync_all()
}
