//! The outputs of the state machine.

use super::ids::{BackendId, RequestId};
use super::time::Nanos;

/// An output, to be carried out by the embedder.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The backend.
        backend: BackendId,
        /// The attempt's timeout in nanoseconds; `None` for as long as the client waits.
        timeout: Option<Nanos>,
    },
    /// Final answer: rejected. The client may safely retry.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client is asked to wait first, in nanoseconds; 0 for no such advice.
        retry_after: Nanos,
    },
    /// Final answer: failed. The request may have taken effect.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt's number, from 0 in the order of the sends.
        attempt: u32,
    },
    /// Probe a backend for its load report.
    Probe {
        /// The backend.
        backend: BackendId,
    },
    /// Subscribe to all changes of the list from now on.
    Watch,
    /// Fetch the full list once.
    Fetch,
    /// Deliver [`Event::Timer`](super::Event::Timer) after this time.
    Timer {
        /// Time from now, in nanoseconds.
        after: Nanos,
        /// Comes back in the event.
        token: u64,
    },
    /// A line for the operators' log.
    Log(String),
}
