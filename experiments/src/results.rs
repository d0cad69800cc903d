//! Result lines on disk. A line is written whole or not at all as far as a reader can tell: what an interruption leaves
//! of the last one is cut off when the file is opened again.

use std::collections::BTreeMap;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{Read, Seek, SeekFrom, Write};
use std::path::Path;

use ivyhatch_lab::Report;
use serde::{Deserialize, Serialize};

/// One result.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Line {
    /// What the run is known by; see [`crate::Plan::key`].
    pub run: String,
    /// The variant's name, for readers; the world's name and the seed are in the report.
    pub variant: String,
    /// What came out.
    pub report: Report,
}

/// Results that can't be kept.
#[derive(Debug, thiserror::Error)]
pub enum ResultsError {
    /// The file can't be used.
    #[error("{0}")]
    File(#[from] std::io::Error),
    /// Somebody else writes to it.
    #[error("another experiment is writing to it; wait for that, or name another folder")]
    Busy,
}

/// The results of an experiment so far, and the file that they stand in. The file is locked as long as this lives.
pub struct Results {
    file: File,
    lines: BTreeMap<String, Line>,
    /// Whole lines that are no result, left as they are.
    pub unread: usize,
    /// Bytes of a last line that was cut short, taken off.
    pub cut: usize,
}

impl Results {
    /// Opens a file of results, or makes one.
    ///
    /// # Errors
    /// Where the file can't be read and written, or another process has it open.
    pub fn open(path: &Path) -> Result<Self, ResultsError> {
        let mut file = OpenOptions::new().read(true).append(true).create(true).open(path)?;
        match file.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Err(ResultsError::Busy),
            Err(TryLockError::Error(error)) => return Err(error.into()),
        }
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes)?;
        let whole = bytes.iter().rposition(|byte| *byte == b'\n').map_or(0, |at| at + 1);
        if whole < bytes.len() {
            file.set_len(whole as u64)?;
            file.seek(SeekFrom::End(0))?;
        }
        let (mut lines, mut unread) = (BTreeMap::new(), 0);
        for line in bytes[..whole].split(|byte| *byte == b'\n').filter(|line| !line.is_empty()) {
            match serde_json::from_slice::<Line>(line) {
                Ok(line) => drop(lines.insert(line.run.clone(), line)),
                Err(_) => unread += 1,
            }
        }
        Ok(Self { file, lines, unread, cut: bytes.len() - whole })
    }

    /// The result of a run, by its key.
    pub fn get(&self, key: &str) -> Option<&Line> {
        self.lines.get(key)
    }

    /// Keeps a result, on disk before in memory.
    ///
    /// # Errors
    /// Where the file can't be written.
    ///
    /// # Panics
    /// Never: a report is plain data.
    pub fn add(&mut self, line: Line) -> Result<(), ResultsError> {
        let mut text = serde_json::to_string(&line).expect("plain data");
        text.push('\n');
        self.file.write_all(text.as_bytes())?;
        self.lines.insert(line.run.clone(), line);
        Ok(())
    }
}
