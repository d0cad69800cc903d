//! The oracle: checks the invariants of the control plane from outside, by the responses that operators receive and the state that
//! nodes and routers have in effect. The oracle does not use the nodes' consensus state. The first violation ends a run.

mod coordination;
mod deadlines;
mod final_state;
mod invariant;
mod replication;
mod responses;

use std::collections::BTreeMap;

use ivyhatch_protocol::coordination::CallOutcome;
use ivyhatch_protocol::ids::PartitionId;
use ivyhatch_protocol::peer::Membership;
use ivyhatch_protocol::{MILLISECOND, Nanos};

pub use coordination::{CallAttempt, CheckFailure, CoordinationOracle};
pub use deadlines::RouterView;
pub use final_state::{AppliedState, FinalState, ZoneState};
pub use invariant::{Invariant, Violation};
pub use replication::{ProcessId, ServerListVersion};
use responses::TrackedOperation;

/// The newest acknowledged revision.
#[derive(Clone, Copy, Debug)]
struct AcknowledgedRevision {
    revision: u64,
    acknowledged_at: Nanos,
}

/// The newest acknowledged change of a zone's evacuation: its start or its end.
#[derive(Clone, Copy, Debug)]
struct AcknowledgedEvacuation {
    active: bool,
    acknowledged_at: Nanos,
}

/// The oracle, with the requests sent and the responses and states observed so far.
#[derive(Debug, Default)]
pub struct Oracle {
    now: Nanos,
    operations: BTreeMap<usize, TrackedOperation>,
    /// The number of the operation that sent each revision.
    operation_by_revision: BTreeMap<u64, usize>,
    /// The digest of the value of each sequence number of each partition.
    digests: BTreeMap<(PartitionId, u64), u64>,
    /// The revision committed under each sequence number of the configuration.
    revision_by_sequence: BTreeMap<u64, u64>,
    /// The highest sequence number of each partition that was observed at each process.
    sequences: BTreeMap<(ProcessId, PartitionId), u64>,
    server_lists: BTreeMap<ServerListVersion, u64>,
    memberships: BTreeMap<u64, Membership>,
    newest_revision: Option<AcknowledgedRevision>,
    /// The acknowledged state of each zone; no entry while a request that changes this state is in flight.
    evacuations: BTreeMap<usize, AcknowledgedEvacuation>,
    coordination: CoordinationOracle,
    violation: Option<Violation>,
}

impl Oracle {
    /// An oracle for nodes that keep the history of cells for at least `cell_history`, during which a watch must not expire.
    pub fn new(cell_history: Nanos) -> Self {
        Self { coordination: CoordinationOracle::new(cell_history), ..Self::default() }
    }

    /// Records that an application's caller sends an attempt of a call.
    pub fn call_sent(&mut self, attempt: &CallAttempt) {
        self.coordination.attempt_sent(attempt);
    }

    /// Checks the outcome of an attempt. Call this only while the caller still waits for that attempt.
    pub fn call_ended(&mut self, attempt: &CallAttempt, outcome: &CallOutcome) {
        let checked = self.coordination.outcome_received(self.now, attempt, outcome);
        self.report_failure(checked);
    }

    /// Runs the checks that need the calls of the whole run. Call this at its end.
    pub fn check_calls(&mut self) {
        let checked = self.coordination.check_history();
        self.report_failure(checked);
    }

    fn report_failure(&mut self, checked: Result<(), CheckFailure>) {
        if let Err((invariant, text)) = checked {
            self.report(invariant, text);
        }
    }

    /// The first violation, or `None` so far.
    pub fn violation(&self) -> Option<&Violation> {
        self.violation.as_ref()
    }

    /// Records a violation at the current virtual time. Only the first violation is kept.
    pub fn report(&mut self, invariant: Invariant, description: String) {
        let at_ms = self.now / MILLISECOND;
        self.violation.get_or_insert(Violation { invariant, at_ms, description });
    }

    /// Sets the virtual time, in nanoseconds since the start of the run.
    pub fn advance_to(&mut self, now: Nanos) {
        self.now = now;
    }
}
