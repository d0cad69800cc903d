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

/// A world. Field names are the keys of the TOML file unless a field has a `rename` attribute. Times without a unit in
/// their name are in seconds.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct World {
    /// Name, for reports.
    pub name: String,
    /// Duration, in seconds, during which new clients arrive.
    pub seconds: f64,
    /// Number of zones; nodes and servers are assigned to them round robin.
    pub zones: u32,
    /// Number of nodes.
    pub nodes: u32,
    /// One-way latency between two zones; the latency within one zone is a tenth of this.
    pub cross_ms: f64,
    /// Upper bound of the random additional latency of each message.
    #[serde(default)]
    pub jitter_ms: f64,
    /// Fraction of messages that are lost and retransmitted 200 ms later.
    #[serde(default)]
    pub loss: f64,
    /// Whether responses to requests carry load reports, in addition to responses to probes.
    #[serde(default)]
    pub reports_on_answers: bool,
    /// How nodes receive the list of servers.
    pub discovery: DiscoverySettings,
    /// The clients' requests.
    pub clients: Workload,
    /// The servers, group by group, numbered from 0.
    pub servers: Vec<ServerGroup>,
    /// The injected faults.
    #[serde(rename = "trouble", default)] // wire name
    pub faults: Vec<Fault>,
}

/// How nodes receive the list of servers.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DiscoverySettings {
    /// Delay until a notification or a requested list reaches a node.
    pub lag_ms: u64,
    /// Upper bound of the random additional delay of each notification; notifications to one node stay in order.
    #[serde(default)]
    pub jitter_ms: u64,
    /// Interval, in seconds, at which the full list is resent to watching nodes; 0 for never.
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

    /// The group of each server, in order of server number.
    pub(crate) fn each_server(&self) -> impl Iterator<Item = ServerGroup> + '_ {
        self.servers.iter().flat_map(|group| std::iter::repeat_n(*group, group.count as usize))
    }
}
