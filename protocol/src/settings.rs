//! The settings file of a process, as the platform writes it. Fields that are not known are passed over, as new ones may come.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};

use figment::Figment;
use figment::providers::{Format, Json};
use serde::Deserialize;

use crate::ids::NodeId;

/// The variable that holds the file's path.
pub const SETTINGS_PATH_VARIABLE: &str = "IVYHATCH_SETTINGS";

/// Why a process can't be started so.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The variable is not set.
    #[error("{SETTINGS_PATH_VARIABLE} is not set: let it hold the path of the settings file")]
    Unset,
    /// The file can't be read.
    #[error("settings file {path}: {source}: check the path and who may read it")]
    Unreadable {
        /// The file.
        path: String,
        /// Why.
        source: std::io::Error,
    },
    /// It can't be understood.
    #[error("settings file {path}: {problem}: correct that field; nothing was started")]
    Malformed {
        /// The file.
        path: String,
        /// What is wrong, with the name of the field.
        problem: String,
    },
    /// The role has no address for what it serves.
    #[error("settings file: listen.{field} is missing: give the role {role:?} an address for what it serves")]
    MissingAddress {
        /// The field.
        field: &'static str,
        /// The role.
        role: String,
    },
}

/// Addresses for what the role serves.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(expecting = "struct Listen")]
pub struct ListenAddresses {
    /// Requests of clients.
    #[serde(rename = "front")]
    pub client: Option<SocketAddrV4>,
    /// Whether the process takes requests.
    pub readiness: Option<SocketAddrV4>,
    /// Calls of the operator.
    pub control: Option<SocketAddrV4>,
    /// Where clients should go.
    pub directory: Option<SocketAddrV4>,
}

/// What the machine gives a process.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, expecting = "struct Limits")]
pub struct ResourceLimits {
    /// Share of a core.
    pub cpu_share: f64,
    /// Memory over which it is killed, in megabytes.
    pub memory_mb: f64,
    /// Descriptors.
    pub max_fds: usize,
    /// Its disk, in megabytes; 0 for none.
    pub disk_mb: f64,
}

impl Default for ResourceLimits {
    fn default() -> Self {
        Self { cpu_share: 1.0, memory_mb: 256.0, max_fds: 1024, disk_mb: 0.0 }
    }
}

/// How much may be lost at once while all goes on.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, expecting = "struct Tolerate")]
pub struct FaultTolerance {
    /// Machines with a disk.
    pub machines: usize,
}

impl Default for FaultTolerance {
    fn default() -> Self {
        Self { machines: 1 }
    }
}

/// The figures of the rules. Those that a deployment does not name have the value with which nothing is risked.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct Bounds {
    /// Sends to a server that drains must have ended this long after the list showed it.
    #[serde(rename = "drain_ms")]
    pub drain_timeout_ms: f64,
    /// A process is killed this long after it was told to end, in seconds.
    #[serde(rename = "grace_s")]
    pub shutdown_grace_s: f64,
    /// Share of the requests of a service that may be sent again ...
    #[serde(rename = "budget_ratio")]
    pub retry_budget_ratio: f64,
    /// ... within so many seconds ...
    #[serde(rename = "budget_window_s")]
    pub retry_budget_window_s: f64,
    /// ... and so many more, summed over all machines.
    #[serde(rename = "budget_slack")]
    pub retry_budget_slack: f64,
    /// A cold server may get so many times its rate ...
    #[serde(rename = "cold_excess")]
    pub warm_up_rate_factor: f64,
    /// ... and so many more requests a second, summed over all machines.
    #[serde(rename = "cold_slack")]
    pub warm_up_rate_slack: f64,
    /// Answers of the directory count for so many seconds at most.
    #[serde(rename = "ttl_max_s")]
    pub max_directory_ttl_s: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            drain_timeout_ms: 2000.0,
            shutdown_grace_s: 8.0,
            retry_budget_ratio: 0.1,
            retry_budget_window_s: 10.0,
            retry_budget_slack: 0.0,
            warm_up_rate_factor: 1.0,
            warm_up_rate_slack: 0.0,
            max_directory_ttl_s: 5.0,
        }
    }
}

/// The platform's list of servers.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct CloudApi {
    /// Where it is asked for.
    pub address: SocketAddrV4,
    /// Calls a second that it accepts from all nodes together.
    #[serde(default = "one")]
    pub rate_per_s: f64,
    /// How far it lags, in milliseconds.
    #[serde(default)]
    #[serde(rename = "lag_ms")]
    pub staleness_ms: f64,
}

fn one() -> f64 {
    1.0
}

/// What a process is told at its start.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    /// The machine's name.
    pub node_name: String,
    /// The role's name in the deploy file.
    #[serde(default)]
    pub role: String,
    /// The machine's address.
    pub ip: std::net::Ipv4Addr,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// All zones, with their regions.
    pub zones: BTreeMap<String, String>,
    /// Addresses for what the role serves.
    pub listen: ListenAddresses,
    /// Ports for what nodes say to each other, from the first to the second.
    #[serde(rename = "inner_ports")]
    pub peer_ports: (u16, u16),
    /// Addresses of control nodes.
    #[serde(default)]
    pub seeds: Vec<SocketAddrV4>,
    /// The very first start of the whole system.
    #[serde(default)]
    pub first_start: bool,
    /// What the machine gives.
    #[serde(default)]
    pub limits: ResourceLimits,
    /// The folder on the machine's disk, if it has one.
    #[serde(default)]
    pub data_dir: Option<PathBuf>,
    /// How much may be lost at once.
    #[serde(rename = "tolerate", default)]
    pub fault_tolerance: FaultTolerance,
    /// The figures of the rules.
    #[serde(default)]
    pub bounds: Bounds,
    /// The platform's list.
    pub cloud_api: CloudApi,
}

impl Settings {
    /// The control nodes that the settings name.
    pub fn seed_nodes(&self) -> Vec<NodeId> {
        self.seeds.iter().map(|seed| NodeId::from(*seed.ip())).collect()
    }

    /// Reads the file that the environment names.
    ///
    /// # Errors
    /// Where there is none, or one that can't be used.
    pub fn from_environment() -> Result<Self, SettingsError> {
        let path = std::env::var(SETTINGS_PATH_VARIABLE).map_err(|_| SettingsError::Unset)?;
        Self::from_file(Path::new(&path))
    }

    /// Reads a file.
    ///
    /// # Errors
    /// Where it can't be read or understood.
    pub fn from_file(path: &Path) -> Result<Self, SettingsError> {
        let shown = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|source| SettingsError::Unreadable { path: shown.clone(), source })?;
        Self::from_text(&text, &shown)
    }

    /// Reads a file's text.
    ///
    /// # Errors
    /// Where it can't be understood.
    pub fn from_text(text: &str, path: &str) -> Result<Self, SettingsError> {
        let read = Figment::from(Json::string(text)).extract();
        read.map_err(|error: figment::Error| SettingsError::Malformed {
            path: path.to_owned(),
            problem: error.to_string(),
        })
    }

    /// An address at which the role has to listen.
    ///
    /// # Errors
    /// Where the settings give none.
    pub fn listen_address(
        &self,
        field: &'static str,
        of: impl Fn(&ListenAddresses) -> Option<SocketAddrV4>,
    ) -> Result<SocketAddrV4, SettingsError> {
        of(&self.listen).ok_or_else(|| SettingsError::MissingAddress { field, role: self.role.clone() })
    }

    /// The region of a zone; the zone's own name for one that the settings do not list.
    pub fn region_of<'a>(&'a self, zone: &'a str) -> &'a str {
        self.zones.get(zone).map_or(zone, String::as_str)
    }
}
