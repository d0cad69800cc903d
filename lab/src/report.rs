//! The report of a run.

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use hdrhistogram::Histogram;
use hdrhistogram::serialization::Deserializer;
use serde::{Deserialize, Serialize};

use crate::invariants::InvariantViolation;

/// Number of equal parts of a run's time in [`Report::series`].
pub const SERIES_BUCKETS: usize = 60;

/// The outcomes of one class or zone. Field names are the keys of the JSON report.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct ClassReport {
    /// Name of the class or zone.
    pub name: String,
    /// Requests, retries not counted.
    pub asked: u64,
    /// Requests served within the latency target, counted from the first attempt of the client.
    pub in_time: u64,
    /// Requests served later than that.
    pub late: u64,
    /// Requests rejected with no retry left.
    pub refused: u64,
    /// Requests that failed or timed out.
    pub failed: u64,
    /// Requests whose client disconnected early.
    pub left: u64,
    /// Mean latency of the served requests, in milliseconds.
    pub mean_ms: f64,
    /// Their median latency, in milliseconds.
    pub p50_ms: f64,
    /// The 99th percentile of their latency, in milliseconds.
    pub p99_ms: f64,
    /// Histogram of their latencies in microseconds: HdrHistogram V2, deflated, in base64 without padding.
    pub times: String,
}

impl ClassReport {
    /// Latencies of the served requests, in microseconds; `None` if [`ClassReport::times`] does not decode.
    pub fn histogram(&self) -> Option<Histogram<u64>> {
        let bytes = STANDARD_NO_PAD.decode(&self.times).ok()?;
        Deserializer::new().deserialize(&mut bytes.as_slice()).ok()
    }
}

/// The report of a run. Field names are the keys of the JSON report.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Report {
    /// Name of the world.
    pub world: String,
    /// Seed of the run.
    pub seed: u64,
    /// Value served in time over the value of all requests whose client stayed, 0 to 1; 1 without requests.
    pub served: f64,
    /// How long new clients arrived, in seconds.
    pub seconds: f64,
    /// Attempts.
    pub attempts: u64,
    /// Attempts to another zone than the node's.
    pub crossed: u64,
    /// Probes.
    pub probes: u64,
    /// How often a server degraded under backlog.
    pub chokes: u32,
    /// Simulated events; 0 on sockets.
    pub events: u64,
    /// Most requests that one node had open.
    pub most_open: u32,
    /// Most connections to servers that one node had open.
    pub most_connections: u32,
    /// Most descriptors that one node's process had open; 0 in virtual time.
    pub most_descriptors: u64,
    /// Most memory, in kilobytes, that one node's process used; 0 in virtual time.
    pub most_memory_kb: u64,
    /// Number of violations of invariants.
    pub rules_broken: usize,
    /// The first violations, with their traces.
    #[serde(skip_serializing_if = "Vec::is_empty", default)]
    pub broken: Vec<InvariantViolation>,
    /// Value requested and value served in time, by the time of the first attempt, in [`SERIES_BUCKETS`] parts.
    pub series: Vec<(f64, f64)>,
    /// By class.
    pub classes: Vec<ClassReport>,
    /// By the zone that clients preferred.
    pub zones: Vec<ClassReport>,
}
