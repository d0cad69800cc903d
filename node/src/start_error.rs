//! Why a node can't start.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The configuration could not be read.
#[derive(Debug, thiserror::Error)]
#[error("{reason}")]
pub struct ConfigurationUnavailable {
    /// One line for the log: which file or setting, and why.
    pub reason: String,
}

/// Why a node can't start, or why a reloaded configuration is not used.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The configuration could not be read.
    #[error(transparent)]
    Unavailable(#[from] ConfigurationUnavailable),
    /// It is no JSON, or not of the expected form.
    #[error("configuration: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The seed can't be parsed.
    #[error("configuration: seed {0:?} is not a hexadecimal number of 64 bits")]
    Seed(String),
    /// There are fewer file descriptors than the node itself needs.
    #[error("configuration: limits.sockets: {0} descriptors are too few")]
    TooFewDescriptors(usize),
    /// A setting is wrong; the text names it.
    #[error("configuration: {0}")]
    Settings(String),
    /// The client listener can't be bound.
    #[error("can't listen at {at}: {source}")]
    Listen {
        /// The address.
        at: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// The control socket can't be bound.
    #[error("can't control at {at}: {source}")]
    Control {
        /// Its path.
        at: PathBuf,
        /// The operating system's error.
        source: io::Error,
    },
    /// The operating system denies something else.
    #[error("can't start: {0}")]
    System(#[from] io::Error),
}
