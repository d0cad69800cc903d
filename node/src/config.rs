//! The node's configuration file.

use std::net::SocketAddr;

use ivyhatch_node_settings::NodeSettings;
use serde::Deserialize;

use crate::discovery::BackendList;
use crate::start_error::{ConfigurationUnavailable, StartError};

/// Returns the configuration as JSON text, in the format of the file that `EDGE_CONFIG` names. Called at the start and at each SIGHUP.
pub type ConfigurationSource = Box<dyn Fn() -> Result<Vec<u8>, ConfigurationUnavailable>>;

/// The configuration in the form of its JSON file.
#[derive(Deserialize)]
pub struct Config {
    /// The node's name, for log lines and the control socket.
    pub name: String,
    /// The address at which the node listens for clients.
    pub listen: SocketAddr,
    /// The address of the discovery service.
    pub discovery: SocketAddr,
    /// The seed of the node's random decisions: 64 bits, hexadecimal.
    seed: String,
    /// The limits of the node's process.
    pub limits: Limits,
    /// The last known list of backends, which may be stale; `None` if no list is known.
    pub known: Option<BackendList>,
    settings: serde_json::Value,
}

/// The limits of the node's process.
#[derive(Deserialize)]
pub struct Limits {
    /// How many file descriptors the process may have open.
    pub sockets: usize,
}

impl Config {
    /// Reads and parses the configuration.
    ///
    /// # Errors
    /// [`StartError`] if the configuration can't be read or is not JSON of the expected form.
    pub fn read(source: &ConfigurationSource) -> Result<Self, StartError> {
        Ok(serde_json::from_slice(&source()?)?)
    }

    /// Parses the settings and checks the type of each field.
    ///
    /// # Errors
    /// [`StartError::Settings`] names the first setting that is missing or of the wrong type.
    pub fn node_settings(&self) -> Result<NodeSettings, StartError> {
        Ok(ivyhatch_node_settings::parse(&self.settings)?)
    }

    /// The seed of the node's random decisions.
    ///
    /// # Errors
    /// [`StartError::Seed`] if the configured seed is not a hexadecimal number of 64 bits.
    pub fn seed(&self) -> Result<u64, StartError> {
        u64::from_str_radix(&self.seed, 16).map_err(|_| StartError::Seed(self.seed.clone()))
    }
}

/// Reads the file that the environment variable `EDGE_CONFIG` names.
///
/// # Errors
/// [`ConfigurationUnavailable`] if the variable is not set or the file can't be read.
pub fn read_file_from_environment() -> Result<Vec<u8>, ConfigurationUnavailable> {
    let path = std::env::var("EDGE_CONFIG")?;
    std::fs::read(&path).map_err(|source| ConfigurationUnavailable::File { path, source })
}
