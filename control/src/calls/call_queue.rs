//! The calls before the leader of one partition: decided in their order, and answered once a quorum has stored the change or has
//! confirmed the leader's ballot.
//!
//! Before its first decision a leader has a change of its own committed, a barrier. A proposal of an earlier leader that this one has not
//! seen can't be recovered by a later one after that: what this leader says of a call (412, 503) stays true.

use std::collections::{BTreeMap, VecDeque};

use ivyhatch_coordination::{CoordinationState, Decision, Publication};
use ivyhatch_protocol::coordination::{Call, CallOutcome, NotStarted, Reply};
use ivyhatch_protocol::{Nanos, SECOND};

use crate::interface::RequestId;
use crate::requests::request_queue::Requester;

/// The most calls of a partition that wait for their decision.
pub const MAX_WAITING: usize = 512;
/// The most watches of a partition that are held.
pub const MAX_WATCHES: usize = 2048;
/// The outcome of a forwarded call is kept for this long, for copies of the call that come late. Longer than the age up to which a
/// forwarded call is carried out.
const OUTCOME_RETENTION: Nanos = 2 * SECOND;

/// A call that waits for its decision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedCall {
    /// Who is sent the outcome.
    pub requester: Requester,
    /// The call.
    pub call: Call,
    /// It is dropped undecided at this time.
    pub expires_at: Nanos,
}

/// An outcome that is ready to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadyOutcome {
    /// Who is sent it.
    pub requester: Requester,
    /// The outcome.
    pub outcome: CallOutcome,
}

/// What became of a call that was put into the queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EnqueuedCall {
    /// It waits for its decision.
    Queued,
    /// It is here already.
    Duplicate,
    /// It was decided before: its outcome is sent again.
    Answered(CallOutcome),
    /// Too many calls wait.
    Rejected,
}

/// A change in flight, and who is sent the reply once it is committed.
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
    decided_on: u64,
    is_confirmed: bool,
    expires_at: Nanos,
}

/// A watch that is held until its group has a later revision.
#[derive(Debug)]
struct HeldWatch {
    group: String,
    after: u64,
    wait_ends_at: Nanos,
    expires_at: Nanos,
}

/// How far a leader is.
#[derive(Debug, Default)]
enum Phase {
    /// It has proposed nothing under its ballot.
    #[default]
    New,
    /// Its barrier is in flight.
    Barrier,
    /// It decides, by this state.
    Deciding(Box<CoordinationState>),
}

/// The queue of one partition's leader.
#[derive(Debug, Default)]
pub struct CallQueue {
    phase: Phase,
    waiting: VecDeque<QueuedCall>,
    /// By the number of the proposed change.
    open_calls: BTreeMap<u64, OpenCall>,
    /// By the number of the confirmation.
    unconfirmed: BTreeMap<u64, UnconfirmedOutcome>,
    watches: BTreeMap<Requester, HeldWatch>,
    /// Outcomes of forwarded calls, in the order in which they were sent.
    answered: VecDeque<(Nanos, ReadyOutcome)>,
    last_confirmation: u64,
}

impl CallQueue {
    /// Puts a call into the queue.
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

    /// Whether no call waits for its decision.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Whether the leader has to propose its barrier now.
    pub fn needs_barrier(&self) -> bool {
        matches!(self.phase, Phase::New)
    }

    /// The barrier is in flight.
    pub fn barrier_proposed(&mut self) {
        self.phase = Phase::Barrier;
    }

    /// Whether the leader decides.
    pub fn is_deciding(&self) -> bool {
        matches!(self.phase, Phase::Deciding(_))
    }

    /// The barrier and all before it is committed: the leader decides by this state from now on.
    pub fn begin_deciding(&mut self, state: CoordinationState) {
        self.phase = Phase::Deciding(Box::new(state));
    }

    /// The state with all that was proposed, while the leader decides.
    pub fn state_mut(&mut self) -> Option<&mut CoordinationState> {
        match &mut self.phase {
            Phase::Deciding(state) => Some(state),
            Phase::New | Phase::Barrier => None,
        }
    }

    /// Removes the oldest call that has not expired.
    pub fn next(&mut self, now: Nanos) -> Option<QueuedCall> {
        while let Some(queued) = self.waiting.pop_front() {
            if now < queued.expires_at {
                return Some(queued);
            }
        }
        None
    }

    /// Decides on a call under the number of the next change. A watch is decided on by what is committed.
    pub fn decide(&mut self, now: Nanos, sequence: u64, call: &Call) -> Option<Decision> {
        if let Call::WatchGroup { group, after, .. } = call {
            let committed = self.committed_revision(group)?;
            return Some(self.state_mut()?.watch(group, *after, committed));
        }
        Some(self.state_mut()?.decide(now, sequence, call))
    }

    /// The last revision of a group that is committed.
    fn committed_revision(&self, group: &str) -> Option<u64> {
        let mut publications = self.open_calls.values().filter_map(|open| open.publication.as_ref());
        let first_open = publications.find(|publication| publication.group == group);
        match (&self.phase, first_open) {
            (Phase::Deciding(_), Some(publication)) => Some(publication.revision - 1),
            (Phase::Deciding(state), None) => Some(state.group_revision(group)),
            _ => None,
        }
    }

    /// What a call asks for is proposed under this number; its reply is sent once that is committed.
    pub fn proposed(
        &mut self,
        sequence: u64,
        requester: Requester,
        reply: Reply,
        publication: Option<Publication>,
    ) {
        self.open_calls.insert(sequence, OpenCall { requester, reply, publication });
    }

    /// Holds a watch.
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

    /// An outcome waits for the confirmation of the leader's ballot, and for the commit of the change that it was decided on. Returns
    /// the number of the confirmation.
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

    /// A quorum has confirmed the leader's ballot. `committed` is the number of the last committed change.
    pub fn confirmed(&mut self, number: u64, committed: u64) -> Option<ReadyOutcome> {
        let unconfirmed = self.unconfirmed.get_mut(&number)?;
        unconfirmed.is_confirmed = true;
        if unconfirmed.decided_on > committed {
            return None;
        }
        self.unconfirmed.remove(&number).map(UnconfirmedOutcome::ready)
    }

    /// All changes up to this number are committed. Returns the outcomes that may be sent by that.
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

    /// Answers the watches of a group that has later revisions than they know. The puts are committed: no confirmation is needed.
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

    /// Removes the watches whose wait is over: they are decided once more, and answered with what there is.
    pub fn take_ended_watches(&mut self, now: Nanos) -> Vec<(Requester, CallOutcome, Nanos)> {
        let ended = self.watches.extract_if(.., |_, watch| now >= watch.wait_ends_at);
        let empty_outcome = |(requester, watch): (Requester, HeldWatch)| {
            let reply = Reply::Events { events: Vec::new(), revision: watch.after };
            (requester, CallOutcome::Applied(reply), watch.expires_at)
        };
        ended.map(empty_outcome).collect()
    }

    /// Notes the outcome that another node is sent.
    pub fn answered(&mut self, now: Nanos, ready: &ReadyOutcome) {
        if matches!(ready.requester, Requester::Remote(..)) {
            self.answered.push_back((now, ready.clone()));
        }
    }

    /// Removes the call of a caller that no longer waits. Proposals in flight go on.
    pub fn cancel(&mut self, id: RequestId) {
        let requester = Requester::Local(id);
        self.waiting.retain(|queued| queued.requester != requester);
        self.watches.remove(&requester);
    }

    /// Drops what has expired. Returns the numbers of confirmations that nothing waits for any longer.
    pub fn expire(&mut self, now: Nanos) -> Vec<u64> {
        self.waiting.retain(|queued| now < queued.expires_at);
        while self.answered.front().is_some_and(|(at, _)| now >= at + OUTCOME_RETENTION) {
            self.answered.pop_front();
        }
        let expired = self.unconfirmed.extract_if(.., |_, outcome| now >= outcome.expires_at);
        expired.map(|(number, _)| number).collect()
    }

    /// The node no longer leads: the queue is empty from now on. Returns the calls of other nodes that nothing was proposed for.
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
