//! The status that the agent reports on its socket, as JSON. The field names in the JSON are those of the first release.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::lifecycle::{DesiredState, Phase};

/// The status of an instance.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct InstanceStatus {
    /// The instance's name.
    pub name: String,
    /// The zone of the instance's node.
    pub zone: String,
    /// The labels by which commands select the instance.
    pub labels: BTreeMap<String, String>,
    /// The state that operators have asked for last, or the configuration's default. The state machine may not have handled it yet.
    #[serde(rename = "wanted")]
    pub desired_state: DesiredState,
    /// The current phase of the lifecycle.
    pub phase: Phase,
    /// Why the instance is in that phase, in one line.
    pub reason: String,
    /// Time since the instance entered the phase, in milliseconds.
    pub since_ms: u64,
    /// Whether the node drains and has no request in flight.
    pub drained: bool,
    /// PID of the node's process; `None` if there is no process.
    pub pid: Option<i32>,
    /// Number of processes that this agent has started for the instance; adopted ones don't count.
    pub starts: u64,
    /// The state that the node has reported last, and its age in milliseconds. `None` until the node's process has reported.
    #[serde(rename = "said")]
    pub node_state: Option<(Value, u64)>,
}

/// The status of an agent.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct AgentStatus {
    /// The fleet's name.
    pub fleet: String,
    /// PID of the agent's process.
    pub pid: u32,
    /// Revision of the store: the number of commands applied so far.
    pub revision: u64,
    /// The selected instances, sorted by name.
    pub instances: Vec<InstanceStatus>,
}
