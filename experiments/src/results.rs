//! Results on disk, one JSON line per run. Opening a file truncates an incomplete last line, which an interrupted write may leave, so
//! that readers see complete lines only.

use std::collections::BTreeMap;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{Read, Seek, SeekFrom, Write};
use std::path::Path;

use ivyhatch_lab::Report;
use serde::{Deserialize, Serialize};

/// The result of one run. The field names are the JSON keys of the file.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ResultLine {
    /// The run's key; see [`crate::Plan::key`].
    pub run: String,
    /// The variant's name, for human readers only; the world's name and the seed are in the report.
    pub variant: String,
    /// The report of the simulation.
    pub report: Report,
}

/// Why results cannot be stored.
#[derive(Debug, thiserror::Error)]
pub enum ResultsError {
    /// The file cannot be read or written.
    #[error("{0}")]
    File(#[from] std::io::Error),
    /// Another process has the file locked.
    #[error(
        "the file of results is locked by another experiment; wait until that ends, or choose another folder"
    )]
    Busy,
}

/// The results of an experiment so far, and their file. The file stays locked until this value is dropped.
pub struct Results {
    file: File,
    lines: BTreeMap<String, ResultLine>,
    /// Number of complete lines that could not be parsed as results; these lines stay in the file.
    pub unreadable_lines: usize,
    /// Number of bytes of an incomplete last line that were truncated.
    pub truncated_bytes: usize,
}

impl Results {
    /// Opens and locks a file of results, and creates the file if it does not exist.
    ///
    /// # Errors
    /// [`ResultsError::File`] if the file cannot be read or written, [`ResultsError::Busy`] if another process has it locked.
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

    /// The result of a run by its key; `None` if the run has no result yet.
    pub fn get(&self, key: &str) -> Option<&ResultLine> {
        self.lines.get(key)
    }

    /// Stores a result, first on disk, then in memory.
    ///
    /// # Errors
    /// [`ResultsError::File`] if the file cannot be written.
    pub fn append(&mut self, line: ResultLine) -> Result<(), ResultsError> {
        let mut text = serde_json::to_string(&line).expect("a report serialises to JSON");
        text.push('\n');
        self.file.write_all(text.as_bytes())?;
        self.lines.insert(line.run.clone(), line);
        Ok(())
    }
}
