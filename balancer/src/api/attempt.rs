//! The end of an attempt at a request, and the load report that may come with it.

use super::ids::RequestId;
use super::time::Nanos;

/// The load of a backend as the backend reports it. Figures that are not reported are `None`.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// Share of the backend's cores in use; 1 is all of them.
    pub utilisation: Option<f64>,
    /// Requests served per second.
    pub requests_per_second: Option<f64>,
    /// Requests in flight at the backend.
    pub in_flight: Option<f64>,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The backend served the request.
    Served,
    /// The backend returned an error.
    Error,
    /// The response is unusable, which does not by itself indicate an unhealthy backend.
    InvalidResponse,
    /// The backend rejected the attempt without processing it.
    Rejected,
    /// No response before the timeout.
    TimedOut,
    /// No connection was established.
    ConnectFailed,
    /// Another instance answered at the backend's address, and did not process the request.
    Misdirected,
    /// The connection was reset while the attempt was in flight.
    Reset,
    /// This node cancelled the attempt.
    Cancelled,
    /// The attempt was never written to a connection.
    NotSent,
}

impl Outcome {
    /// The number of outcomes.
    pub(crate) const COUNT: usize = Self::NotSent as usize + 1;

    /// Whether the attempt may have taken effect at the backend.
    pub fn may_have_run(self) -> bool {
        self != Self::Rejected && !self.never_reached_backend()
    }

    /// Whether no part of the attempt reached the backend.
    pub(crate) fn never_reached_backend(self) -> bool {
        self == Self::Misdirected || self.never_reached_server()
    }

    /// Whether no part of the attempt reached any server. The next attempt then does not count as a repeat.
    pub(crate) fn never_reached_server(self) -> bool {
        matches!(self, Self::ConnectFailed | Self::NotSent)
    }
}

/// The end of one attempt, reported by the embedder.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// The attempt's number, from 0 in the order of the sends.
    pub attempt: u32,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Time since the send, in nanoseconds.
    pub elapsed: Nanos,
    /// The request has received its final answer, by this attempt or earlier.
    pub request_ended: bool,
    /// The backend's load report; empty if the response had none.
    pub report: LoadReport,
}
