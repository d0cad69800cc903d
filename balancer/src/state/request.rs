//! A request and its attempts.

use crate::api::{BackendId, Nanos, Outcome, RequestId, ZoneId};
use crate::pending_queue::QueueEntry;

/// One attempt at a request.
pub(crate) struct Attempt {
    pub(crate) backend: BackendId,
    pub(crate) zone: ZoneId,
    pub(crate) cell: u64,
    pub(crate) sent_at: Nanos,
    /// The estimated load of the backend when the attempt was sent.
    pub(crate) load_at_send: f64,
    /// `None` while the attempt is in flight.
    pub(crate) outcome: Option<Outcome>,
    /// The latency target has passed, and the attempt has been recorded as late.
    pub(crate) recorded_late: bool,
}

impl Attempt {
    pub(crate) fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }

    pub(crate) fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(Outcome::may_have_run)
    }

    /// Whether the attempt ended without reaching the backend.
    pub(crate) fn never_reached_backend(&self) -> bool {
        self.outcome.is_some_and(Outcome::never_reached_backend)
    }
}

/// The phase of a request.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestPhase {
    /// Sent, or about to be.
    Open,
    /// In the pending queue.
    Queued,
    /// The response is being streamed.
    Streaming,
    /// Answered, or the client has disconnected.
    Ended,
}

/// A request that is open, or that has ended with an attempt still in flight.
pub(crate) struct Request {
    pub(crate) id: RequestId,
    /// Index of the request's class.
    pub(crate) class: usize,
    /// The expected work in nanoseconds on a standard core; at least 1.
    pub(crate) expected_work: f64,
    /// The work that the request counts as in a slow-start budget, in nanoseconds on a standard core.
    pub(crate) slow_start_work: f64,
    /// When the latency target of the request passes.
    pub(crate) target_at: Nanos,
    /// When a request that was never sent leaves the queue: a later rejection would make its client wait in
    /// vain.
    pub(crate) queue_until: Nanos,
    /// When the client stops waiting.
    pub(crate) not_after: Nanos,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) phase: RequestPhase,
    /// Set while the request is in the pending queue.
    pub(crate) queue_entry: Option<QueueEntry>,
    /// The request exceeds its tenant's quota, and therefore has less value.
    pub(crate) over_quota: bool,
}

impl Request {
    pub(crate) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(Attempt::is_in_flight)
    }

    pub(crate) fn may_have_run(&self) -> bool {
        self.attempts.iter().any(Attempt::may_have_run)
    }

    /// Whether the next attempt would be a repeated arrival at a server: the last attempt reached one.
    pub(crate) fn next_is_repeat(&self) -> bool {
        let reached = |attempt: &Attempt| !attempt.outcome.is_some_and(Outcome::never_reached_server);
        self.attempts.last().is_some_and(reached)
    }

    /// The outcome of the last attempt; `None` if there is none or it is in flight.
    pub(crate) fn last_outcome(&self) -> Option<Outcome> {
        self.attempts.last().and_then(|attempt| attempt.outcome)
    }
}
