//! One tracked server.

use crate::{Nanos, SECOND};

/// What a fresh report of a server would change, the lowest first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// Next to nothing.
    #[default]
    Low,
    /// The server is in a zone that requests go to, far from any threshold.
    Normal,
    /// It is in a zone whose utilisation is about to decide something.
    High,
    /// It is warming up, suspect, back from an ejection, or nothing at all is known of it.
    Urgent,
}

impl Priority {
    /// All, the lowest first.
    pub const ALL: [Self; 4] = [Self::Low, Self::Normal, Self::High, Self::Urgent];
}

/// How a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// A response with a usable report.
    Report,
    /// A response without a usable report.
    NoReport,
    /// No response: refused, reset, or not in time.
    Unreachable,
    /// Cancelled by the embedder; says nothing.
    Cancelled,
}

/// Failures lengthen an interval up to this, or to the ordinary one where that is longer: a zone that was
/// partitioned for some seconds should not stay unseen for long after.
const MAX_BACKOFF: Nanos = 4 * SECOND;
/// The interval is doubled this many times at most.
const MAX_DOUBLINGS: u32 = 16;

/// A tracked server.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    /// Another incarnation of the server has none of this one's reports.
    pub(crate) incarnation: Nanos,
    pub(crate) group: u32,
    /// A probe sent later reaches this incarnation.
    pub(crate) tracked_since: Nanos,
    pub(crate) priority: Priority,
    /// When a report came last.
    pub(crate) reported_at: Option<Nanos>,
    /// When it was probed last, reported by itself, or was tracked: the interval counts from there.
    pub(crate) probed_at: Nanos,
    pub(crate) consecutive_failures: u32,
    /// When its next probe is due.
    pub(crate) due_at: Nanos,
}

impl Target {
    /// A server of which nothing is known.
    pub(crate) fn new(incarnation: Nanos, group: u32, now: Nanos, due_at: Nanos) -> Self {
        Self {
            incarnation,
            group,
            tracked_since: now,
            priority: Priority::Urgent,
            reported_at: None,
            probed_at: now,
            consecutive_failures: 0,
            due_at,
        }
    }

    /// The interval between two probes: the ordinary one, doubled for each probe in a row that failed, so
    /// that a zone that is partitioned takes little of the budget.
    pub(crate) fn interval(&self, ordinary: Nanos) -> Nanos {
        let backoff = ordinary.saturating_mul(1 << self.consecutive_failures.min(MAX_DOUBLINGS));
        backoff.min(MAX_BACKOFF.max(ordinary))
    }

    /// Records what a probe of this incarnation brought.
    pub(crate) fn record_outcome(&mut self, outcome: ProbeOutcome, now: Nanos) {
        match outcome {
            ProbeOutcome::Report => {
                self.reported_at = Some(now);
                self.consecutive_failures = 0;
            }
            ProbeOutcome::NoReport => self.consecutive_failures = 0,
            ProbeOutcome::Unreachable | ProbeOutcome::Cancelled => self.consecutive_failures += 1,
        }
    }
}
