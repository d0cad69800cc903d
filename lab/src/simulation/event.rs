//! The events of a simulation, and the queue that orders them.

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
    /// Attempts of a request are numbered from 0.
    pub(super) number: u32,
}

/// One process of a node: what is addressed to an earlier one is dropped.
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

    /// Whether it is a response of the server, which a partition or the end of the server's process prevents.
    pub(super) fn is_response(self) -> bool {
        matches!(self, Self::Served | Self::Error | Self::Rejected)
    }
}

/// How a node asks for the list of servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListRequest {
    /// The full list, and notifications of all changes from then on.
    Watch,
    /// The full list alone.
    Fetch,
}

/// Whether a fault starts or ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FaultPhase {
    Start,
    End,
}

/// What happens next in a simulation.
pub(super) enum SimulationEvent {
    /// The next open-loop client arrives.
    ClientArrives,
    /// A closed-loop client of a zone sends its next request.
    ClosedClientReturns { zone: u32 },
    /// A client sends its request, or sends it again.
    ClientSends { client: u64 },
    /// A client disconnects before its timeout.
    ClientDisconnects(RequestKey),
    /// No response to a request can be in time any more.
    RequestExpires(RequestKey),
    /// An attempt reaches its server.
    AttemptArrives(AttemptKey),
    /// An attempt ends at its node.
    AttemptEnds { attempt: AttemptKey, result: ExchangeResult },
    /// A server's core is done with a job.
    JobFinishes { server: u32, job: u64 },
    /// A server learns that nobody awaits a job's response.
    JobCancelled { server: u32, job: u64 },
    /// The oldest idle connection to a server expires.
    IdleConnectionExpires { node: usize, server: u32 },
    /// A probe reaches its server.
    ProbeArrives { probe: u64 },
    /// A probe ends at its node.
    ProbeEnds { probe: u64, result: ExchangeResult, utilisation: Option<f64> },
    /// A node's timer fires.
    TimerFired { process: NodeProcess, token: u64 },
    /// A node gets a full list, given by its index among the lists that were made.
    FullListDelivered { process: NodeProcess, list: usize, request: ListRequest },
    /// A node's call for the list fails.
    ListCallFails(NodeProcess),
    /// A node is notified of a change of one server.
    EndpointUpdate { process: NodeProcess, server: u32, state: BackendState, started: Option<Nanos> },
    /// The full list is sent to all watching nodes again.
    FullListIntervalElapsed,
    /// A fault, given by its index in the world, starts or ends.
    FaultChanges { fault: usize, phase: FaultPhase },
}

struct ScheduledEvent {
    at: Nanos,
    /// Order of scheduling, which decides between events of one instant.
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

/// The scheduled events, by time and, within one instant, by the order in which they were scheduled.
#[derive(Default)]
pub(super) struct EventQueue {
    events: BinaryHeap<Reverse<ScheduledEvent>>,
    scheduled: u64,
}

impl EventQueue {
    pub(super) fn schedule(&mut self, at: Nanos, event: SimulationEvent) {
        self.scheduled += 1;
        self.events.push(Reverse(ScheduledEvent { at, sequence: self.scheduled, event }));
    }

    /// Takes the next event, with its time.
    pub(super) fn pop(&mut self) -> Option<(Nanos, SimulationEvent)> {
        self.events.pop().map(|Reverse(scheduled)| (scheduled.at, scheduled.event))
    }
}
