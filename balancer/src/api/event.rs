//! The inputs of the state machine.

use super::attempt::{AttemptEnd, LoadReport, Outcome};
use super::ids::{BackendId, ClassId, RequestId};
use super::membership::{ListScope, Member};
use super::time::Nanos;

/// A request that has come in.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Its identifier.
    pub request: RequestId,
    /// Its class.
    pub class: ClassId,
    /// The work to expect, in nanoseconds on a standard core.
    pub expected_work: Option<Nanos>,
    /// The client marks it as a retry.
    pub is_retry: bool,
    /// Its tenant: a position in [`Settings::tenant_quotas`](super::Settings::tenant_quotas).
    pub tenant: Option<u32>,
    /// When the client gives up on it.
    pub not_after: Nanos,
}

/// An input.
#[derive(Clone, Debug)]
pub enum Event {
    /// The node starts. Must come first, once.
    Start,
    /// Discovery delivered members.
    Membership {
        /// Which members it names.
        scope: ListScope,
        /// The members.
        members: Vec<Member>,
    },
    /// A call to discovery failed, or its watch broke.
    DiscoveryFailed,
    /// A request came in and is owed one final answer.
    Request(Arrival),
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// The first part of a streamed response has come.
    StreamStarted {
        /// The request.
        request: RequestId,
    },
    /// A streamed response broke off and may be resumed at another backend. Its attempt's end follows.
    StreamInterrupted {
        /// The request.
        request: RequestId,
        /// The latency target of the resumption.
        target_at: Nanos,
    },
    /// A probe ended.
    ProbeEnded {
        /// The backend.
        backend: BackendId,
        /// How it ended.
        outcome: Outcome,
        /// Time since the probe was sent, in nanoseconds.
        elapsed: Nanos,
        /// The backend's load report; empty where none came.
        report: LoadReport,
    },
    /// The client disconnected; no answer is owed any more.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// A timer came due.
    Timer {
        /// As given in [`Action::Timer`](super::Action::Timer).
        token: u64,
    },
}
