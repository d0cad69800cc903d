//! Results on disk, one JSON line for each run. Opening a file truncates an incomplete last line, which an interruption may leave, so
//! that readers see whole lines only.

use std::collections::BTreeMap;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{Read, Seek, SeekFrom, Write};
use std::path::Path;

use ivyhatch_lab::Report;
use serde::{Deserialize, Serialize};

/// The result of one run. The field names are those of the file.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ResultLine {
    /// The run's key; see [`crate::Plan::key`].
    pub run: String,
    /// The variant's name, for human readers; the world's name and the seed are in the report.
    pub variant: String,
    /// The report of the run.
    pub report: Report,
}

/// Why results cannot be stored.
#[derive(Debug, thiserror::Error)]
pub enum ResultsError {
    /// The file cannot be read or written.
    #[error("{0}")]
    File(#[from] std::io::Error),
    /// Another process has the file open.
    #[error("another experiment is writing to it; wait for that, or name another folder")]
    Busy,
}

/// The results of an experiment so far, and their file, which stays locked until this is dropped.
pub struct Results {
    file: File,
    lines: BTreeMap<String, ResultLine>,
    /// Complete lines that are not results; they stay in the file.
    pub unreadable_lines: usize,
    /// Bytes of an incomplete last line that were truncated.
    pub truncated_bytes: usize,
}

impl Results {
    /// Opens a file of results, and creates it if need be.
    ///
    /// # Errors
    /// [`ResultsError::File`] where the file cannot be read and written, [`ResultsError::Busy`] where another process has it open.
    pub fn open(path: &Path) -> Result<Self, ResultsError> {
        let mut file = OpenOptions::new().read(true).append(true).create(true).open(path)?;
        match file.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Err(ResultsError::Busy),
            Err(TryLockError::Error(error)) => return Err(error.into()),
        }
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes)?;
        let complete_length =
            bytes.iter().rposition(|byte| *byte == b'\n').map_or(0, |position| position + 1);
        if complete_length < bytes.len() {
            file.set_len(complete_length as u64)?;
            file.seek(SeekFrom::End(0))?;
        }
        let (mut lines, mut unreadable_lines) = (BTreeMap::new(), 0);
        for line in bytes[..complete_length].split(|byte| *byte == b'\n').filter(|line| !line.is_empty()) {
            match serde_json::from_slice::<ResultLine>(line) {
                Ok(line) => drop(lines.insert(line.run.clone(), line)),
                Err(_) => unreadable_lines += 1,
            }
        }
        Ok(Self { file, lines, unreadable_lines, truncated_bytes: bytes.len() - complete_length })
    }

    /// The result of a run, by its key.
    pub fn get(&self, key: &str) -> Option<&ResultLine> {
        self.lines.get(key)
    }

    /// Stores a result, on disk before in memory.
    ///
    /// # Errors
    /// [`ResultsError::File`] where the file cannot be written.
    pub fn append(&mut self, line: ResultLine) -> Result<(), ResultsError> {
        let mut text = serde_json::to_string(&line).expect("a report is plain data");
        text.push('\n');
        self.file.write_all(text.as_bytes())?;
        self.lines.insert(line.run.clone(), line);
        Ok(())
    }
}
