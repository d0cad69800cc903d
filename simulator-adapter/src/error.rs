//! Errors that end the adapter before the end of its input.

use std::io;

use ivyhatch_node_settings::FieldError;

/// An error that ends the adapter.
#[derive(Debug, thiserror::Error)]
pub(crate) enum AdapterError {
    /// Reading standard input failed.
    #[error("standard input: {0}")]
    Input(#[source] io::Error),
    /// Writing standard output failed.
    #[error("standard output: {0}")]
    Output(#[source] io::Error),
    /// A line is malformed.
    #[error("line {line}: {error}")]
    Line {
        /// Number of the line, counted from 1.
        line: u64,
        /// Why the line is malformed.
        error: LineError,
    },
}

/// Why a line is malformed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum LineError {
    /// The line is not valid JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The line is not an object with exactly one key, the message's tag.
    #[error("expected an object with a single key, the message's tag")]
    NoSingleKey,
    /// The value of the tag, the message's body, is not an object.
    #[error("{tag}: the message's body is not an object")]
    BodyNotObject {
        /// The message's tag.
        tag: String,
    },
    /// A field of the body is missing or invalid.
    #[error(transparent)]
    Field(#[from] FieldError),
}
