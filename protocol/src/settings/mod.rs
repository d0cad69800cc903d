//! The settings file with which the platform starts a process. Unknown fields are ignored.
//!
//! If the name of a field in the file is not the usual term, the Rust field has the usual term as its name, and a
//! `serde` attribute has the name in the file.

mod bounds;
mod error;

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};

use figment::Figment;
use figment::providers::{Format, Json};
use serde::Deserialize;

pub use self::bounds::{Bounds, FaultTolerance, ResourceLimits};
pub use self::error::{SETTINGS_PATH_VARIABLE, SettingsError};
use crate::ids::NodeId;

/// The addresses of the listeners that a role may have; `None` for a listener that the role does not have.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Listen {
    /// For requests of clients.
    #[serde(rename = "front")]
    pub client: Option<SocketAddrV4>,
    /// For readiness checks of the platform.
    pub readiness: Option<SocketAddrV4>,
    /// For requests of the operator.
    pub control: Option<SocketAddrV4>,
    /// For clients' queries for the addresses of routers.
    pub directory: Option<SocketAddrV4>,
}

/// The platform's API for the list of servers.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct CloudApi {
    /// The address of the API.
    pub address: SocketAddrV4,
    /// Calls per second that the API accepts from all nodes together.
    #[serde(default = "default_rate_per_s")]
    pub rate_per_s: f64,
    /// The maximum staleness of an answer of the API, in milliseconds.
    #[serde(rename = "lag_ms", default)]
    pub staleness_ms: f64,
}

fn default_rate_per_s() -> f64 {
    1.0
}

/// The name in [`Settings::contracts`] of the contract for applications' locks, numbers and cells.
const COORDINATION_CONTRACT: &str = "coord";

/// The settings of a process.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    /// The name of the machine.
    pub node_name: String,
    /// The name of the role in the deploy file.
    #[serde(default)]
    pub role: String,
    /// The address of the machine; see [`NodeId`].
    pub ip: Ipv4Addr,
    /// The zone of the machine.
    pub zone: String,
    /// The region of the machine.
    pub region: String,
    /// The region of each zone of the deployment.
    pub zones: BTreeMap<String, String>,
    /// The addresses at which the process listens.
    pub listen: Listen,
    /// The first and the last port for connections between nodes.
    #[serde(rename = "inner_ports")]
    pub peer_ports: (u16, u16),
    /// Addresses of control nodes to contact first.
    #[serde(default)]
    pub seeds: Vec<SocketAddrV4>,
    /// Whether this is the first start of the whole deployment: control nodes may create the first
    /// membership.
    #[serde(default)]
    pub first_start: bool,
    /// The resources of the process.
    #[serde(default)]
    pub limits: ResourceLimits,
    /// The data directory on the machine's disk; `None` if the machine has no disk.
    #[serde(default)]
    pub data_dir: Option<PathBuf>,
    /// The faults that the deployment has to tolerate.
    #[serde(rename = "tolerate", default)]
    pub fault_tolerance: FaultTolerance,
    /// The bounds that the deployment has to keep.
    #[serde(default)]
    pub bounds: Bounds,
    /// The parts of the platform's contract that are in force in the deployment; `None` if the file lacks the field.
    #[serde(default)]
    pub contracts: Option<Vec<String>>,
    /// The platform's API for the list of servers.
    pub cloud_api: CloudApi,
}

impl Settings {
    /// Reads the settings file whose path is in the environment variable [`SETTINGS_PATH_VARIABLE`].
    ///
    /// # Errors
    /// [`SettingsError::Unset`] if the variable is not set; otherwise as [`Settings::from_file`].
    pub fn from_environment() -> Result<Self, SettingsError> {
        let path = std::env::var(SETTINGS_PATH_VARIABLE).map_err(|_| SettingsError::Unset)?;
        Self::from_file(Path::new(&path))
    }

    /// Reads a settings file.
    ///
    /// # Errors
    /// [`SettingsError::Unreadable`], or as [`Settings::from_text`].
    pub fn from_file(path: &Path) -> Result<Self, SettingsError> {
        let displayed_path = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|source| SettingsError::Unreadable { path: displayed_path.clone(), source })?;
        Self::from_text(&text, &displayed_path)
    }

    /// Parses the text of a settings file. `path` is used in the error only.
    ///
    /// # Errors
    /// [`SettingsError::Malformed`] if the text is not valid JSON, or a field is missing or of the wrong type.
    pub fn from_text(text: &str, path: &str) -> Result<Self, SettingsError> {
        // An error of figment names the invalid field, an error of serde_json does not.
        let parsed = Figment::from(Json::string(text)).extract();
        parsed.map_err(|error| SettingsError::Malformed { path: path.to_owned(), source: Box::new(error) })
    }

    /// The control nodes at the addresses of the seeds.
    pub fn seed_nodes(&self) -> Vec<NodeId> {
        self.seeds.iter().map(|seed| NodeId::from(*seed.ip())).collect()
    }

    /// The address of a listener that the role needs. `field` is the name of the listener in the file.
    ///
    /// # Errors
    /// [`SettingsError::MissingAddress`] if the settings have none.
    pub fn listen_address(
        &self,
        field: &'static str,
        select: impl Fn(&Listen) -> Option<SocketAddrV4>,
    ) -> Result<SocketAddrV4, SettingsError> {
        select(&self.listen).ok_or_else(|| SettingsError::MissingAddress { field, role: self.role.clone() })
    }

    /// Whether applications of the deployment may use locks, numbers and cells; true if the file has no `contracts`.
    pub fn has_coordination(&self) -> bool {
        self.contracts
            .as_ref()
            .is_none_or(|contracts| contracts.iter().any(|name| name == COORDINATION_CONTRACT))
    }

    /// The region of a zone; the zone's own name if the settings don't list it.
    pub fn region_of<'a>(&'a self, zone: &'a str) -> &'a str {
        self.zones.get(zone).map_or(zone, String::as_str)
    }
}
