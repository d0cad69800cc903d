//! Applications' callers: each has one call in flight. Some take locks, renew and release them or let them run out; some take numbers; some
//! put and read cells; some watch a group.

use std::collections::BTreeMap;

use ivyhatch_control::{Input, RequestId};
use ivyhatch_protocol::coordination::{Call, CallOutcome, NotStarted, Refusal, Reply};
use ivyhatch_protocol::{MILLISECOND, Nanos, SECOND};

use super::Simulation;
use super::event::Event;
use crate::oracle::{CallAttempt, Invariant};

/// A caller turns to another node after this long without an answer, beside what a watch waits for.
const CALL_TIMEOUT: Nanos = SECOND;
/// A put without a clear answer is sent again, with the same value, for this long.
const PUT_RETRY_PERIOD: Nanos = 6 * SECOND;
/// Callers begin this long after the start of a run.
const FIRST_CALL_MS: u64 = 3_000;
/// The longest pause of a caller between two calls, in milliseconds.
const LONGEST_PAUSE_MS: u64 = 300;
/// After the last fault calls are answered within this.
const CALL_DEADLINE: Nanos = 8 * SECOND;
/// The last calls of a run begin this long before its end.
const LAST_CALL_BEFORE_END: Nanos = 2 * SECOND;
const LOCK_COUNT: u64 = 2;
const NUMBER_COUNT: u64 = 2;
const CELLS: [&str; 4] = ["g.a", "g.b", "h.a", "h.b"];
const GROUPS: [&str; 2] = ["g.", "h."];
const HOLDS_MS: [u64; 4] = [150, 500, 1_200, 3_000];

/// What a caller does, by its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallerKind {
    Locks,
    Numbers,
    Cells,
    Watch,
}

/// The kinds of callers, in turn.
const KINDS: [CallerKind; 5] =
    [CallerKind::Locks, CallerKind::Cells, CallerKind::Locks, CallerKind::Numbers, CallerKind::Watch];

/// A lock that a caller has.
#[derive(Clone, Debug)]
struct HeldLock {
    name: String,
    fence: u64,
    ends_at: Nanos,
}

/// The call of a caller that is in flight.
#[derive(Clone, Debug)]
struct InFlight {
    id: RequestId,
    sent: CallAttempt,
}

/// A caller.
#[derive(Clone, Debug)]
struct Caller {
    kind: CallerKind,
    in_flight: Option<InFlight>,
    held: Option<HeldLock>,
    /// The revision of each cell as the caller knows it.
    revisions: BTreeMap<&'static str, u64>,
    /// The revision that a watcher goes on from.
    watched_revision: u64,
    puts: u64,
}

/// All callers.
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

    /// The caller whose call has this id.
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
            // It takes the lock again that it holds.
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

    fn send_call(&mut self, sent: CallAttempt) {
        let id = self.operators.next_id();
        let slot = self.random_below(self.plan.members as u64) as usize;
        let machine = self.slots[slot];
        self.record(|| format!("caller {} sends {id} to {machine}: {:?}", sent.caller, sent.call));
        self.oracle.call_sent(&sent);
        let delay = (1 + self.random_below(10)) * MILLISECOND;
        let limit = CALL_TIMEOUT + sent.call.wait_ms() * MILLISECOND;
        let call = sent.call.clone();
        let caller = sent.caller;
        self.callers.0[caller].in_flight = Some(InFlight { id, sent });
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
        // A caller that has given up has closed its connection to a suspended process, which does not begin the call when it resumes:
        // `put_whose_caller_has_left_a_stopped_node_is_not_begun` shows that over sockets.
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

    /// A node has ended a call. Its caller may have turned elsewhere.
    pub(super) fn send_outcome(&mut self, machine: usize, id: RequestId, outcome: CallOutcome) {
        let outcome = self.corrupt_outcome(id, outcome);
        self.record(|| format!("node {machine} ends {id}: {outcome:?}"));
        if self.draws_lost_response() {
            return;
        }
        let delay = (1 + self.random_below(10)) * MILLISECOND;
        self.schedule_after(delay, Event::OutcomeArrives { id, outcome });
    }

    /// The call that a caller waits for under this id.
    pub(super) fn call_in_flight(&self, id: RequestId) -> Option<&Call> {
        let caller = self.callers.of_call(id)?;
        self.callers.0[caller].in_flight.as_ref().map(|call| &call.sent.call)
    }

    pub(super) fn outcome_arrives(&mut self, id: RequestId, outcome: &CallOutcome) {
        let Some(caller) = self.callers.of_call(id) else { return };
        let Some(InFlight { sent, .. }) = self.callers.0[caller].in_flight.take() else { return };
        self.record(|| format!("caller {caller} receives for {id}: {outcome:?}"));
        self.oracle.call_ended(&sent, outcome);
        match outcome {
            CallOutcome::Unknown | CallOutcome::NotStarted(_) => self.retry_call(sent),
            CallOutcome::Applied(reply) => {
                self.apply_reply(caller, &sent, reply);
                self.pause(caller);
            }
            CallOutcome::Refused(refusal) => {
                self.apply_refusal(caller, &sent, *refusal);
                self.pause(caller);
            }
        }
    }

    pub(super) fn call_timed_out(&mut self, id: RequestId) {
        let Some(caller) = self.callers.of_call(id) else { return };
        let Some(InFlight { sent, .. }) = self.callers.0[caller].in_flight.take() else { return };
        self.retry_call(sent);
    }

    /// Sends a put again unchanged; other callers decide anew what to do.
    fn retry_call(&mut self, sent: CallAttempt) {
        let caller = sent.caller;
        let faults_end = self.plan.faults_end_ms * MILLISECOND;
        if self.now > sent.first_sent_at.max(faults_end) + CALL_DEADLINE {
            let text = format!("{:?} has no clear answer since the faults have ended", sent.call);
            self.oracle.report(Invariant::CallDeadline, text);
        }
        if let Call::AcquireLock { .. } | Call::RenewLock { .. } = sent.call {
            // Without a clear answer it does not know whether it holds the lock by that call.
            return self.pause(caller);
        }
        let is_put = matches!(sent.call, Call::PutCell { .. });
        if is_put && self.now > sent.first_sent_at + PUT_RETRY_PERIOD {
            return self.pause(caller);
        }
        if let Call::ReadCell { .. } | Call::NextNumber { .. } | Call::WatchGroup { .. } = sent.call
            && self.random_below(4) == 0
        {
            return self.pause(caller);
        }
        let delay = (5 + self.random_below(60)) * MILLISECOND;
        self.schedule_after(delay, Event::CallRetried(sent));
    }

    pub(super) fn call_retried(&mut self, sent: CallAttempt) {
        if self.callers.0[sent.caller].in_flight.is_none() {
            let now = self.now;
            self.send_call(CallAttempt { sent_at: now, ..sent });
        }
    }

    fn pause(&mut self, caller: usize) {
        let is_watcher = self.callers.0[caller].kind == CallerKind::Watch;
        let longest_ms = if is_watcher { 5 } else { LONGEST_PAUSE_MS };
        let delay = (1 + self.random_below(longest_ms)) * MILLISECOND;
        self.schedule_after(delay, Event::CallDue(caller));
    }

    fn apply_reply(&mut self, caller: usize, sent: &CallAttempt, reply: &Reply) {
        let now = self.now;
        let this = &mut self.callers.0[caller];
        match (&sent.call, reply) {
            (Call::AcquireLock { name, hold_ms, .. }, Reply::LockAcquired { fence }) => {
                let ends_at = sent.sent_at + hold_ms * MILLISECOND;
                let held = HeldLock { name: name.clone(), fence: *fence, ends_at };
                this.held = Some(held).filter(|held| now < held.ends_at);
            }
            (Call::RenewLock { hold_ms, .. }, Reply::LockRenewed) => {
                let ends_at = sent.sent_at + hold_ms * MILLISECOND;
                // It arrives in time, or counts for nothing.
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

    fn apply_refusal(&mut self, caller: usize, sent: &CallAttempt, refusal: Refusal) {
        let this = &mut self.callers.0[caller];
        match (&sent.call, refusal) {
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
