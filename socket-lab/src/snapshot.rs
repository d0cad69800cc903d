//! What an observer sees of a run while it goes on.

use ivyhatch_lab::OutcomeCounts;

/// Attempts that servers have received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptCounts {
    /// All of them.
    pub total: u64,
    /// Those to a server in another zone than the node's.
    pub cross_zone: u64,
}

/// One zone's servers.
#[derive(Clone, Copy, Debug)]
pub struct ZoneSnapshot {
    /// Servers that accept requests.
    pub servers_in_service: usize,
    /// Mean utilisation of these servers, 0 to 1; 0 if there are none.
    pub mean_utilisation: f64,
    /// Whether a partition separates the zone from the others.
    pub partitioned: bool,
}

/// The state of a run at one moment.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// Seconds since the first client could come.
    pub seconds: f64,
    /// Outcomes of the clients' requests so far.
    pub outcomes: OutcomeCounts,
    /// Attempts so far.
    pub attempts: AttemptCounts,
    /// The zones in the order of their numbers.
    pub zones: Vec<ZoneSnapshot>,
    /// Nodes that accept requests.
    pub nodes: usize,
    /// Violations of invariants so far.
    pub rules_broken: usize,
    /// Descriptions of the faults that have started or ended since the snapshot before.
    pub fault_events: Vec<String>,
}
