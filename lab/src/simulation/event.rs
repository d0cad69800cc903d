//! The events of a simulation, and the event queue.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

use ivyhatch_balancer::{BackendState, Outcome};

use crate::time::Nanos;

/// A request at a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct RequestKey {
    pub(super) node: usize,
    pub(super) id: u64,
}

/// An attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AttemptKey {
    pub(super) request: RequestKey,
    /// Number of the attempt within the request, from 0.
    pub(super) number: u32,
}

/// One process of a node. Events that are addressed to an earlier process of the node are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct NodeProcess {
    pub(super) node: usize,
    pub(super) incarnation: u32,
}

/// How an attempt or a probe ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ExchangeResult {
    Served,
    Error,
    Rejected,
    ConnectFailed,
    TimedOut,
    Cancelled,
    Reset,
}

impl ExchangeResult {
    pub(super) fn outcome(self) -> Outcome {
        match self {
            Self::Served => Outcome::Served,
            Self::Error => Outcome::Error,
            Self::Rejected => Outcome::Rejected,
            Self::ConnectFailed => Outcome::ConnectFailed,
            Self::TimedOut => Outcome::TimedOut,
            Self::Cancelled => Outcome::Cancelled,
            Self::Reset => Outcome::Reset,
        }
    }

    /// Whether the attempt or probe ends with a server's response, which is lost if the network is partitioned or the
    /// server's process ends.
    pub(super) fn is_response(self) -> bool {
        matches!(self, Self::Served | Self::Error | Self::Rejected)
    }
}

/// How a node requests the list of servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListRequest {
    /// The full list, and notifications of all changes from then on.
    Watch,
    /// The full list only.
    Fetch,
}

/// The change of a fault: its start or its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FaultPhase {
    Start,
    End,
}

/// An event of a simulation.
pub(super) enum SimulationEvent {
    /// The next open-loop client arrives.
    ClientArrives,
    /// A closed-loop client of a zone sends its next request.
    ClosedClientReturns { zone: u32 },
    /// A client sends its request, or retries it.
    ClientSends { client: u64 },
    /// A client disconnects before its timeout.
    ClientDisconnects(RequestKey),
    /// No response to a request can be in time any more.
    RequestExpires(RequestKey),
    /// An attempt reaches its server.
    AttemptArrives(AttemptKey),
    /// An attempt ends at its node.
    AttemptEnds { attempt: AttemptKey, result: ExchangeResult },
    /// A server's core finishes a job.
    JobFinishes { server: u32, job: u64 },
    /// A server is notified that a job's response is no longer awaited.
    JobCancelled { server: u32, job: u64 },
    /// The oldest idle connection to a server expires.
    IdleConnectionExpires { node: usize, server: u32 },
    /// A probe reaches its server.
    ProbeArrives { probe: u64 },
    /// A probe ends at its node.
    ProbeEnds { probe: u64, result: ExchangeResult, utilisation: Option<f64> },
    /// A node's timer fires.
    TimerFired { process: NodeProcess, token: u64 },
    /// A node receives a full list, given by its index in [`Discovery::lists`](super::state::Discovery::lists).
    FullListDelivered { process: NodeProcess, list: usize, request: ListRequest },
    /// A node's call to the discovery service fails.
    ListCallFails(NodeProcess),
    /// A node is notified of a change of one server.
    EndpointUpdate { process: NodeProcess, server: u32, state: BackendState, started: Option<Nanos> },
    /// The full list is due to be resent to all watching nodes.
    FullListIntervalElapsed,
    /// A fault, given by its index in the world, starts or ends.
    FaultChanges { fault: usize, phase: FaultPhase },
}

struct ScheduledEvent {
    at: Nanos,
    /// Number of the event in the order of scheduling, which orders events with the same time.
    sequence: u64,
    event: SimulationEvent,
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for ScheduledEvent {}

/// The scheduled events, ordered by time and, at equal times, by the order in which they were scheduled.
#[derive(Default)]
pub(super) struct EventQueue {
    events: BinaryHeap<Reverse<ScheduledEvent>>,
    /// Number of events scheduled so far.
    scheduled: u64,
}

impl EventQueue {
    pub(super) fn schedule(&mut self, at: Nanos, event: SimulationEvent) {
        self.scheduled += 1;
        self.events.push(Reverse(ScheduledEvent { at, sequence: self.scheduled, event }));
    }

    /// Removes and returns the next event with its time; `None` if no event is scheduled.
    pub(super) fn pop(&mut self) -> Option<(Nanos, SimulationEvent)> {
        self.events.pop().map(|Reverse(scheduled)| (scheduled.at, scheduled.event))
    }
}
