//! Checks of the responses to operators' requests, including responses that are lost on the way.

use ivyhatch_protocol::Nanos;
use ivyhatch_protocol::configuration::Document;
use ivyhatch_protocol::peer::AdminResponse;

use super::{AcknowledgedEvacuation, AcknowledgedRevision, Invariant, Oracle};
use crate::workload::{Operation, OperationKind};

/// An operator's operation, and the state that its responses so far imply.
#[derive(Debug)]
pub(super) struct TrackedOperation {
    pub(super) kind: OperationKind,
    /// When the operation was first sent, or when its last lost response was sent.
    pub(super) started_at: Nanos,
    /// The newest revision that was acknowledged before the operation was first sent; 0 if there was none.
    newest_revision_before: u64,
    pub(super) acknowledged_at: Option<Nanos>,
    /// The operation was acknowledged by a response that was lost.
    acknowledgement_lost: bool,
    pub(super) is_rejected: bool,
    /// The operation has no definite response yet.
    pub(super) is_pending: bool,
}

impl TrackedOperation {
    /// Whether a node has acknowledged the operation, even if the operator did not receive the response.
    pub(super) fn is_acknowledged(&self) -> bool {
        self.acknowledged_at.is_some() || self.acknowledgement_lost
    }
}

/// A configuration change of an acknowledged operation.
#[derive(Clone, Copy)]
struct Change {
    base: u64,
    revision: u64,
    valid: bool,
}

impl Oracle {
    /// The number of configuration changes and evacuations whose acknowledgement was received.
    pub fn acknowledged_changes(&self) -> u64 {
        let changes = self
            .operations
            .values()
            .filter(|operation| operation.acknowledged_at.is_some() && operation.kind != OperationKind::Read);
        changes.count() as u64
    }

    /// Records that an operator sends an operation for the first time. `number` is its index in the plan.
    pub fn operation_started(&mut self, number: usize, operation: &Operation) {
        match operation.kind {
            OperationKind::SetConfiguration { revision, .. } => {
                self.operation_by_revision.insert(revision, number);
            }
            // Until the response arrives, the old and the new state of the zone are both correct.
            OperationKind::Evacuate { zone, active } => {
                if self.evacuations.get(&zone).is_some_and(|acknowledged| acknowledged.active != active) {
                    self.evacuations.remove(&zone);
                }
            }
            OperationKind::Read => {}
        }
        let tracked = TrackedOperation {
            kind: operation.kind.clone(),
            started_at: self.now,
            newest_revision_before: self.newest_revision.map_or(0, |newest| newest.revision),
            acknowledged_at: None,
            acknowledgement_lost: false,
            is_rejected: false,
            is_pending: true,
        };
        self.operations.insert(number, tracked);
    }

    /// Checks a response that an operator receives. Returns whether the response is definite; if not, the operator must retry.
    pub fn response_received(&mut self, number: usize, response: &AdminResponse) -> bool {
        let Some(operation) = self.operations.get_mut(&number) else { return true };
        if matches!(response, AdminResponse::Unavailable(_)) {
            return false;
        }
        operation.is_pending = false;
        let (kind, newest_revision_before) = (operation.kind.clone(), operation.newest_revision_before);
        match (kind, response) {
            (
                OperationKind::SetConfiguration { base, revision, valid, .. },
                AdminResponse::Applied { .. },
            ) => {
                operation.acknowledged_at = Some(self.now);
                self.configuration_acknowledged(number, Change { base, revision, valid });
            }
            (OperationKind::Evacuate { zone, active }, AdminResponse::Applied { .. }) => {
                operation.acknowledged_at = Some(self.now);
                let acknowledged = AcknowledgedEvacuation { active, acknowledged_at: self.now };
                self.evacuations.insert(zone, acknowledged);
            }
            (
                OperationKind::SetConfiguration { revision, .. },
                AdminResponse::Conflict { .. } | AdminResponse::Invalid(_),
            ) => self.configuration_rejected(number, revision),
            (OperationKind::Read, AdminResponse::Document(text)) => {
                let read = Document::parse(text.as_bytes());
                let revision = read.map_or(0, |document| document.revision);
                self.check_read(revision, newest_revision_before);
            }
            (OperationKind::Read, AdminResponse::NotConfigured) => self.check_read(0, newest_revision_before),
            (kind, response) => {
                self.report(
                    Invariant::ContentIntegrity,
                    format!("{kind:?} received an unexpected response: {response:?}"),
                );
            }
        }
        true
    }

    /// Records that a response is lost on its way to the operator. The operator will retry, so the operation's deadline restarts.
    pub fn response_lost(&mut self, number: usize, response: &AdminResponse) {
        let Some(operation) = self.operations.get_mut(&number) else { return };
        operation.started_at = self.now;
        if let (
            OperationKind::SetConfiguration { base, revision, valid, .. },
            AdminResponse::Applied { .. },
        ) = (&operation.kind, response)
        {
            let change = Change { base: *base, revision: *revision, valid: *valid };
            operation.acknowledgement_lost = true;
            self.check_acknowledged(number, change);
        }
    }

    fn configuration_acknowledged(&mut self, number: usize, change: Change) {
        self.check_acknowledged(number, change);
        if self.newest_revision.is_none_or(|newest| newest.revision < change.revision) {
            let (revision, acknowledged_at) = (change.revision, self.now);
            self.newest_revision = Some(AcknowledgedRevision { revision, acknowledged_at });
        }
    }

    /// Checks [`Invariant::InvalidNeverApplied`] and [`Invariant::CompareAndSet`], invariant 8 of `control-safety.md`, for an
    /// acknowledged change.
    fn check_acknowledged(&mut self, number: usize, change: Change) {
        let Change { base, revision, valid } = change;
        if !valid {
            self.report(
                Invariant::InvalidNeverApplied,
                format!("revision {revision} is invalid but was acknowledged"),
            );
        }
        let competes = |(other, operation): (&usize, &TrackedOperation)| {
            let same_base = matches!(
                operation.kind,
                OperationKind::SetConfiguration { base: other_base, .. } if other_base == base
            );
            *other != number && operation.is_acknowledged() && same_base
        };
        if self.operations.iter().any(competes) {
            self.report(
                Invariant::CompareAndSet,
                format!(
                    "two changes with base revision {base} were acknowledged, one of them revision {revision}"
                ),
            );
        }
    }

    /// Checks [`Invariant::IdempotentRetry`] and [`Invariant::RejectedNeverApplied`], invariant 8 of `control-safety.md`, for a
    /// rejected change.
    fn configuration_rejected(&mut self, number: usize, revision: u64) {
        let Some(operation) = self.operations.get_mut(&number) else { return };
        operation.is_rejected = true;
        if operation.acknowledgement_lost {
            self.report(
                Invariant::IdempotentRetry,
                format!("revision {revision} was applied, but its retry was rejected"),
            );
        }
        if self.revision_by_sequence.values().any(|applied| *applied == revision) {
            self.report(
                Invariant::RejectedNeverApplied,
                format!("revision {revision} is in effect but was rejected"),
            );
        }
    }

    /// Checks [`Invariant::LinearizableRead`], invariant 7 of `control-safety.md`.
    fn check_read(&mut self, revision: u64, newest_revision_before: u64) {
        if revision < newest_revision_before {
            self.report(
                Invariant::LinearizableRead,
                format!("read revision {revision} after revision {newest_revision_before} was acknowledged"),
            );
        }
    }
}
