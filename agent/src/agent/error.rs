//! Errors with which an agent fails to start.

use std::io;
use std::path::Path;

use crate::store::StoreError;

/// Why an agent can't run.
#[derive(Debug, thiserror::Error)]
pub enum AgentError {
    /// A folder, file or socket of the agent can't be created or opened.
    #[error("{path}: {error}")]
    File {
        /// Path of the folder, file or socket.
        path: String,
        /// The operating system's error.
        error: io::Error,
    },
    /// The store can't be opened or read.
    #[error(transparent)]
    Store(#[from] StoreError),
}

impl AgentError {
    /// Adds the path to an I/O error, for `map_err`.
    pub(super) fn at(path: &Path) -> impl FnOnce(io::Error) -> Self {
        let path = path.display().to_string();
        move |error| Self::File { path, error }
    }
}
