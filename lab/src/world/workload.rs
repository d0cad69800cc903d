//! The clients of a world: their request classes, tenants, retries and arrival rate.

use serde::{Deserialize, Serialize};

use crate::time::{MS, Nanos};

/// Longest `Retry-After` that a client honours; longer ones are capped.
pub(crate) const MAX_RETRY_AFTER: Nanos = 2_000 * MS;
/// Pause of a client that found no running node or lost its connection, and of a closed-loop client whose request failed.
pub const RECONNECT_DELAY: Nanos = 100 * MS;

/// The clients' requests.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// Open-loop requests per second over all nodes, without bursts; 0 if all clients are closed-loop.
    pub rate: f64,
    /// Number of closed-loop clients, each of which sends its next request as soon as it has received a response.
    #[serde(rename = "closed", default)]
    pub closed_clients: u32,
    /// Weight of each zone among the clients; empty for equal weights.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub zone_shares: Vec<f64>,
    /// Whether clients mark retries; otherwise a node has to infer from the remaining time that a request is a retry.
    #[serde(rename = "marks_repeats", default)]
    pub marks_retries: bool,
    /// Fraction of clients that disconnect before a response, at a random time up to their timeout.
    #[serde(rename = "hang_up", default)]
    pub disconnect_ratio: f64,
    /// Maximum number of retries of a client after rejections or lost connections.
    #[serde(rename = "repeats")]
    pub retries: u32,
    /// Pause before a retry, unless the rejection carried a longer `Retry-After`.
    #[serde(rename = "repeat_after_ms")]
    pub retry_delay_ms: u64,
    /// The request classes.
    #[serde(rename = "class")]
    pub classes: Vec<RequestClass>,
    /// The tenants; empty for a world without tenants.
    #[serde(rename = "tenant", default, skip_serializing_if = "Vec::is_empty")]
    pub tenants: Vec<Tenant>,
}

impl Workload {
    /// How long a client waits before a retry: the received `Retry-After`, capped, but at least the configured pause.
    pub fn retry_delay(&self, retry_after: Nanos) -> Nanos {
        retry_after.min(MAX_RETRY_AFTER).max(self.retry_delay_ms * MS)
    }

    /// The zone of each closed-loop client, in proportion to the zones' weights.
    pub fn closed_client_zones(&self, zones: u32) -> Vec<u32> {
        let equal = vec![1.0; zones as usize];
        let weights = if self.zone_shares.is_empty() { &equal } else { &self.zone_shares };
        let sum: f64 = weights.iter().sum();
        let mut assigned = Vec::new();
        let mut cumulative = 0.0;
        for (zone, weight) in (0..).zip(weights) {
            cumulative += weight / sum * f64::from(self.closed_clients);
            assigned.resize((cumulative.round() as usize).max(assigned.len()), zone);
        }
        assigned
    }
}

/// A tenant: a customer whose requests have a quota.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Weight of the tenant in the draw of a request's tenant.
    pub share: f64,
    /// Requests per second, over all nodes, that are guaranteed to the tenant.
    pub quota: f64,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RequestClass {
    /// Name, for reports.
    pub name: String,
    /// Weight of the class in the draw of a request's class.
    pub share: f64,
    /// Mean work on a core of speed 1.
    pub work_ms: f64,
    /// Mean wait for downstream services, independent of the load.
    #[serde(rename = "elsewhere_ms")]
    pub downstream_ms: f64,
    /// Latency target (service-level objective): a response within this time counts as in time.
    #[serde(rename = "aim_ms")]
    pub latency_target_ms: u64,
    /// Time after the first attempt at which the client stops waiting and retrying.
    pub deadline_ms: u64,
    /// Value of one response in time, relative to other classes.
    #[serde(rename = "worth")]
    pub value: f64,
    /// Whether requests of this class must not be executed twice (RFC 9110, section 9.2.2).
    #[serde(rename = "once")]
    pub non_idempotent: bool,
}

impl RequestClass {
    /// How long a client waits for the response to one attempt: 70 to 100 % of the deadline, given a random number in
    /// `[0, 1)`.
    pub fn attempt_timeout(&self, unit_draw: f64) -> Nanos {
        (self.deadline_ms as f64 * (0.7 + 0.3 * unit_draw)) as Nanos * MS
    }
}
