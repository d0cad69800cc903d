//! The calls at the leader of one partition: decided in their order, and answered once a quorum has stored the change or has confirmed
//! the leader's ballot.
//!
//! Before its first decision a leader commits a barrier, an empty change of its own. After the barrier, no later leader can recover a
//! proposal of an earlier leader that this leader has not seen: a refusal by this leader (412, 503) stays valid.

use std::collections::{BTreeMap, VecDeque};

use ivyhatch_coordination::{CoordinationState, Decision, Publication};
use ivyhatch_protocol::coordination::{Call, CallOutcome, NotStarted, Reply};
use ivyhatch_protocol::{Nanos, SECOND};

use crate::interface::RequestId;
use crate::requests::request_queue::Requester;

/// The largest number of undecided calls of a partition; further calls are rejected.
pub const MAX_WAITING: usize = 512;
/// The largest number of held watches of a partition; further watches are rejected.
pub const MAX_WATCHES: usize = 2048;
/// How long the outcome of a forwarded call is kept to answer late copies of the call. Longer than the age up to which a forwarded call
/// is accepted.
const OUTCOME_RETENTION: Nanos = 2 * SECOND;

/// A call that waits for its decision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedCall {
    /// The receiver of the outcome.
    pub requester: Requester,
    /// What the application asks for.
    pub call: Call,
    /// The time at which an undecided call is dropped from the queue.
    pub expires_at: Nanos,
}

/// An outcome that is ready to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadyOutcome {
    /// The receiver of the outcome.
    pub requester: Requester,
    /// The outcome of the requester's call.
    pub outcome: CallOutcome,
}

/// The result of adding a call to the queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EnqueuedCall {
    /// The call waits for its decision.
    Queued,
    /// Another copy of the call is queued, held as a watch, in flight, or waits for the confirmation of its outcome.
    Duplicate,
    /// Another copy of the call was answered with this outcome, which is sent again.
    Answered(CallOutcome),
    /// The queue is full: [`MAX_WAITING`] calls wait for their decisions.
    Rejected,
}

/// A call whose change is in flight, and the reply that the requester gets once the change is committed.
#[derive(Debug)]
struct OpenCall {
    requester: Requester,
    reply: Reply,
    publication: Option<Publication>,
}

/// An outcome that waits until the state that it was decided on is committed and the leader's ballot is confirmed.
#[derive(Debug)]
struct UnconfirmedOutcome {
    requester: Requester,
    outcome: CallOutcome,
    /// The sequence number of the last change in the state that the outcome was decided on.
    decided_on: u64,
    is_confirmed: bool,
    expires_at: Nanos,
}

/// A watch that is held until its group has a revision above `after`, or until its wait ends.
#[derive(Debug)]
struct HeldWatch {
    group: String,
    after: u64,
    wait_ends_at: Nanos,
    expires_at: Nanos,
}

/// The progress of a new leader towards deciding calls.
#[derive(Debug, Default)]
enum Phase {
    /// The leader has proposed nothing under its ballot.
    #[default]
    New,
    /// The leader's barrier is in flight.
    Barrier,
    /// The leader decides calls on this state, which includes all proposed changes.
    Deciding(Box<CoordinationState>),
}

/// The queue of one partition's leader.
#[derive(Debug, Default)]
pub struct CallQueue {
    phase: Phase,
    waiting: VecDeque<QueuedCall>,
    /// Calls in flight, by the sequence number of the proposed change.
    open_calls: BTreeMap<u64, OpenCall>,
    /// Outcomes by the number of the confirmation that they wait for.
    unconfirmed: BTreeMap<u64, UnconfirmedOutcome>,
    watches: BTreeMap<Requester, HeldWatch>,
    /// Outcomes of forwarded calls with the times at which they were sent, oldest first.
    answered: VecDeque<(Nanos, ReadyOutcome)>,
    last_confirmation: u64,
}

impl CallQueue {
    /// Adds a call to the queue, unless a copy of the call is known or the queue is full.
    pub fn enqueue(&mut self, queued: QueuedCall) -> EnqueuedCall {
        let answered = self.answered.iter().find(|(_, ready)| ready.requester == queued.requester);
        if let Some((_, ready)) = answered {
            return EnqueuedCall::Answered(ready.outcome.clone());
        }
        if self.contains(queued.requester) {
            return EnqueuedCall::Duplicate;
        }
        if self.waiting.len() >= MAX_WAITING {
            return EnqueuedCall::Rejected;
        }
        self.waiting.push_back(queued);
        EnqueuedCall::Queued
    }

    fn contains(&self, requester: Requester) -> bool {
        self.watches.contains_key(&requester)
            || self.waiting.iter().any(|queued| queued.requester == requester)
            || self.open_calls.values().any(|open| open.requester == requester)
            || self.unconfirmed.values().any(|outcome| outcome.requester == requester)
    }

    /// Whether no call waits for its decision. Calls in flight and held watches don't count.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Whether the leader has to propose its barrier now.
    pub fn needs_barrier(&self) -> bool {
        matches!(self.phase, Phase::New)
    }

    /// Records that the leader has proposed its barrier.
    pub fn barrier_proposed(&mut self) {
        self.phase = Phase::Barrier;
    }

    /// Whether the leader decides calls: its barrier is committed, and the partition's state has been read.
    pub fn is_deciding(&self) -> bool {
        matches!(self.phase, Phase::Deciding(_))
    }

    /// Starts deciding on this state. The barrier and all changes before it have to be committed.
    pub fn begin_deciding(&mut self, state: CoordinationState) {
        self.phase = Phase::Deciding(Box::new(state));
    }

    /// The state including all proposed changes; `None` until the leader decides calls.
    pub fn state_mut(&mut self) -> Option<&mut CoordinationState> {
        match &mut self.phase {
            Phase::Deciding(state) => Some(state),
            Phase::New | Phase::Barrier => None,
        }
    }

    /// Removes and returns the oldest call that has not expired. Drops expired calls before it.
    pub fn next(&mut self, now: Nanos) -> Option<QueuedCall> {
        while let Some(queued) = self.waiting.pop_front() {
            if now < queued.expires_at {
                return Some(queued);
            }
        }
        None
    }

    /// Decides on a call. `sequence` is the sequence number that the next change gets. A watch is decided on the committed state only.
    /// Returns `None` until the leader decides calls.
    pub fn decide(&mut self, now: Nanos, sequence: u64, call: &Call) -> Option<Decision> {
        if let Call::WatchGroup { group, after, .. } = call {
            let committed = self.committed_revision(group)?;
            return Some(self.state_mut()?.watch(group, *after, committed));
        }
        Some(self.state_mut()?.decide(now, sequence, call))
    }

    /// The last committed revision of a group; `None` until the leader decides calls.
    fn committed_revision(&self, group: &str) -> Option<u64> {
        let mut publications = self.open_calls.values().filter_map(|open| open.publication.as_ref());
        let first_open = publications.find(|publication| publication.group == group);
        match (&self.phase, first_open) {
            (Phase::Deciding(_), Some(publication)) => Some(publication.revision - 1),
            (Phase::Deciding(state), None) => Some(state.group_revision(group)),
            _ => None,
        }
    }

    /// Records that the change of a call was proposed with this sequence number. The reply is sent once that change is committed.
    pub fn proposed(
        &mut self,
        sequence: u64,
        requester: Requester,
        reply: Reply,
        publication: Option<Publication>,
    ) {
        self.open_calls.insert(sequence, OpenCall { requester, reply, publication });
    }

    /// Holds a watch until its group has a later revision, or at most until `wait_ends_at`. Returns an `Overloaded` outcome where
    /// [`MAX_WATCHES`] watches are held already.
    pub fn hold_watch(&mut self, queued: QueuedCall, wait_ends_at: Nanos) -> Option<ReadyOutcome> {
        let QueuedCall { requester, call, expires_at } = queued;
        let Call::WatchGroup { group, after, .. } = call else { return None };
        if self.watches.len() >= MAX_WATCHES {
            let outcome = CallOutcome::NotStarted(NotStarted::Overloaded);
            return Some(ReadyOutcome { requester, outcome });
        }
        self.watches.insert(requester, HeldWatch { group, after, wait_ends_at, expires_at });
        None
    }

    /// Holds an outcome until the leader's ballot is confirmed and the change with sequence number `decided_on` is committed. Returns the
    /// number of the confirmation that the caller has to request.
    pub fn await_confirmation(
        &mut self,
        requester: Requester,
        outcome: CallOutcome,
        decided_on: u64,
        expires_at: Nanos,
    ) -> u64 {
        self.last_confirmation += 1;
        let is_confirmed = false;
        let unconfirmed = UnconfirmedOutcome { requester, outcome, decided_on, is_confirmed, expires_at };
        self.unconfirmed.insert(self.last_confirmation, unconfirmed);
        self.last_confirmation
    }

    /// Records that a quorum has confirmed the leader's ballot for the confirmation of this number. `committed` is the sequence number of
    /// the last committed change. Returns the outcome if it may be sent now.
    pub fn confirmed(&mut self, number: u64, committed: u64) -> Option<ReadyOutcome> {
        let unconfirmed = self.unconfirmed.get_mut(&number)?;
        unconfirmed.is_confirmed = true;
        if unconfirmed.decided_on > committed {
            return None;
        }
        self.unconfirmed.remove(&number).map(UnconfirmedOutcome::ready)
    }

    /// Records that all changes up to this sequence number are committed. Returns the outcomes that may be sent now.
    pub fn changes_committed(&mut self, sequence: u64) -> Vec<ReadyOutcome> {
        let committed: Vec<OpenCall> =
            self.open_calls.extract_if(..=sequence, |_, _| true).map(|(_, open)| open).collect();
        let mut ready = Vec::new();
        let mut groups = Vec::new();
        for OpenCall { requester, reply, publication } in committed {
            ready.push(ReadyOutcome { requester, outcome: CallOutcome::Applied(reply) });
            groups.extend(publication.map(|publication| publication.group));
        }
        groups.sort_unstable();
        groups.dedup();
        for group in groups {
            ready.extend(self.answer_watches(&group));
        }
        let is_ready = |_: &u64, outcome: &mut UnconfirmedOutcome| {
            outcome.is_confirmed && outcome.decided_on <= sequence
        };
        ready.extend(self.unconfirmed.extract_if(.., is_ready).map(|(_, outcome)| outcome.ready()));
        ready
    }

    /// Answers the held watches of a group that has later committed revisions. As the puts of these revisions are committed, the answers
    /// need no confirmation of the leader's ballot.
    fn answer_watches(&mut self, group: &str) -> Vec<ReadyOutcome> {
        let Some(committed) = self.committed_revision(group) else { return Vec::new() };
        let Phase::Deciding(state) = &self.phase else { return Vec::new() };
        let mut ready = Vec::new();
        self.watches.retain(|requester, watch| {
            if watch.group != group {
                return true;
            }
            let Decision::Respond(outcome) = state.watch(group, watch.after, committed) else { return true };
            ready.push(ReadyOutcome { requester: *requester, outcome });
            false
        });
        ready
    }

    /// Removes the watches whose wait is over. Returns for each the requester, an outcome without events, and the time at which that
    /// outcome expires.
    pub fn take_ended_watches(&mut self, now: Nanos) -> Vec<(Requester, CallOutcome, Nanos)> {
        let ended = self.watches.extract_if(.., |_, watch| now >= watch.wait_ends_at);
        let empty_outcome = |(requester, watch): (Requester, HeldWatch)| {
            let reply = Reply::Events { events: Vec::new(), revision: watch.after };
            (requester, CallOutcome::Applied(reply), watch.expires_at)
        };
        ended.map(empty_outcome).collect()
    }

    /// Records the outcome of a forwarded call, so that late copies of the call get the same outcome.
    pub fn answered(&mut self, now: Nanos, ready: &ReadyOutcome) {
        if matches!(ready.requester, Requester::Remote(..)) {
            self.answered.push_back((now, ready.clone()));
        }
    }

    /// Removes the call or watch of a caller that no longer waits. A proposal in flight is not cancelled.
    pub fn cancel(&mut self, id: RequestId) {
        let requester = Requester::Local(id);
        self.waiting.retain(|queued| queued.requester != requester);
        self.watches.remove(&requester);
    }

    /// Drops expired calls and outcomes. Returns the numbers of the confirmations that no outcome waits for any longer.
    pub fn expire(&mut self, now: Nanos) -> Vec<u64> {
        self.waiting.retain(|queued| now < queued.expires_at);
        while self.answered.front().is_some_and(|(at, _)| now >= at + OUTCOME_RETENTION) {
            self.answered.pop_front();
        }
        let expired = self.unconfirmed.extract_if(.., |_, outcome| now >= outcome.expires_at);
        expired.map(|(number, _)| number).collect()
    }

    /// Clears the queue, as this node no longer leads the partition. Returns the requesters of forwarded calls without a proposal.
    pub fn stepped_down(&mut self) -> Vec<Requester> {
        let dropped = std::mem::take(self);
        self.last_confirmation = dropped.last_confirmation;
        let waiting = dropped.waiting.into_iter().map(|queued| queued.requester);
        let unconfirmed = dropped.unconfirmed.into_values().map(|outcome| outcome.requester);
        let requesters = waiting.chain(unconfirmed).chain(dropped.watches.into_keys());
        let is_remote = |requester: &Requester| matches!(requester, Requester::Remote(..));
        requesters.filter(is_remote).collect()
    }
}

impl UnconfirmedOutcome {
    fn ready(self) -> ReadyOutcome {
        ReadyOutcome { requester: self.requester, outcome: self.outcome }
    }
}
