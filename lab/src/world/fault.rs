//! Injected faults: the kind, the affected servers, nodes or zone, and the period.

use std::ops::Range;

use serde::{Deserialize, Serialize};

use crate::time::{Nanos, nanos_from_seconds};

/// An injected fault, active during a period.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Start, in seconds since the start of the world.
    #[serde(rename = "from")]
    pub start_s: f64,
    /// End, in seconds since the start of the world.
    #[serde(rename = "to")]
    pub end_s: f64,
    /// Numbers of the affected servers.
    #[serde(default)]
    pub servers: Vec<u32>,
    /// Numbers of the affected nodes.
    #[serde(default)]
    pub nodes: Vec<u32>,
    /// Number of the affected zone.
    #[serde(default)]
    pub zone: u32,
    /// The tenant whose requests a burst multiplies; `None` for all requests.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tenant: Option<u32>,
    /// Fraction of the machine that a noisy neighbour uses, of responses that are errors, or of messages that are lost.
    #[serde(rename = "part", default)]
    pub fraction: f64,
    /// Factor by which a burst multiplies the request rate.
    #[serde(rename = "times", default)]
    pub rate_multiplier: f64,
    /// Additional one-way latency to and from the affected zone, in milliseconds.
    #[serde(rename = "ms", default)]
    pub added_latency_ms: f64,
}

impl Fault {
    /// A fault of this kind and period, with an empty list of affected servers and nodes.
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

    /// The period in which the fault is active, since the start of the world.
    pub fn period(&self) -> Range<Nanos> {
        nanos_from_seconds(self.start_s)..nanos_from_seconds(self.end_s)
    }
}

/// The kinds of faults.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Another program uses a fraction of the affected servers' machines.
    #[serde(rename = "neighbour")]
    NoisyNeighbour,
    /// The affected servers reject each request and report no load.
    #[serde(rename = "liar")]
    FalseReadiness,
    /// The affected servers drain, and shut down at the fault's end.
    Drain,
    /// The affected servers are down, and restart cold at the fault's end.
    Restart,
    /// The affected zone is partitioned from the others.
    #[serde(rename = "zone_cut")]
    ZonePartition,
    /// The request rate is multiplied.
    Burst,
    /// A fraction of the affected servers' responses are errors.
    Errors,
    /// The affected servers accept requests and probes and never respond.
    Hang,
    /// The affected servers respond to requests but to no probe.
    #[serde(rename = "deaf")]
    ProbeTimeout,
    /// Latency between the affected zone and others rises.
    #[serde(rename = "far")]
    AddedLatency,
    /// Messages between the affected zone and others are lost, and retransmitted after 200 ms.
    #[serde(rename = "lossy")]
    PacketLoss,
    /// The discovery service sends no notifications, and calls to the service fail.
    #[serde(rename = "list_down")]
    DiscoveryDown,
    /// Full lists show the membership at the fault's start, as from a lagging replica; nodes are still notified of
    /// changes.
    #[serde(rename = "list_stale")]
    DiscoveryStale,
    /// The affected nodes crash and lose their state; they restart at the fault's end with only the cached list.
    NodeCrash,
    /// The affected nodes accept no new requests and finish those in flight; they restart at the fault's end with only
    /// the cached list.
    #[serde(rename = "node_stop")]
    NodeShutdown,
}

impl FaultKind {
    /// All kinds, in the order of declaration.
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
