//! Groups of identical servers.

use serde::{Deserialize, Serialize};

/// A group of identical servers.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServerGroup {
    /// Number of servers in the group.
    pub count: u32,
    /// Cores of each server.
    pub cores: u32,
    /// Speed of a core; a core of speed 1 does one nanosecond of work per nanosecond.
    pub speed: f64,
    /// Whether a server cancels work when notified that the response is no longer awaited.
    #[serde(rename = "cancels", default)]
    pub cancels_abandoned_work: bool,
    /// Fraction of responses that are errors.
    #[serde(rename = "errors", default)]
    pub error_ratio: f64,
    /// Maximum number of concurrent connections; 0 for no limit.
    #[serde(default)]
    pub connections: u32,
    /// Work of a new connection's handshake, in milliseconds on a core of speed 1.
    #[serde(default)]
    pub handshake_ms: f64,
    /// Work of responding to a probe, in milliseconds on a core of speed 1.
    #[serde(default = "default_probe_ms")]
    pub probe_ms: f64,
    /// Queue capacity per core; further requests are rejected.
    #[serde(rename = "queue", default = "default_queue_per_core")]
    pub queue_per_core: u32,
    /// Whether a long queue makes the server several times slower.
    #[serde(rename = "chokes", default = "degrades_by_default")]
    pub degrades_under_backlog: bool,
}

fn default_probe_ms() -> f64 {
    4.0
}

fn default_queue_per_core() -> u32 {
    12
}

fn degrades_by_default() -> bool {
    true
}

impl Default for ServerGroup {
    fn default() -> Self {
        Self {
            count: 1,
            cores: 1,
            speed: 1.0,
            cancels_abandoned_work: false,
            error_ratio: 0.0,
            connections: 0,
            handshake_ms: 0.0,
            probe_ms: default_probe_ms(),
            queue_per_core: default_queue_per_core(),
            degrades_under_backlog: degrades_by_default(),
        }
    }
}
