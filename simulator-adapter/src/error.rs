//! Why the adapter ends before its input does.

use std::io;

use ivyhatch_node_settings::FieldError;

/// An error that ends the adapter.
#[derive(Debug, thiserror::Error)]
pub(crate) enum AdapterError {
    /// Standard input failed.
    #[error("standard input: {0}")]
    Input(#[source] io::Error),
    /// Standard output failed.
    #[error("standard output: {0}")]
    Output(#[source] io::Error),
    /// A line is malformed.
    #[error("line {line}: {error}")]
    Line {
        /// Number of the line, from 1.
        line: u64,
        /// What is wrong with it.
        error: LineError,
    },
}

/// Why a line is malformed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum LineError {
    /// It is not JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// It is not an object with one key, the message's tag.
    #[error("not an object with a single key")]
    NoSingleKey,
    /// The message's body is not an object.
    #[error("{tag}: not an object")]
    BodyNotObject {
        /// The message's tag.
        tag: String,
    },
    /// A field is missing or invalid.
    #[error(transparent)]
    Field(#[from] FieldError),
}
