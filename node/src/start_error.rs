//! The errors for which a node can't start.

use std::env::VarError;
use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The configuration could not be read.
#[derive(Debug, thiserror::Error)]
pub enum ConfigurationUnavailable {
    /// The environment variable that names the file is not set, or is not Unicode.
    #[error("EDGE_CONFIG can't be read: {0}")]
    NoPath(#[from] VarError),
    /// The file can't be read.
    #[error("can't read configuration file {path}: {source}")]
    File {
        /// The path of the configuration file.
        path: String,
        /// The operating system's error.
        source: io::Error,
    },
    /// Another configuration source failed; the error is one line that names the file or the setting.
    #[error(transparent)]
    Other(Box<dyn Error + Send + Sync>),
}

/// Why a node can't start, or why a reloaded configuration is not used.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The configuration could not be read.
    #[error(transparent)]
    Unavailable(#[from] ConfigurationUnavailable),
    /// The configuration is not JSON, or not of the expected form.
    #[error("configuration: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The configured seed can't be parsed.
    #[error("configuration: seed {0:?} is not a hexadecimal number of 64 bits")]
    Seed(String),
    /// `limits.sockets` is less than twice the descriptors that the node needs beside its connections.
    #[error("configuration: limits.sockets: {0} descriptors are too few")]
    TooFewDescriptors(usize),
    /// A setting is missing or of the wrong type; the error names the setting.
    #[error("configuration: {0}")]
    Settings(#[from] ivyhatch_node_settings::SettingsError),
    /// The balancer rejects a setting; the error names the setting.
    #[error("configuration: {0}")]
    BalancerSettings(#[from] ivyhatch_balancer::SettingsError),
    /// The client listener can't be bound.
    #[error("can't listen for clients at {at}: {source}")]
    Listen {
        /// The configured address of the listener.
        at: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// The control socket can't be bound.
    #[error("can't listen on control socket {at}: {source}")]
    Control {
        /// The path of the control socket.
        at: PathBuf,
        /// The operating system's error.
        source: io::Error,
    },
    /// Another call of the operating system failed: setting up the runtime, a signal handler or a socket.
    #[error("can't start: {0}")]
    System(#[from] io::Error),
}
