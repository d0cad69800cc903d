#![forbid(unsafe_code)]
#![warn(missing_docs)]
//! An append-only file of checksummed records: carries out writes, decides nothing about what they mean.
//!
//! Each [`Log::append`] is one block: a mark, a length, a checksum and the records of that call, written in one go and synced
//! before the call returns. Nothing is written behind a block that is not synced, so a crash can harm only the last block: one
//! that is not whole with nothing sound behind it was never acknowledged, and is cut off. A block that is not whole with a sound
//! one behind it is damage: then nothing of the file counts, as what is missing may have been a promise, and the owner is told so.
//!
//! The file is rewritten beside itself and renamed into its place, and its folder is synced, before the old one's room is used
//! again. A crash in between leaves one or the other whole.

use std::fs::{File, OpenOptions};
use std::io::{Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use ivyhatch_protocol::frame::checksum;

const MARK: u32 = 0x4c48_5649;
const HEAD: usize = 12;
/// No block is longer, in bytes.
const LONGEST: usize = 32 << 20;

/// Why the file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum RecordsError {
    /// The disk, or the folder.
    #[error(
        "{path}: {source}: see to the disk and its folder; nothing that was acknowledged depends on this write"
    )]
    Disk {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The middle of it is damaged.
    #[error(
        "{path}: damaged {at} bytes in, with sound records behind it: it was set aside as {aside}, and what it held is asked from the others"
    )]
    Damaged {
        /// The file.
        path: PathBuf,
        /// Where the damage begins.
        at: usize,
        /// Where the file is now.
        aside: PathBuf,
    },
}

/// The open file.
#[derive(Debug)]
pub struct Log {
    folder: PathBuf,
    path: PathBuf,
    file: Option<File>,
    /// Bytes that are sound and synced.
    length: u64,
}

fn block(records: &[Vec<u8>]) -> Vec<u8> {
    let mut body = Vec::with_capacity(records.iter().map(|record| record.len() + 4).sum());
    for record in records {
        body.extend_from_slice(&(record.len() as u32).to_le_bytes());
        body.extend_from_slice(record);
    }
    let mut bytes = Vec::with_capacity(HEAD + body.len());
    bytes.extend_from_slice(&MARK.to_le_bytes());
    bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&checksum(&body).to_le_bytes());
    bytes.extend_from_slice(&body);
    bytes
}

fn long(bytes: &[u8], at: usize) -> Option<usize> {
    let word = bytes.get(at..at + 4)?;
    Some(u32::from_le_bytes([word[0], word[1], word[2], word[3]]) as usize)
}

/// The body of the block that begins here, if it is whole.
fn sound(bytes: &[u8], at: usize) -> Option<&[u8]> {
    let (mark, length, sum) = (long(bytes, at)?, long(bytes, at + 4)?, long(bytes, at + 8)?);
    if mark != MARK as usize || length > LONGEST {
        return None;
    }
    let body = bytes.get(at + HEAD..at + HEAD + length)?;
    (checksum(body) as usize == sum).then_some(body)
}

fn records(body: &[u8]) -> impl Iterator<Item = Vec<u8>> {
    let mut at = 0;
    std::iter::from_fn(move || {
        let length = long(body, at)?;
        let record = body.get(at + 4..at + 4 + length)?.to_vec();
        at += 4 + length;
        Some(record)
    })
}

/// What a file holds, as far as it is sound: the records, the sound bytes, and where damage begins that has sound records behind it.
fn scan(bytes: &[u8]) -> (Vec<Vec<u8>>, usize, Option<usize>) {
    let (mut found, mut at) = (Vec::new(), 0);
    while let Some(body) = sound(bytes, at) {
        found.extend(records(body));
        at += HEAD + body.len();
    }
    let mark = MARK.to_le_bytes();
    let behind = bytes.len().saturating_sub(HEAD);
    let damaged =
        (at + 1..=behind).any(|later| bytes[later..].starts_with(&mark) && sound(bytes, later).is_some());
    (found, at, damaged.then_some(at))
}

impl Log {
    /// Opens the file of this name in a folder, which is made where there is none, and gives its records in order.
    ///
    /// # Errors
    /// Where the disk can't be read, or the file is damaged in its middle; then it has been set aside, and the next call starts
    /// an empty one.
    pub fn open(folder: &Path, name: &str) -> Result<(Self, Vec<Vec<u8>>), RecordsError> {
        let path = folder.join(name);
        let told = |source| RecordsError::Disk { path: path.clone(), source };
        std::fs::create_dir_all(folder).map_err(told)?;
        let mut bytes = Vec::new();
        let mut file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(&path)
            .map_err(told)?;
        file.read_to_end(&mut bytes).map_err(told)?;
        let (found, length, damaged) = scan(&bytes);
        if let Some(at) = damaged {
            let aside = folder.join(format!("{name}.damaged"));
            std::fs::rename(&path, &aside).map_err(told)?;
            sync_folder(folder).map_err(told)?;
            return Err(RecordsError::Damaged { path, at, aside });
        }
        let length = length as u64;
        if length < bytes.len() as u64 {
            file.set_len(length).and_then(|()| file.sync_data()).map_err(told)?;
        }
        file.seek(SeekFrom::Start(length)).map_err(told)?;
        let log = Self { folder: folder.to_owned(), path, file: Some(file), length };
        Ok((log, found))
    }

    /// Bytes in the file.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Writes records behind all others. When this returns they are on the disk, all of them.
    ///
    /// # Errors
    /// Where the disk takes them not. The file is then as before as far as it counts; `rewrite` makes it fit for use again.
    pub fn append(&mut self, records: &[Vec<u8>]) -> Result<(), RecordsError> {
        let bytes = block(records);
        let told = |source| RecordsError::Disk { path: self.path.clone(), source };
        // After a failed write nobody knows what stands behind the sound bytes: the file is not written to again.
        let mut file = self.file.take().ok_or_else(|| told(std::io::ErrorKind::BrokenPipe.into()))?;
        file.write_all(&bytes).and_then(|()| file.sync_data()).map_err(told)?;
        self.file = Some(file);
        self.length += bytes.len() as u64;
        Ok(())
    }

    /// Whether the file takes records; after a failed write only a rewritten one does.
    pub fn is_fit(&self) -> bool {
        self.file.is_some()
    }

    /// Puts a file with just these records into the place of the present one.
    ///
    /// # Errors
    /// Where the disk takes it not; the old file stands then.
    pub fn rewrite(&mut self, records: &[Vec<u8>]) -> Result<(), RecordsError> {
        let told = |source| RecordsError::Disk { path: self.path.clone(), source };
        let beside = self.path.with_extension("new");
        let bytes = block(records);
        let write = || {
            let mut file = File::create(&beside)?;
            file.write_all(&bytes)?;
            file.sync_all()?;
            std::fs::rename(&beside, &self.path)?;
            sync_folder(&self.folder)?;
            Ok(file)
        };
        let file = write().map_err(told)?;
        (self.file, self.length) = (Some(file), bytes.len() as u64);
        Ok(())
    }
}

fn sync_folder(folder: &Path) -> std::io::Result<()> {
    File::open(folder)?.sync_all()
}
