//! The schedule of one server.

use crate::{Nanos, SECOND};

/// How much a fresh report of a server may affect decisions, in ascending order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// Hardly any effect: none of the other priorities applies.
    #[default]
    Idle,
    /// The server's zone receives requests, and its load is far from any threshold.
    Watched,
    /// The load of the server's zone is close to a threshold.
    NearThreshold,
    /// The server is warming up, suspected of failing, or recently ejected, or there is no report of it.
    Urgent,
}

impl Priority {
    /// All priorities in ascending order.
    pub const ALL: [Self; 4] = [Self::Idle, Self::Watched, Self::NearThreshold, Self::Urgent];
}

/// The outcome of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// A response with a valid report.
    Report,
    /// A response without a valid report.
    NoReport,
    /// No response: the connection was refused or broken, or the probe timed out.
    Unreachable,
    /// The embedder cancelled the probe, which says nothing about the server.
    Cancelled,
}

/// The longest interval of an unreachable server, unless its ordinary interval is longer: the recovery of a
/// zone that was partitioned for some seconds is then noticed soon.
const MAX_BACKOFF: Nanos = 4 * SECOND;
/// Number of doublings after which the backoff certainly exceeds [`MAX_BACKOFF`].
const MAX_BACKOFF_DOUBLINGS: u32 = 16;

/// A server of the subset.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    /// The incarnation that the reports belong to.
    pub incarnation: Nanos,
    pub group: u32,
    /// When this incarnation was first listed. Outcomes of probes sent before are ignored.
    pub since: Nanos,
    pub priority: Priority,
    pub last_report_at: Option<Nanos>,
    /// When the last probe was sent, or a report came with a response; initially, when the server was listed.
    pub last_probe_at: Nanos,
    /// Number of consecutive probes that ended as [`ProbeOutcome::Unreachable`].
    pub consecutive_failures: u32,
    pub next_probe_at: Nanos,
}

impl Target {
    /// The interval until the next probe: the ordinary one, with exponential backoff while the server is
    /// unreachable, so that a partitioned zone uses little of the budget.
    pub fn interval(&self, ordinary: Nanos) -> Nanos {
        let doublings = self.consecutive_failures.min(MAX_BACKOFF_DOUBLINGS);
        ordinary.saturating_mul(1 << doublings).min(MAX_BACKOFF.max(ordinary))
    }
}
