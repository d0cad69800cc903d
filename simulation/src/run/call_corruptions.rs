//! Injected bugs of coordination: alters a call before a node receives it, or its outcome before the caller receives it.

use ivyhatch_control::RequestId;
use ivyhatch_protocol::coordination::{Call, CallOutcome, NotStarted, Refusal, Reply};

use super::Simulation;
use crate::injected_bugs::InjectedBug;

impl Simulation<'_> {
    /// Returns the call as the injected bug alters it; unchanged if the bug does not concern this call.
    pub(super) fn corrupt_call(&self, mut call: Call) -> Call {
        match (self.injected_bug, &mut call) {
            (
                Some(InjectedBug::FreesLocksEarly),
                Call::AcquireLock { hold_ms, .. } | Call::RenewLock { hold_ms, .. },
            ) => *hold_ms = (*hold_ms / 4).max(1),
            (
                Some(InjectedBug::TakesHoldersForOne),
                Call::AcquireLock { holder, .. }
                | Call::RenewLock { holder, .. }
                | Call::ReleaseLock { holder, .. },
            ) => *holder = "any".to_owned(),
            (Some(InjectedBug::IgnoresExpectedRevision), Call::PutCell { expected_revision, .. }) => {
                *expected_revision = None;
            }
            (Some(InjectedBug::PutsToOtherCell), Call::PutCell { name, value, .. })
                if value.ends_with('7') =>
            {
                *name = "g.a".to_owned();
            }
            (Some(InjectedBug::WatchesFromLater), Call::WatchGroup { after, .. }) if *after > 3 => {
                *after += 1
            }
            _ => {}
        }
        call
    }

    /// Returns the outcome as the injected bug alters it; unchanged if the bug does not concern this call, or the caller has timed out.
    pub(super) fn corrupt_outcome(&mut self, id: RequestId, outcome: CallOutcome) -> CallOutcome {
        let Some(injected_bug) = self.injected_bug else { return outcome };
        let Some(call) = self.call_in_flight(id).cloned() else { return outcome };
        match (injected_bug, outcome) {
            (InjectedBug::DeniesUnknownCalls, CallOutcome::Unknown) => {
                CallOutcome::NotStarted(NotStarted::NoQuorum)
            }
            (InjectedBug::DeniesPuts, CallOutcome::Applied(Reply::CellPut { revision }))
                if revision % 16 == 0 =>
            {
                CallOutcome::Refused(Refusal::RevisionConflict { revision })
            }
            (InjectedBug::RenewsLostLocks, CallOutcome::Refused(Refusal::LockLost)) => {
                CallOutcome::Applied(Reply::LockRenewed)
            }
            (InjectedBug::GrantsHeldLocks, CallOutcome::Refused(Refusal::LockHeld)) => {
                CallOutcome::Applied(Reply::LockAcquired { fence: u64::MAX })
            }
            (InjectedBug::RepeatsFences, CallOutcome::Applied(Reply::LockAcquired { fence })) => {
                CallOutcome::Applied(Reply::LockAcquired { fence: fence & !7 })
            }
            (InjectedBug::RepeatsNumbers, CallOutcome::Applied(Reply::Number { value })) => {
                CallOutcome::Applied(Reply::Number { value: value & !1 })
            }
            (InjectedBug::SkipsEvents, CallOutcome::Applied(Reply::Events { mut events, revision })) => {
                if events.len() > 1 {
                    events.remove(0);
                }
                CallOutcome::Applied(Reply::Events { events, revision })
            }
            (
                InjectedBug::NamesForeignRevisions,
                CallOutcome::Refused(Refusal::RevisionConflict { revision }),
            ) => CallOutcome::Refused(Refusal::RevisionConflict { revision: revision.saturating_sub(1) }),
            (InjectedBug::ReadsFromCache, outcome) => self.cached_read(&call, outcome),
            (_, outcome) => outcome,
        }
    }

    /// The outcome of a read from a stale cache: each cell's cached outcome is refreshed only on every eighth read.
    fn cached_read(&mut self, call: &Call, outcome: CallOutcome) -> CallOutcome {
        let Call::ReadCell { name } = call else { return outcome };
        let (reads, cached) = self.cached_reads.entry(name.clone()).or_insert_with(|| (0, outcome.clone()));
        *reads += 1;
        if *reads % 8 == 0 {
            *cached = outcome;
        }
        cached.clone()
    }
}
