//! The oracle: checks the invariants of the control plane from outside, by what operators receive and what nodes and routers have
//! in effect. It knows nothing of how the nodes decide. The first violation ends a run.

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

/// The newest acknowledged evacuation of a zone, or its end.
#[derive(Clone, Copy, Debug)]
struct AcknowledgedEvacuation {
    active: bool,
    acknowledged_at: Nanos,
}

/// The state of the oracle: what was sent, acknowledged and observed so far.
#[derive(Debug, Default)]
pub struct Oracle {
    now: Nanos,
    operations: BTreeMap<usize, TrackedOperation>,
    /// The operation that sent each revision.
    operation_by_revision: BTreeMap<u64, usize>,
    /// The digest of the value of each sequence number of each partition.
    digests: BTreeMap<(PartitionId, u64), u64>,
    /// The revision that each sequence number of the configuration stands for.
    revision_by_sequence: BTreeMap<u64, u64>,
    /// The newest sequence number of each partition that each process has had.
    sequences: BTreeMap<(ProcessId, PartitionId), u64>,
    server_lists: BTreeMap<ServerListVersion, u64>,
    memberships: BTreeMap<u64, Membership>,
    newest_revision: Option<AcknowledgedRevision>,
    /// The acknowledged state of each zone; none while a request that changes it is in flight.
    evacuations: BTreeMap<usize, AcknowledgedEvacuation>,
    coordination: CoordinationOracle,
    violation: Option<Violation>,
}

impl Oracle {
    /// An oracle for nodes that keep the history of watches for a span.
    pub fn new(cell_history: Nanos) -> Self {
        Self { coordination: CoordinationOracle::new(cell_history), ..Self::default() }
    }

    /// A caller sends a try of a call.
    pub fn call_sent(&mut self, sent: &CallAttempt) {
        self.coordination.attempt_sent(sent);
    }

    /// A caller receives the outcome of a try that it still waits for.
    pub fn call_ended(&mut self, ended: &CallAttempt, outcome: &CallOutcome) {
        let checked = self.coordination.outcome_received(self.now, ended, outcome);
        self.report_failure(checked);
    }

    /// Checks the calls of a whole run.
    pub fn check_calls(&mut self) {
        let checked = self.coordination.check_history();
        self.report_failure(checked);
    }

    fn report_failure(&mut self, checked: Result<(), CheckFailure>) {
        if let Err((invariant, text)) = checked {
            self.report(invariant, text);
        }
    }

    /// The first violation, if any.
    pub fn violation(&self) -> Option<&Violation> {
        self.violation.as_ref()
    }

    /// Records a violation. Later ones are dropped.
    pub fn report(&mut self, invariant: Invariant, description: String) {
        let at_ms = self.now / MILLISECOND;
        self.violation.get_or_insert(Violation { invariant, at_ms, description });
    }

    /// Sets the virtual time.
    pub fn advance_to(&mut self, now: Nanos) {
        self.now = now;
    }
}
