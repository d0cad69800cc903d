//! The errors that end a command with exit code 3.

use std::io;
use std::path::PathBuf;

use ivyhatch_config::Diagnostic;
use ivyhatch_experiments::{ResultsError, SpecError};
use ivyhatch_lab::WorldError;
use ivyhatch_socket_lab::SocketLabError;
use thiserror::Error;

/// Why a command could not do its work.
#[derive(Debug, Error)]
pub enum CommandError {
    /// A file or folder could not be read, created or written.
    #[error("{}: {source}", path.display())]
    File { path: PathBuf, source: io::Error },
    /// A world is not valid; `origin` is its file or the built-in world.
    #[error("{origin}: {source}")]
    World { origin: String, source: WorldError },
    /// An experiment's file is not valid.
    #[error("{}: {source}", path.display())]
    Experiment { path: PathBuf, source: Box<SpecError> },
    /// The file of an experiment's results could not be used.
    #[error("{}: {source}", path.display())]
    Results { path: PathBuf, source: ResultsError },
    /// The path of the running executable is unknown; nodes are started from it.
    #[error("this program's own file: {0}")]
    OwnExecutable(io::Error),
    /// The async runtime could not be created.
    #[error("can't start: {0}")]
    Runtime(io::Error),
    /// A run on sockets failed.
    #[error(transparent)]
    SocketLab(#[from] SocketLabError),
}

/// Why there is no configuration for a node.
#[derive(Debug, Error)]
pub enum NodeConfigurationError {
    /// The operators' file is not valid; never empty.
    #[error("{}", summarise_diagnostics(.0))]
    Invalid(Vec<Diagnostic>),
    /// The operators' file has no instance of this name.
    #[error("{}: there is no instance {name:?}; there are {}", file.display(), instance_names.join(", "))]
    UnknownInstance { file: PathBuf, name: String, instance_names: Vec<String> },
}

fn summarise_diagnostics(diagnostics: &[Diagnostic]) -> String {
    let first = diagnostics.first().map_or(String::new(), ToString::to_string);
    match diagnostics.len().saturating_sub(1) {
        0 => first,
        more => format!("{first} (and {more} more: ivyhatch config check)"),
    }
}
