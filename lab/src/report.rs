//! The report of a run, in virtual time or on sockets.

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use hdrhistogram::Histogram;
use hdrhistogram::serialization::Deserializer;
use serde::{Deserialize, Serialize};

use crate::invariants::InvariantViolation;

/// Number of buckets of [`Report::series`], which divide the run's time into equal parts.
pub const SERIES_BUCKETS: usize = 60;

/// The outcomes of one class or zone. Field names are the keys of the JSON report.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct ClassReport {
    /// Name of the class or zone.
    pub name: String,
    /// Requests, retries not counted.
    pub asked: u64,
    /// Requests served within the latency target, measured from when the client first sent the request.
    pub in_time: u64,
    /// Requests served after the latency target.
    pub late: u64,
    /// Requests rejected when the client had no retry left.
    pub refused: u64,
    /// Requests that failed or timed out.
    pub failed: u64,
    /// Requests whose client disconnected before a response.
    pub left: u64,
    /// Mean latency of the served requests, in milliseconds.
    pub mean_ms: f64,
    /// Median latency of the served requests, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency of the served requests, in milliseconds.
    pub p99_ms: f64,
    /// Histogram of the latencies of the served requests, in microseconds: HdrHistogram V2, deflated, in base64 without
    /// padding.
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
    /// Ratio of the value served in time to the value of all requests whose client did not disconnect, 0 to 1; 1 if
    /// there were no such requests.
    pub served: f64,
    /// Duration, in seconds, during which new clients arrived.
    pub seconds: f64,
    /// Attempts that nodes sent to servers.
    pub attempts: u64,
    /// Attempts to servers outside the node's zone.
    pub crossed: u64,
    /// Probes that nodes sent to servers.
    pub probes: u64,
    /// Number of times that servers degraded under backlog, over all servers.
    pub chokes: u32,
    /// Simulated events; 0 in a run on sockets.
    pub events: u64,
    /// Highest number of requests that one node had open at a time.
    pub most_open: u32,
    /// Highest number of connections to servers that one node had open at a time.
    pub most_connections: u32,
    /// Highest number of file descriptors that one node's process had open; 0 in virtual time.
    pub most_descriptors: u64,
    /// Highest memory use of one node's process, in kilobytes; 0 in virtual time.
    pub most_memory_kb: u64,
    /// Number of violations of invariants, including those that are not in [`Report::broken`].
    pub rules_broken: usize,
    /// The first violations, at most 16, each with its trace.
    #[serde(skip_serializing_if = "Vec::is_empty", default)]
    pub broken: Vec<InvariantViolation>,
    /// Value requested and value served in time in each of [`SERIES_BUCKETS`] buckets, by the time at which the client
    /// first sent the request.
    pub series: Vec<(f64, f64)>,
    /// Outcomes by request class.
    pub classes: Vec<ClassReport>,
    /// Outcomes by the zone whose nodes the client preferred.
    pub zones: Vec<ClassReport>,
}
