//! The inputs of the state machine.

use super::attempt::{AttemptEnd, LoadReport, Outcome};
use super::ids::{BackendId, ClassId, RequestId};
use super::membership::{ListScope, Member};
use super::time::Nanos;

/// A request that has arrived at the node.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// The identifier of the request.
    pub request: RequestId,
    /// The class of the request.
    pub class: ClassId,
    /// The expected work, in nanoseconds on a standard core; `None` if there is no estimate.
    pub expected_work: Option<Nanos>,
    /// The client has marked the request as a retry.
    pub is_retry: bool,
    /// The tenant: a position in [`Settings::tenant_quotas`](super::Settings::tenant_quotas). `None` if the
    /// request has no tenant.
    pub tenant: Option<u32>,
    /// When the client stops waiting.
    pub not_after: Nanos,
}

/// An input, which the embedder passes to [`Balancer::handle`](crate::Balancer::handle).
#[derive(Clone, Debug)]
pub enum Event {
    /// The node starts. Must be the first event, and occur once.
    Start,
    /// Discovery delivered a list of backends, or changes to it.
    Membership {
        /// Which members are listed.
        scope: ListScope,
        /// The listed members.
        members: Vec<Member>,
    },
    /// A call to discovery failed, or the subscription of [`Action::Watch`](super::Action::Watch) was
    /// interrupted.
    DiscoveryFailed,
    /// A request arrived; the balancer must give one final answer to it.
    Request(Arrival),
    /// An attempt ended, whatever its outcome.
    AttemptEnded(AttemptEnd),
    /// The first part of a streamed response has been received.
    StreamStarted {
        /// The request whose response is streamed.
        request: RequestId,
    },
    /// A streamed response was interrupted and may be resumed at another backend. The end of its attempt
    /// follows as [`Event::AttemptEnded`].
    StreamInterrupted {
        /// The request whose response was interrupted.
        request: RequestId,
        /// When the latency target of the resumed response is reached.
        target_at: Nanos,
    },
    /// A probe ended.
    ProbeEnded {
        /// The backend that was probed.
        backend: BackendId,
        /// How the probe ended.
        outcome: Outcome,
        /// Time since the probe was sent, in nanoseconds.
        elapsed: Nanos,
        /// The backend's load report; empty if the reply had none.
        report: LoadReport,
    },
    /// The client disconnected; the request needs no answer any more.
    ClientDisconnected {
        /// The request whose client disconnected.
        request: RequestId,
    },
    /// A timer came due.
    Timer {
        /// The token given in [`Action::Timer`](super::Action::Timer).
        token: u64,
    },
}
