//! The description of a world: its zones, nodes, network, servers, clients and faults, as read from TOML.

mod error;
mod fault;
mod server_group;
mod validation;
mod workload;

use serde::{Deserialize, Serialize};

pub use error::WorldError;
pub use fault::{Fault, FaultKind};
pub use server_group::ServerGroup;
pub(crate) use workload::MAX_RETRY_AFTER;
pub use workload::{RECONNECT_DELAY, RequestClass, Tenant, Workload};

/// A world. Field names are the keys of the TOML file, where no `rename` says otherwise. Times without a unit in their
/// name are seconds.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct World {
    /// Name, for reports.
    pub name: String,
    /// How long new clients arrive.
    pub seconds: f64,
    /// Number of zones; nodes and servers are assigned to them round robin.
    pub zones: u32,
    /// Number of nodes.
    pub nodes: u32,
    /// One-way latency between two zones; a tenth of it within one zone.
    pub cross_ms: f64,
    /// Upper bound of the random additional latency of each message.
    #[serde(default)]
    pub jitter_ms: f64,
    /// Fraction of messages that are lost and sent again 200 ms later.
    #[serde(default)]
    pub loss: f64,
    /// Whether responses carry load reports, besides probes.
    #[serde(default)]
    pub reports_on_answers: bool,
    /// How membership reaches the nodes.
    pub discovery: DiscoverySettings,
    /// The clients' requests.
    pub clients: Workload,
    /// The servers, group by group, numbered from 0.
    pub servers: Vec<ServerGroup>,
    /// The faults.
    #[serde(rename = "trouble", default)] // wire name
    pub faults: Vec<Fault>,
}

/// How membership reaches the nodes.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DiscoverySettings {
    /// Delay of a notification.
    pub lag_ms: u64,
    /// Upper bound of each notification's random additional delay; a node still gets its notifications in order.
    #[serde(default)]
    pub jitter_ms: u64,
    /// Interval, in seconds, at which watching nodes get the full list again; 0 for never.
    #[serde(rename = "whole_every", default)]
    pub full_list_interval_s: f64,
}

impl World {
    /// Parses and validates a world.
    ///
    /// # Errors
    /// [`WorldError::Text`] if the text is not TOML or a field is unknown, missing or of the wrong type;
    /// [`WorldError::Field`], with the field's line, if a value is out of range.
    pub fn read(text: &str) -> Result<Self, WorldError> {
        let world: Self = toml::from_str(text)?;
        world.check().map_err(|error| error.with_line_in(text))?;
        Ok(world)
    }

    /// The world as TOML.
    ///
    /// # Panics
    /// Never: each part of a world has a representation in TOML.
    pub fn write(&self) -> String {
        toml::to_string(self).expect("each part of a world has a representation in TOML")
    }

    /// The group of each server, in the order of the servers' numbers.
    pub(crate) fn each_server(&self) -> impl Iterator<Item = ServerGroup> + '_ {
        self.servers.iter().flat_map(|group| std::iter::repeat_n(*group, group.count as usize))
    }
}
