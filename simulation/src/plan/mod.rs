//! The plan of a run: the size of the system, the operators' operations, and the faults with their times. A plan can be stored as
//! JSON, read back, and reduced item by item.
//!
//! The JSON names are those of recorded runs and stay as they are; where the code has another name, serde renames it.

mod coordination;
mod extended;
mod fault;
mod generate;
mod mutation;

use serde::{Deserialize, Serialize};

pub use fault::{
    AcknowledgementTrigger, DiskLoss, Fault, FaultTrigger, Link, LinkFaultRates, NodeSet, Replacement,
    ReplacementKind, RouterPartition, ScheduledFault, SlowDisk,
};
pub use mutation::{MessageMutation, MutationKind};

/// After the last fault the system has this long to converge: `recover_s` of the deployments, and the time of the operators' last
/// operations.
pub const RECOVERY_MS: u64 = 12_000;

/// The plan of one run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Seeds message delays, process ids and everything else that is drawn while the plan is played.
    pub seed: u64,
    /// Control nodes, each with a disk; they are numbered from 0.
    pub members: usize,
    /// Disks that may be lost at once.
    #[serde(rename = "tolerate")] // wire name
    pub tolerated_disk_losses: usize,
    /// Routers, each with a watch client; they are numbered from 0.
    #[serde(rename = "followers")] // wire name
    pub routers: usize,
    /// All faults have ended by then; the run ends [`RECOVERY_MS`] later.
    pub faults_end_ms: u64,
    /// The operators' operations.
    #[serde(rename = "orders")] // wire name
    pub operations: Vec<ScheduledOperation>,
    /// The faults.
    pub faults: Vec<ScheduledFault>,
    /// The mutation of a single message, if any.
    #[serde(default)]
    pub mutation: Option<MessageMutation>,
    /// The percentage of responses to operators that are lost until `faults_end_ms`.
    #[serde(default, rename = "lost_answers")] // wire name
    pub lost_response_percent: u64,
    /// Applications' callers; they are numbered from 0. Without any, nodes have no partitions for them.
    #[serde(default)]
    pub callers: usize,
}

/// An operation and its time. An operator has one operation in flight and retries it until it has a definite response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScheduledOperation {
    /// The earliest start; the operation waits for the operator's earlier ones.
    pub at_ms: u64,
    /// The operator, numbered from 0.
    pub operator: usize,
    /// The operation.
    #[serde(rename = "what")] // wire name
    pub operation: PlannedOperation,
}

/// An operation as a plan names it. Its revision and its base follow from the operations before it in the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlannedOperation {
    /// Replaces the configuration, on top of the newest revision that any operator knows.
    Put,
    /// Changes one route, on top of the newest revision that any operator knows.
    Patch,
    /// Replaces the configuration by one whose routes name an unknown service.
    Invalid,
    /// Reads the configuration.
    Read,
    /// Evacuates the zone of this number.
    Evacuate(usize),
    /// Ends the evacuation of the zone of this number.
    #[serde(rename = "Withdraw")] // wire name
    EndEvacuation(usize),
}

impl Plan {
    /// Machines that replace another one during the run.
    pub fn replacement_count(&self) -> usize {
        self.faults.iter().filter(|scheduled| matches!(scheduled.fault, Fault::Replace(_))).count()
    }

    /// All machines of control nodes: the first members, then the replacements in the order in which they start.
    pub fn machine_count(&self) -> usize {
        self.members + self.replacement_count()
    }

    /// The same plan without any fault.
    pub fn without_faults(self) -> Self {
        Self { faults: Vec::new(), ..self }
    }

    /// The end of the run.
    pub fn end_ms(&self) -> u64 {
        self.faults_end_ms + RECOVERY_MS
    }

    /// All member slots.
    pub(crate) fn all_members(&self) -> NodeSet {
        NodeSet((1 << self.members) - 1)
    }
}
