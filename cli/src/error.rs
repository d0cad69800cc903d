//! Errors that end a command with exit code 3, [`UNUSABLE`](crate::exit::UNUSABLE).

use std::io;
use std::path::PathBuf;

use ivyhatch_config::Diagnostic;
use ivyhatch_experiments::{ResultsError, SpecError};
use ivyhatch_lab::WorldError;
use ivyhatch_socket_lab::SocketLabError;
use thiserror::Error;

/// Why a command could not be carried out.
#[derive(Debug, Error)]
pub enum CommandError {
    /// A file or folder could not be read, created or written.
    #[error("{}: {source}", path.display())]
    File { path: PathBuf, source: io::Error },
    /// A world is not valid; `origin` is the path of its file, or names the built-in world.
    #[error("{origin}: {source}")]
    World { origin: String, source: WorldError },
    /// The file of an experiment is not valid.
    #[error("{}: {source}", path.display())]
    Experiment { path: PathBuf, source: Box<SpecError> },
    /// The results file of an experiment could not be read or written, or is locked by another process.
    #[error("{}: {source}", path.display())]
    Results { path: PathBuf, source: ResultsError },
    /// The path of the running executable could not be determined; nodes are started from it.
    #[error("cannot locate this executable: {0}")]
    OwnExecutable(io::Error),
    /// The async runtime could not be created.
    #[error("cannot create a runtime: {0}")]
    Runtime(io::Error),
    /// A run on loopback sockets failed.
    #[error(transparent)]
    SocketLab(#[from] SocketLabError),
}

/// Why the configuration of a node could not be generated.
#[derive(Debug, Error)]
pub enum NodeConfigurationError {
    /// The operators' configuration file is not valid; contains all of its errors, at least one.
    #[error("{}", summarise_diagnostics(.0))]
    Invalid(Vec<Diagnostic>),
    /// The operators' configuration file has no instance called `name`; `instance_names` has the names that exist.
    #[error("{}: there is no instance {name:?}; there are {}", file.display(), instance_names.join(", "))]
    UnknownInstance { file: PathBuf, name: String, instance_names: Vec<String> },
}

/// The first error, with the number of further errors.
fn summarise_diagnostics(diagnostics: &[Diagnostic]) -> String {
    let first = diagnostics.first().map_or(String::new(), ToString::to_string);
    match diagnostics.len().saturating_sub(1) {
        0 => first,
        more => format!("{first} (and {more} more: ivyhatch config check)"),
    }
}
