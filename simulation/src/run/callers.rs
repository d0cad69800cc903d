//! Applications' callers, each with at most one call in flight. By its kind a caller acquires, renews and releases locks or lets them
//! expire, draws sequence numbers, puts and reads cells, or watches a group.

use std::collections::BTreeMap;

use ivyhatch_control::{Input, RequestId};
use ivyhatch_protocol::coordination::{Call, CallOutcome, NotStarted, Refusal, Reply};
use ivyhatch_protocol::{MILLISECOND, Nanos, SECOND};

use super::Simulation;
use super::event::Event;
use crate::oracle::{CallAttempt, Invariant};

/// A call without an outcome times out after this, plus the wait time of a watch; the caller then tries a random node.
const CALL_TIMEOUT: Nanos = SECOND;
/// A put without a definite outcome is retried with the same value for this long after its first attempt.
const PUT_RETRY_PERIOD: Nanos = 6 * SECOND;
/// The earliest start of a caller's first call, after the start of a run.
const FIRST_CALL_MS: u64 = 3_000;
/// The longest pause of a caller between two calls, in milliseconds.
const LONGEST_PAUSE_MS: u64 = 300;
/// A call must have a definite outcome this long after its first attempt, or after the last fault if that is later.
const CALL_DEADLINE: Nanos = 8 * SECOND;
/// No new call starts later than this before the end of a run.
const LAST_CALL_BEFORE_END: Nanos = 2 * SECOND;
const LOCK_COUNT: u64 = 2;
const NUMBER_COUNT: u64 = 2;
const CELLS: [&str; 4] = ["g.a", "g.b", "h.a", "h.b"];
const GROUPS: [&str; 2] = ["g.", "h."];
const HOLDS_MS: [u64; 4] = [150, 500, 1_200, 3_000];

/// The kind of calls that a caller makes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallerKind {
    Locks,
    Numbers,
    Cells,
    Watch,
}

/// The kinds are assigned to the callers in this order, repeatedly.
const KINDS: [CallerKind; 5] =
    [CallerKind::Locks, CallerKind::Cells, CallerKind::Locks, CallerKind::Numbers, CallerKind::Watch];

/// A lock that a caller holds, until its lease ends at `ends_at`.
#[derive(Clone, Debug)]
struct HeldLock {
    name: String,
    fence: u64,
    ends_at: Nanos,
}

/// The attempt that a caller waits for.
#[derive(Clone, Debug)]
struct InFlight {
    id: RequestId,
    attempt: CallAttempt,
}

#[derive(Clone, Debug)]
struct Caller {
    kind: CallerKind,
    in_flight: Option<InFlight>,
    held: Option<HeldLock>,
    /// The last revision of each cell that the caller received.
    revisions: BTreeMap<&'static str, u64>,
    /// The revision after which the caller's next watch starts; 0 to start anew.
    watched_revision: u64,
    puts: u64,
}

/// All callers, indexed by their number.
#[derive(Debug, Default)]
pub(super) struct Callers(Vec<Caller>);

impl Callers {
    pub(super) fn new(count: usize) -> Self {
        let caller = |number: usize| Caller {
            kind: KINDS[number % KINDS.len()],
            in_flight: None,
            held: None,
            revisions: BTreeMap::new(),
            watched_revision: 0,
            puts: 0,
        };
        Self((0..count).map(caller).collect())
    }

    /// The caller that waits for the attempt with this id.
    fn of_call(&self, id: RequestId) -> Option<usize> {
        let is_its_caller = |caller: &Caller| caller.in_flight.as_ref().is_some_and(|call| call.id == id);
        self.0.iter().position(is_its_caller)
    }
}

impl Simulation<'_> {
    pub(super) fn schedule_callers(&mut self) {
        for caller in 0..self.plan.callers {
            let delay = (FIRST_CALL_MS + self.random_below(500)) * MILLISECOND;
            self.schedule_after(delay, Event::CallDue(caller));
        }
    }

    pub(super) fn call_due(&mut self, caller: usize) {
        let end = self.plan.end_ms() * MILLISECOND;
        if self.now + LAST_CALL_BEFORE_END > end || self.callers.0[caller].in_flight.is_some() {
            return;
        }
        let call = self.draw_call(caller);
        let now = self.now;
        self.send_call(CallAttempt { caller, call, sent_at: now, first_sent_at: now });
    }

    fn draw_call(&mut self, caller: usize) -> Call {
        match self.callers.0[caller].kind {
            CallerKind::Locks => self.draw_lock_call(caller),
            CallerKind::Numbers => Call::NextNumber { name: format!("n{}", self.random_below(NUMBER_COUNT)) },
            CallerKind::Cells => self.draw_cell_call(caller),
            CallerKind::Watch => {
                let group = GROUPS[caller / KINDS.len() % GROUPS.len()].to_owned();
                let after = self.callers.0[caller].watched_revision;
                Call::WatchGroup { group, after, wait_ms: 300 + self.random_below(900) }
            }
        }
    }

    fn draw_lock_call(&mut self, caller: usize) -> Call {
        let holder = format!("a{caller}");
        let hold_ms = HOLDS_MS[self.random_below(HOLDS_MS.len() as u64) as usize];
        let now = self.now;
        self.callers.0[caller].held.take_if(|held| held.ends_at <= now);
        let draw = self.random_below(10);
        let Some(HeldLock { name, fence, .. }) = self.callers.0[caller].held.clone() else {
            let name = format!("l{}", self.random_below(LOCK_COUNT));
            return Call::AcquireLock { name, holder, hold_ms };
        };
        match draw {
            0..4 => Call::RenewLock { name, holder, fence, hold_ms },
            4..8 => {
                self.callers.0[caller].held = None;
                Call::ReleaseLock { name, holder, fence }
            }
            // Acquires the lock that the caller already holds.
            _ => Call::AcquireLock { name, holder, hold_ms },
        }
    }

    fn draw_cell_call(&mut self, caller: usize) -> Call {
        let cell = CELLS[self.random_below(CELLS.len() as u64) as usize];
        let name = cell.to_owned();
        if self.random_below(100) < 35 {
            return Call::ReadCell { name };
        }
        let expects = self.random_below(100) < 70;
        let this = &mut self.callers.0[caller];
        this.puts += 1;
        let value = format!("{caller}-{}", this.puts);
        let known = this.revisions.get(cell).copied().unwrap_or_default();
        Call::PutCell { name, value, expected_revision: expects.then_some(known) }
    }

    fn send_call(&mut self, attempt: CallAttempt) {
        let id = self.operators.next_id();
        let slot = self.random_below(self.plan.members as u64) as usize;
        let machine = self.slots[slot];
        self.record(|| format!("caller {} sends {id} to {machine}: {:?}", attempt.caller, attempt.call));
        self.oracle.call_sent(&attempt);
        let delay = (1 + self.random_below(10)) * MILLISECOND;
        let limit = CALL_TIMEOUT + attempt.call.wait_ms() * MILLISECOND;
        let call = attempt.call.clone();
        let caller = attempt.caller;
        self.callers.0[caller].in_flight = Some(InFlight { id, attempt });
        self.schedule_after(delay, Event::CallArrives { id, machine, call });
        self.schedule_after(limit, Event::CallTimeout(id));
    }

    pub(super) fn call_arrives(&mut self, id: RequestId, machine: usize, call: Call) {
        if !self.machines[machine].is_running() {
            // The connection is refused.
            let delay = (1 + self.random_below(10)) * MILLISECOND;
            let outcome = CallOutcome::NotStarted(NotStarted::NoQuorum);
            return self.schedule_after(delay, Event::OutcomeArrives { id, outcome });
        }
        // A caller that has timed out has closed its connection to a suspended process, so the process does not start the call when it
        // resumes. The test `put_of_a_disconnected_caller_is_not_executed_by_a_resumed_node` verifies this over sockets.
        if self.call_in_flight(id).is_none() {
            return;
        }
        let deferred = || Event::CallArrives { id, machine, call: call.clone() };
        if !self.accepts_event(machine, None, deferred) {
            return;
        }
        let call = self.corrupt_call(call);
        self.input_to_node(machine, Input::Call(id, call));
    }

    /// Sends the outcome of a call to its caller, unless the response is lost. The caller may have timed out meanwhile.
    pub(super) fn send_outcome(&mut self, machine: usize, id: RequestId, outcome: CallOutcome) {
        let outcome = self.corrupt_outcome(id, outcome);
        self.record(|| format!("node {machine} ends {id}: {outcome:?}"));
        if self.draws_lost_response() {
            return;
        }
        let delay = (1 + self.random_below(10)) * MILLISECOND;
        self.schedule_after(delay, Event::OutcomeArrives { id, outcome });
    }

    /// The call with this id, if its caller still waits for it.
    pub(super) fn call_in_flight(&self, id: RequestId) -> Option<&Call> {
        let caller = self.callers.of_call(id)?;
        self.callers.0[caller].in_flight.as_ref().map(|call| &call.attempt.call)
    }

    pub(super) fn outcome_arrives(&mut self, id: RequestId, outcome: &CallOutcome) {
        let Some(caller) = self.callers.of_call(id) else { return };
        let Some(InFlight { attempt, .. }) = self.callers.0[caller].in_flight.take() else { return };
        self.record(|| format!("caller {caller} receives for {id}: {outcome:?}"));
        self.oracle.call_ended(&attempt, outcome);
        match outcome {
            CallOutcome::Unknown | CallOutcome::NotStarted(_) => self.retry_call(attempt),
            CallOutcome::Applied(reply) => {
                self.apply_reply(caller, &attempt, reply);
                self.pause(caller);
            }
            CallOutcome::Refused(refusal) => {
                self.apply_refusal(caller, &attempt, *refusal);
                self.pause(caller);
            }
        }
    }

    pub(super) fn call_timed_out(&mut self, id: RequestId) {
        let Some(caller) = self.callers.of_call(id) else { return };
        let Some(InFlight { attempt, .. }) = self.callers.0[caller].in_flight.take() else { return };
        self.retry_call(attempt);
    }

    /// Handles a call without a definite outcome. Schedules an unchanged retry, or pauses the caller, which then draws a new call: after
    /// lock calls other than a release, after a put whose retry period is over, and at random after reads, number draws and watches.
    fn retry_call(&mut self, attempt: CallAttempt) {
        let caller = attempt.caller;
        let faults_end = self.plan.faults_end_ms * MILLISECOND;
        if self.now > attempt.first_sent_at.max(faults_end) + CALL_DEADLINE {
            let text = format!("{:?} has had no definite outcome since the faults ended", attempt.call);
            self.oracle.report(Invariant::CallDeadline, text);
        }
        if let Call::AcquireLock { .. } | Call::RenewLock { .. } = attempt.call {
            // Without a definite outcome the caller does not know whether this call gave it the lock.
            return self.pause(caller);
        }
        let is_put = matches!(attempt.call, Call::PutCell { .. });
        if is_put && self.now > attempt.first_sent_at + PUT_RETRY_PERIOD {
            return self.pause(caller);
        }
        if let Call::ReadCell { .. } | Call::NextNumber { .. } | Call::WatchGroup { .. } = attempt.call
            && self.random_below(4) == 0
        {
            return self.pause(caller);
        }
        let delay = (5 + self.random_below(60)) * MILLISECOND;
        self.schedule_after(delay, Event::CallRetried(attempt));
    }

    pub(super) fn call_retried(&mut self, attempt: CallAttempt) {
        if self.callers.0[attempt.caller].in_flight.is_none() {
            let now = self.now;
            self.send_call(CallAttempt { sent_at: now, ..attempt });
        }
    }

    fn pause(&mut self, caller: usize) {
        let is_watcher = self.callers.0[caller].kind == CallerKind::Watch;
        let longest_ms = if is_watcher { 5 } else { LONGEST_PAUSE_MS };
        let delay = (1 + self.random_below(longest_ms)) * MILLISECOND;
        self.schedule_after(delay, Event::CallDue(caller));
    }

    fn apply_reply(&mut self, caller: usize, attempt: &CallAttempt, reply: &Reply) {
        let now = self.now;
        let this = &mut self.callers.0[caller];
        match (&attempt.call, reply) {
            (Call::AcquireLock { name, hold_ms, .. }, Reply::LockAcquired { fence }) => {
                let ends_at = attempt.sent_at + hold_ms * MILLISECOND;
                let held = HeldLock { name: name.clone(), fence: *fence, ends_at };
                this.held = Some(held).filter(|held| now < held.ends_at);
            }
            (Call::RenewLock { hold_ms, .. }, Reply::LockRenewed) => {
                let ends_at = attempt.sent_at + hold_ms * MILLISECOND;
                // A renewal that arrives after the lease has expired has no effect.
                this.held.take_if(|held| held.ends_at <= now);
                if let Some(held) = &mut this.held {
                    held.ends_at = held.ends_at.max(ends_at);
                }
            }
            (Call::PutCell { name, .. }, Reply::CellPut { revision })
            | (Call::ReadCell { name }, Reply::Cell { revision, .. }) => this.set_known(name, *revision),
            (Call::WatchGroup { .. }, Reply::Events { revision, .. }) => this.watched_revision = *revision,
            _ => {}
        }
    }

    fn apply_refusal(&mut self, caller: usize, attempt: &CallAttempt, refusal: Refusal) {
        let this = &mut self.callers.0[caller];
        match (&attempt.call, refusal) {
            (_, Refusal::LockLost | Refusal::LockHeld) => this.held = None,
            (Call::PutCell { name, .. }, Refusal::RevisionConflict { revision }) => {
                this.set_known(name, revision);
            }
            (Call::WatchGroup { .. }, Refusal::HistoryExpired { .. }) => this.watched_revision = 0,
            _ => {}
        }
    }
}

impl Caller {
    fn set_known(&mut self, name: &str, revision: u64) {
        if let Some(cell) = CELLS.iter().find(|cell| **cell == name) {
            self.revisions.insert(cell, revision);
        }
    }
}
