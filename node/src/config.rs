//! The node's configuration file.

use std::net::SocketAddr;

use ivyhatch_node_settings::NodeSettings;
use serde::Deserialize;

use crate::discovery::BackendList;
use crate::start_error::{ConfigurationUnavailable, StartError};

/// Reads the configuration's text, in the form of the file that `EDGE_CONFIG` names; called at the start and at each SIGHUP.
pub type ConfigurationSource = Box<dyn Fn() -> Result<Vec<u8>, ConfigurationUnavailable>>;

/// The configuration, as its file has it.
#[derive(Deserialize)]
pub struct Config {
    /// The node's name.
    pub name: String,
    /// Where it listens for clients.
    pub listen: SocketAddr,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// Hexadecimal, 64 bits.
    seed: String,
    /// The limits of the process.
    pub limits: Limits,
    /// The last list of backends that is known, which may be old.
    pub known: Option<BackendList>,
    settings: serde_json::Value,
}

/// The limits of the process.
#[derive(Deserialize)]
pub struct Limits {
    /// How many file descriptors it may have.
    pub sockets: usize,
}

impl Config {
    /// Reads and parses the configuration.
    ///
    /// # Errors
    /// [`StartError`] if it can't be read or is not of the expected form.
    pub fn read(source: &ConfigurationSource) -> Result<Self, StartError> {
        Ok(serde_json::from_slice(&source()?)?)
    }

    /// The settings, validated.
    ///
    /// # Errors
    /// [`StartError::Settings`] names the setting that is wrong.
    pub fn node_settings(&self) -> Result<NodeSettings, StartError> {
        Ok(ivyhatch_node_settings::parse(&self.settings)?)
    }

    /// The seed of the node's random decisions.
    ///
    /// # Errors
    /// [`StartError::Seed`] if it is no hexadecimal number of 64 bits.
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
