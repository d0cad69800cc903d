//! Faults: what fails in a world, where, and from when until when.

use std::ops::Range;

use serde::{Deserialize, Serialize};

use crate::time::{Nanos, nanos_from_seconds};

/// A fault from one time to another.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What fails.
    pub kind: FaultKind,
    /// Start, in seconds since the start of the world.
    #[serde(rename = "from")]
    pub start_s: f64,
    /// End, in seconds since the start of the world.
    #[serde(rename = "to")]
    pub end_s: f64,
    /// Affected servers.
    #[serde(default)]
    pub servers: Vec<u32>,
    /// Affected nodes.
    #[serde(default)]
    pub nodes: Vec<u32>,
    /// Affected zone.
    #[serde(default)]
    pub zone: u32,
    /// The tenant whose requests a burst multiplies; `None` for all requests.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tenant: Option<u32>,
    /// Fraction of the machine that a neighbour uses, of responses that are errors, or of messages that are lost.
    #[serde(rename = "part", default)]
    pub fraction: f64,
    /// Factor of a burst on the request rate.
    #[serde(rename = "times", default)]
    pub rate_multiplier: f64,
    /// Additional one-way latency to and from a zone.
    #[serde(rename = "ms", default)]
    pub added_latency_ms: f64,
}

impl Fault {
    /// A fault of this kind and time that affects no server and no node yet.
    pub fn new(kind: FaultKind, start_s: f64, end_s: f64) -> Self {
        Self {
            kind,
            start_s,
            end_s,
            servers: Vec::new(),
            nodes: Vec::new(),
            zone: 0,
            tenant: None,
            fraction: 0.5,
            rate_multiplier: 2.0,
            added_latency_ms: 20.0,
        }
    }

    /// Start and end, since the start of the world.
    pub fn period(&self) -> Range<Nanos> {
        nanos_from_seconds(self.start_s)..nanos_from_seconds(self.end_s)
    }
}

/// What can fail.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Another program uses a fraction of some servers.
    #[serde(rename = "neighbour")]
    NoisyNeighbour,
    /// Some servers reject each request and report no load.
    #[serde(rename = "liar")]
    FalseReadiness,
    /// Some servers drain, and shut down at the end.
    Drain,
    /// Some servers are down, and come back cold.
    Restart,
    /// A zone is partitioned from the others.
    #[serde(rename = "zone_cut")]
    ZonePartition,
    /// The request rate is multiplied.
    Burst,
    /// A fraction of some servers' responses are errors.
    Errors,
    /// Some servers accept requests and probes and never respond.
    Hang,
    /// Some servers respond to requests and to no probe.
    #[serde(rename = "deaf")]
    ProbeTimeout,
    /// Latency to and from a zone rises.
    #[serde(rename = "far")]
    AddedLatency,
    /// Messages to and from a zone are lost, and arrive 200 ms later.
    #[serde(rename = "lossy")]
    PacketLoss,
    /// Discovery notifies nobody, and calls to it fail.
    #[serde(rename = "list_down")]
    DiscoveryDown,
    /// Full lists show the membership at the fault's start, as from a lagging replica; changes are still notified.
    #[serde(rename = "list_stale")]
    DiscoveryStale,
    /// Some nodes crash with their state, and restart with none.
    NodeCrash,
    /// Some nodes accept nothing new and finish what is in flight, and restart without state.
    #[serde(rename = "node_stop")]
    NodeShutdown,
}

impl FaultKind {
    /// All kinds.
    pub const ALL: [Self; 15] = [
        Self::NoisyNeighbour,
        Self::FalseReadiness,
        Self::Drain,
        Self::Restart,
        Self::ZonePartition,
        Self::Burst,
        Self::Errors,
        Self::Hang,
        Self::ProbeTimeout,
        Self::AddedLatency,
        Self::PacketLoss,
        Self::DiscoveryDown,
        Self::DiscoveryStale,
        Self::NodeCrash,
        Self::NodeShutdown,
    ];
}
