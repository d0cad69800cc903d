//! Why an agent can't run.

use std::io;
use std::path::Path;

use crate::store::StoreError;

/// Why an agent can't run.
#[derive(Debug, thiserror::Error)]
pub enum AgentError {
    /// A file or socket can't be used.
    #[error("{path}: {error}")]
    File {
        /// Its path.
        path: String,
        /// The system's error.
        error: io::Error,
    },
    /// The store can't be opened or read.
    #[error(transparent)]
    Store(#[from] StoreError),
}

impl AgentError {
    /// Adds the path to a system's error, for `map_err`.
    pub(super) fn at(path: &Path) -> impl FnOnce(io::Error) -> Self {
        let path = path.display().to_string();
        move |error| Self::File { path, error }
    }
}
