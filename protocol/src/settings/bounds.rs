//! The bounds that a deployment has to keep, and the resources that it has for that.

use serde::Deserialize;

/// The bounds that the platform checks. A bound that the file lacks has the strictest value in use.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct Bounds {
    /// Milliseconds after which requests must no longer be sent to a server that the list shows as draining.
    #[serde(rename = "drain_ms")]
    pub drain_timeout_ms: f64,
    /// Seconds from the signal to shut down until the process is killed.
    #[serde(rename = "grace_s")]
    pub shutdown_grace_s: f64,
    /// The retry budget of a service: retries as a ratio of its requests, within
    /// [`Bounds::retry_budget_window_s`].
    #[serde(rename = "budget_ratio")]
    pub retry_budget_ratio: f64,
    /// The window of the retry budget, in seconds.
    #[serde(rename = "budget_window_s")]
    pub retry_budget_window_s: f64,
    /// Retries within the window that are allowed beyond the ratio, by all routers together.
    #[serde(rename = "budget_slack")]
    pub retry_budget_slack: f64,
    /// The request rate of a server during its warm-up, as a multiple of
    /// [`crate::configuration::Service::warm_up_rate_per_s`].
    #[serde(rename = "cold_excess")]
    pub warm_up_rate_factor: f64,
    /// Requests per second that are allowed beyond that multiple, by all routers together.
    #[serde(rename = "cold_slack")]
    pub warm_up_rate_slack: f64,
    /// The longest time for which clients may cache an answer of the directory, in seconds.
    #[serde(rename = "ttl_max_s")]
    pub max_directory_ttl_s: f64,
    /// For how long a watch may go on from a revision of cells that it was given, in seconds.
    #[serde(rename = "history_s")]
    pub cell_history_s: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            drain_timeout_ms: 2000.0,
            shutdown_grace_s: 8.0,
            retry_budget_ratio: 0.1,
            retry_budget_window_s: 10.0,
            retry_budget_slack: 0.0,
            warm_up_rate_factor: 1.0,
            warm_up_rate_slack: 0.0,
            max_directory_ttl_s: 5.0,
            cell_history_s: 20.0,
        }
    }
}

// `expecting` keeps the names by which error texts have always called the objects of the file.

/// The faults that the deployment has to tolerate at once.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, expecting = "struct Tolerate")]
pub struct FaultTolerance {
    /// The number of machines with a disk that may be lost.
    pub machines: usize,
}

impl Default for FaultTolerance {
    fn default() -> Self {
        Self { machines: 1 }
    }
}

/// The resources of a process.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, expecting = "struct Limits")]
pub struct ResourceLimits {
    /// The share of one CPU core.
    pub cpu_share: f64,
    /// The memory above which the process is killed, in megabytes.
    pub memory_mb: f64,
    /// The number of open file descriptors.
    pub max_fds: usize,
    /// The size of the disk, in megabytes; 0 for none.
    pub disk_mb: f64,
    /// The rate of the machine's link, in megabits a second; 0 where it is not known.
    pub link_mbps: f64,
}

/// Bytes a second of one megabit a second.
const BYTES_PER_MEGABIT: f64 = 1_000_000.0 / 8.0;

impl ResourceLimits {
    /// The rate of the machine's link, in bytes a second, where it is known.
    pub fn link_bytes_per_second(&self) -> Option<f64> {
        (self.link_mbps > 0.0).then_some(self.link_mbps * BYTES_PER_MEGABIT)
    }
}

impl Default for ResourceLimits {
    fn default() -> Self {
        Self { cpu_share: 1.0, memory_mb: 256.0, max_fds: 1024, disk_mb: 0.0, link_mbps: 0.0 }
    }
}
