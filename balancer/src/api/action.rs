//! The outputs of the state machine.

use super::ids::{BackendId, RequestId};
use super::time::Nanos;

/// An output, which the embedder carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request to send.
        request: RequestId,
        /// The backend to send the request to.
        backend: BackendId,
        /// The timeout of the attempt in nanoseconds; `None` if the attempt may last as long as the client
        /// waits.
        timeout: Option<Nanos>,
    },
    /// Final answer: the request is rejected. The client may safely retry.
    Reject {
        /// The request to reject.
        request: RequestId,
        /// How long the client is to wait before a retry, in nanoseconds; 0 to give no such advice.
        retry_after: Nanos,
    },
    /// Final answer: the request failed. It may have taken effect.
    Fail {
        /// The request that failed.
        request: RequestId,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request whose attempt is cancelled.
        request: RequestId,
        /// The attempt's number, from 0 in the order of the sends.
        attempt: u32,
    },
    /// Probe a backend for its load report.
    Probe {
        /// The backend to probe.
        backend: BackendId,
    },
    /// Subscribe to all changes of the list of backends from now on.
    Watch,
    /// Fetch the full list of backends once.
    Fetch,
    /// Deliver [`Event::Timer`](super::Event::Timer) after the given time.
    Timer {
        /// Time from now, in nanoseconds.
        after: Nanos,
        /// Returned in the event.
        token: u64,
    },
    /// A line for the operators' log.
    Log(String),
}
