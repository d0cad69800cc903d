//! The status that the agent shows on its socket, as JSON. The names in the JSON are those of the first release.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::lifecycle::{DesiredState, Phase};

/// The status of an instance.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct InstanceStatus {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// The labels by which commands select it.
    pub labels: BTreeMap<String, String>,
    /// Its desired state.
    #[serde(rename = "wanted")]
    pub desired_state: DesiredState,
    /// The phase that it is in.
    pub phase: Phase,
    /// Why it is in that phase.
    pub reason: String,
    /// How long it has been in that phase, in milliseconds.
    pub since_ms: u64,
    /// Whether it drains and no request is open.
    pub drained: bool,
    /// Its process.
    pub pid: Option<i32>,
    /// How often this agent has started a process for it.
    pub starts: u64,
    /// The last state that its node has reported, and how long ago that was in milliseconds.
    #[serde(rename = "said")]
    pub node_state: Option<(Value, u64)>,
}

/// The status of an agent.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct AgentStatus {
    /// The fleet's name.
    pub fleet: String,
    /// The agent's process.
    pub pid: u32,
    /// The number of commands that were applied.
    pub revision: u64,
    /// The instances, by name.
    pub instances: Vec<InstanceStatus>,
}
