//! Recorded runs: plans that violate an invariant, stored as JSON files that can be replayed.

use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

use crate::injected_bugs::InjectedBug;
use crate::oracle::Violation;
use crate::plan::Plan;
use crate::run::{Outcome, play, play_with_bug};

/// A plan whose run violated an invariant when it was recorded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedRun {
    /// The violation as it was recorded.
    pub violation: Violation,
    /// The injected bug of the run, if any.
    #[serde(default, rename = "planted")] // wire name
    pub injected_bug: Option<InjectedBug>,
    /// The plan, which is all that a replay needs.
    pub plan: Plan,
}

/// Why a recorded run cannot be read or written.
#[derive(Debug, thiserror::Error)]
pub enum RecordingError {
    /// The file or its folder cannot be read or written.
    #[error("cannot access recorded run {path}: {source}; check the folder or name another")]
    Disk {
        /// The file.
        path: PathBuf,
        /// The error of the file system.
        source: std::io::Error,
    },
    /// The file does not contain a recorded run, or the run cannot be serialized.
    #[error(
        "invalid recorded run {path}: {source}; record the run again, or restore the file from the repository"
    )]
    Content {
        /// The file.
        path: PathBuf,
        /// The error of the JSON parser.
        source: serde_json::Error,
    },
}

impl RecordedRun {
    /// Replays the plan, with the injected bug if there is one.
    pub fn play(&self) -> Outcome {
        match self.injected_bug {
            Some(bug) => play_with_bug(&self.plan, bug),
            None => play(&self.plan),
        }
    }

    /// Reads a recorded run from a file.
    ///
    /// # Errors
    /// [`RecordingError::Disk`] where the file cannot be read, [`RecordingError::Content`] where the file contains no recorded run.
    pub fn read(path: &Path) -> Result<Self, RecordingError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| RecordingError::Disk { path: path.to_owned(), source })?;
        serde_json::from_str(&text)
            .map_err(|source| RecordingError::Content { path: path.to_owned(), source })
    }

    /// Writes the run to a file in `folder`, which is created if it does not exist. Returns the path of the file, whose name consists of
    /// the invariant and the seed; an existing file is overwritten.
    ///
    /// # Errors
    /// [`RecordingError::Disk`] where the folder or the file cannot be written, [`RecordingError::Content`] where the run cannot be
    /// serialized.
    pub fn save(&self, folder: &Path) -> Result<PathBuf, RecordingError> {
        let path = folder.join(format!("{}-{}.json", self.violation.invariant, self.plan.seed));
        let text = serde_json::to_string_pretty(self)
            .map_err(|source| RecordingError::Content { path: path.clone(), source })?;
        std::fs::create_dir_all(folder)
            .and_then(|()| std::fs::write(&path, text + "\n"))
            .map_err(|source| RecordingError::Disk { path: path.clone(), source })?;
        Ok(path)
    }
}
