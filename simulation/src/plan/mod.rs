//! The plan of a run, which is one scenario: the size of the system, the operators' operations, and the faults with their triggers. A
//! plan can be stored as JSON, read back, and shrunk item by item.
//!
//! The JSON names occur in recorded runs and must not change; where the code uses another name, a serde attribute keeps the JSON name.

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

/// The time from the end of the last fault to the end of the run, in which the system must converge: `recover_s` in the deployment
/// files, plus the time of the operators' last operations.
pub const RECOVERY_MS: u64 = 12_000;

/// The plan of one run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// The seed of message delays, process ids and all other random numbers of the run.
    pub seed: u64,
    /// The number of control nodes, each with a disk; nodes are numbered from 0.
    pub members: usize,
    /// The number of disks that may be lost at once without loss of state; faults that exceed it are postponed.
    #[serde(rename = "tolerate")] // wire name
    pub tolerated_disk_losses: usize,
    /// The number of routers, each with a watch client; routers are numbered from 0.
    #[serde(rename = "followers")] // wire name
    pub routers: usize,
    /// The time in milliseconds by which all faults have ended; the run ends [`RECOVERY_MS`] later.
    pub faults_end_ms: u64,
    /// The operators' operations, with their start times.
    #[serde(rename = "orders")] // wire name
    pub operations: Vec<ScheduledOperation>,
    /// The faults, with their triggers and durations.
    pub faults: Vec<ScheduledFault>,
    /// The mutation of a single message, if any.
    #[serde(default)]
    pub mutation: Option<MessageMutation>,
    /// The percentage of responses to operators that are lost until `faults_end_ms`.
    #[serde(default, rename = "lost_answers")] // wire name
    pub lost_response_percent: u64,
    /// The number of applications' callers; callers are numbered from 0. If 0, nodes have no coordination partitions.
    #[serde(default)]
    pub callers: usize,
}

/// An operation and its time. An operator has one operation in flight and retries it until it has a definite response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScheduledOperation {
    /// The earliest start, in milliseconds; the operation also waits for the operator's earlier operations.
    pub at_ms: u64,
    /// The operator, numbered from 0.
    pub operator: usize,
    /// What the operator requests.
    #[serde(rename = "what")] // wire name
    pub operation: PlannedOperation,
}

/// An operation as a plan describes it. Its revision and base are determined during the run, by the operations before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlannedOperation {
    /// Replaces the configuration, on top of the newest revision that any operator knows.
    Put,
    /// Changes one route, on top of the newest revision that any operator knows.
    Patch,
    /// Attempts to replace the configuration with an invalid one, whose routes name an unknown service.
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
    /// The number of machines that replace another one during the run.
    pub fn replacement_count(&self) -> usize {
        self.faults.iter().filter(|scheduled| matches!(scheduled.fault, Fault::Replace(_))).count()
    }

    /// The number of machines of control nodes: the initial members, then the replacements in the order of their faults' start.
    pub fn machine_count(&self) -> usize {
        self.members + self.replacement_count()
    }

    /// The same plan without any fault.
    pub fn without_faults(self) -> Self {
        Self { faults: Vec::new(), ..self }
    }

    /// The end of the run, in milliseconds of virtual time.
    pub fn end_ms(&self) -> u64 {
        self.faults_end_ms + RECOVERY_MS
    }

    /// All member slots.
    pub(crate) fn all_members(&self) -> NodeSet {
        NodeSet((1 << self.members) - 1)
    }
}
