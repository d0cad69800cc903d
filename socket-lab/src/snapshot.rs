//! Snapshots: the state of a run in progress, as shown to an observer.

use ivyhatch_lab::OutcomeCounts;

/// Numbers of attempts, counted as the requests arrive at the servers' sockets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptCounts {
    /// Number of all attempts.
    pub total: u64,
    /// Number of attempts to a server in another zone than the node's.
    pub cross_zone: u64,
}

/// The state of one zone's servers.
#[derive(Clone, Copy, Debug)]
pub struct ZoneSnapshot {
    /// Number of servers that accept requests.
    pub servers_in_service: usize,
    /// Mean utilisation of the servers that accept requests, 0 to 1; 0 if there are none.
    pub mean_utilisation: f64,
    /// Whether a partition separates the zone from the others.
    pub partitioned: bool,
}

/// The state of a run at one moment.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// Seconds since the world's start; 0 before.
    pub seconds: f64,
    /// Outcomes of the clients' requests so far.
    pub outcomes: OutcomeCounts,
    /// Numbers of attempts so far.
    pub attempts: AttemptCounts,
    /// The zones, in the order of their numbers.
    pub zones: Vec<ZoneSnapshot>,
    /// Number of nodes that accept requests.
    pub nodes: usize,
    /// Number of violations of invariants so far.
    pub rules_broken: usize,
    /// Descriptions of the faults that have started or ended since the previous snapshot.
    pub fault_events: Vec<String>,
}
