//! The bounds that a deployment has to keep, the faults that it has to tolerate, and the resources of a process.

use serde::Deserialize;

/// The bounds that the platform checks. The default of a bound, for files without it, is the strictest value in use.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct Bounds {
    /// Milliseconds after which requests must no longer be sent to a server that is draining according to the server
    /// list.
    #[serde(rename = "drain_ms")]
    pub drain_timeout_ms: f64,
    /// Seconds from the shutdown signal until the platform kills the process.
    #[serde(rename = "grace_s")]
    pub shutdown_grace_s: f64,
    /// The retry budget of a service: retries as a ratio of its requests, within
    /// [`Bounds::retry_budget_window_s`].
    #[serde(rename = "budget_ratio")]
    pub retry_budget_ratio: f64,
    /// The window of the retry budget, in seconds.
    #[serde(rename = "budget_window_s")]
    pub retry_budget_window_s: f64,
    /// Retries within the window that all routers together may send in excess of the ratio.
    #[serde(rename = "budget_slack")]
    pub retry_budget_slack: f64,
    /// The maximum request rate of a server during its warm-up, as a multiple of
    /// [`crate::configuration::Service::warm_up_rate_per_s`].
    #[serde(rename = "cold_excess")]
    pub warm_up_rate_factor: f64,
    /// Requests per second that all routers together may send in excess of [`Bounds::warm_up_rate_factor`].
    #[serde(rename = "cold_slack")]
    pub warm_up_rate_slack: f64,
    /// The longest time for which clients may cache an answer of the directory, in seconds.
    #[serde(rename = "ttl_max_s")]
    pub max_directory_ttl_s: f64,
    /// How long a watch of cells can be continued from a revision that the watcher has received, in seconds.
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

// `expecting` keeps the names of the file's objects in error texts, which differ from the names of the types.

/// The faults that the deployment has to tolerate at once.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, expecting = "struct Tolerate")]
pub struct FaultTolerance {
    /// The number of machines with a disk that may be lost at once.
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
    /// The memory above which the platform kills the process, in megabytes.
    pub memory_mb: f64,
    /// The maximum number of open file descriptors.
    pub max_fds: usize,
    /// The size of the disk, in megabytes; 0 for none.
    pub disk_mb: f64,
    /// The rate of the machine's link, in megabits per second; 0 if the rate is not known.
    pub link_mbps: f64,
}

/// Bytes in a megabit.
const BYTES_PER_MEGABIT: f64 = 1_000_000.0 / 8.0;

impl ResourceLimits {
    /// The rate of the machine's link, in bytes per second; `None` if the rate is not known.
    pub fn link_bytes_per_second(&self) -> Option<f64> {
        (self.link_mbps > 0.0).then_some(self.link_mbps * BYTES_PER_MEGABIT)
    }
}

impl Default for ResourceLimits {
    fn default() -> Self {
        Self { cpu_share: 1.0, memory_mb: 256.0, max_fds: 1024, disk_mb: 0.0, link_mbps: 0.0 }
    }
}
