//! One partition of the control state as one replica sees it: what it has promised and accepted, what is known to be committed,
//! and, while the replica is the partition's candidate or leader, how far the others have followed it.
//!
//! A candidate begins with a ballot that a quorum of voters promises and stores (`Prepare`). The values that were accepted before
//! come with the promises, and the newest of them is proposed once more under the new ballot. From then on each change is one round
//! (`Accept`), committed once a quorum has stored it. A voter rejects every ballot below the one that it has promised, so that of
//! two leaders one fails. There is no log: a partition is the value that was committed last, and its changes are numbered.

use std::collections::{BTreeMap, BTreeSet};

use ivyhatch_protocol::ids::{Ballot, NodeId};
use ivyhatch_protocol::peer::{AcceptedValue, AcceptorState, ConsensusMessage, majority};
use ivyhatch_protocol::{MILLISECOND, Nanos};

/// What was not answered is sent again after this: a few round trips and the sync of a slow disk.
const RETRY_AFTER: Nanos = 300 * MILLISECOND;

/// What a partition wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send to a voter, which may be this replica.
    Send(NodeId, ConsensusMessage),
    /// Store the promise, then send.
    Promise(Ballot, NodeId, ConsensusMessage),
    /// Store the accepted value, then send.
    Accept(AcceptedValue, NodeId, ConsensusMessage),
    /// The value is committed.
    Committed(AcceptedValue),
    /// A quorum has confirmed that this replica's ballot is still the highest.
    QuorumConfirmed(u64),
    /// This replica no longer leads. Whether an open proposal will be committed is not known.
    SteppedDown,
}

/// A value that the leader has sent to the voters.
#[derive(Clone, Debug)]
struct Proposal {
    value: AcceptedValue,
    accepted_by: BTreeSet<NodeId>,
    sent: Nanos,
}

/// The part that a replica plays in a partition.
#[derive(Clone, Debug, Default)]
enum Role {
    #[default]
    Follower,
    /// It has asked the voters for their promises.
    Candidate { ballot: Ballot, promises: BTreeMap<NodeId, Option<AcceptedValue>>, sent: Nanos },
    /// A quorum has promised its ballot.
    Leader { ballot: Ballot, proposal: Option<Proposal>, confirmations: BTreeMap<u64, BTreeSet<NodeId>> },
}

impl Role {
    /// The ballot under which the replica contends for or holds the leadership.
    fn ballot(&self) -> Option<Ballot> {
        match self {
            Self::Follower => None,
            Self::Candidate { ballot, .. } | Self::Leader { ballot, .. } => Some(*ballot),
        }
    }
}

/// One partition.
#[derive(Clone, Debug)]
pub struct PartitionReplica {
    node: NodeId,
    incarnation: u64,
    voters: Vec<NodeId>,
    state: AcceptorState,
    committed: Option<AcceptedValue>,
    role: Role,
    /// The highest counter of any ballot that was seen.
    counter: u64,
}

impl PartitionReplica {
    /// A partition with what is on the disk.
    pub fn new(node: NodeId, incarnation: u64, state: AcceptorState) -> Self {
        let counter = state.promised.counter;
        Self { node, incarnation, voters: Vec::new(), state, committed: None, role: Role::Follower, counter }
    }

    /// Sets who votes. Leadership under other voters ends.
    pub fn set_voters(&mut self, voters: &[NodeId], out: &mut Vec<Effect>) {
        self.step_down(out);
        self.voters = voters.to_vec();
    }

    /// The accepted value is known to be committed, if it was accepted under this ballot, as the change of this number.
    pub fn mark_committed(&mut self, ballot: Ballot, sequence: u64) -> Option<AcceptedValue> {
        self.committed = self.accepted_as(ballot, sequence);
        self.committed.clone()
    }

    fn accepted_as(&self, ballot: Ballot, sequence: u64) -> Option<AcceptedValue> {
        self.state.accepted.clone().filter(|value| value.ballot == ballot && value.sequence == sequence)
    }

    /// What is promised and accepted.
    pub fn state(&self) -> &AcceptorState {
        &self.state
    }

    /// Takes over what another replica has promised and accepted, where that is newer.
    pub fn merge(&mut self, other: &AcceptorState) {
        self.state.merge(other);
        self.counter = self.counter.max(other.promised.counter);
    }

    /// The newest value that is known to be committed.
    pub fn committed(&self) -> Option<&AcceptedValue> {
        self.committed.as_ref()
    }

    /// The number of the last change that is known to be committed.
    pub fn committed_sequence(&self) -> u64 {
        self.committed.as_ref().map_or(0, |committed| committed.sequence)
    }

    /// Whether this replica is a candidate or the leader.
    pub fn is_contending(&self) -> bool {
        self.role.ballot().is_some()
    }

    /// The leader's ballot, once it knows the partition's value and no proposal is open.
    pub fn ready_ballot(&self) -> Option<Ballot> {
        match &self.role {
            Role::Leader { ballot, proposal: None, .. } => Some(*ballot),
            _ => None,
        }
    }

    /// The leader's ballot, once a quorum has promised it.
    pub fn leader_ballot(&self) -> Option<Ballot> {
        match &self.role {
            Role::Leader { ballot, .. } => Some(*ballot),
            _ => None,
        }
    }

    fn quorum_size(&self) -> usize {
        majority(self.voters.len())
    }

    fn send_to_voters(&self, message: &ConsensusMessage, out: &mut Vec<Effect>) {
        out.extend(self.voters.iter().map(|voter| Effect::Send(*voter, message.clone())));
    }

    /// Contends for the leadership under a new ballot.
    pub fn start_election(&mut self, now: Nanos, out: &mut Vec<Effect>) {
        self.counter += 1;
        let ballot = Ballot { counter: self.counter, node: self.node, incarnation: self.incarnation };
        self.role = Role::Candidate { ballot, promises: BTreeMap::new(), sent: now };
        self.send_to_voters(&ConsensusMessage::Prepare { ballot }, out);
    }

    /// Gives up the leadership, or the election.
    pub fn step_down(&mut self, out: &mut Vec<Effect>) {
        if self.is_contending() {
            self.role = Role::Follower;
            out.push(Effect::SteppedDown);
        }
    }

    /// Another replica has this ballot: a lower one of this replica's has ended, and its next one is higher.
    pub fn observe_ballot(&mut self, ballot: Ballot, out: &mut Vec<Effect>) {
        self.counter = self.counter.max(ballot.counter);
        if self.role.ballot().is_some_and(|own| own < ballot) {
            self.step_down(out);
        }
    }

    /// Proposes a value. Only while [`PartitionReplica::ready_ballot`].
    pub fn propose(&mut self, now: Nanos, value: Vec<u8>, out: &mut Vec<Effect>) {
        let Some(ballot) = self.ready_ballot() else { return };
        self.send_proposal(
            now,
            AcceptedValue { ballot, sequence: self.committed_sequence() + 1, value },
            out,
        );
    }

    fn send_proposal(&mut self, now: Nanos, value: AcceptedValue, out: &mut Vec<Effect>) {
        let Role::Leader { proposal, .. } = &mut self.role else { return };
        *proposal = Some(Proposal { value: value.clone(), accepted_by: BTreeSet::new(), sent: now });
        self.send_to_voters(&ConsensusMessage::Accept(value), out);
    }

    /// Asks the voters whether the leader's ballot is still the highest; `number` comes back with [`Effect::QuorumConfirmed`].
    pub fn confirm(&mut self, number: u64, out: &mut Vec<Effect>) {
        let Role::Leader { ballot, confirmations, .. } = &mut self.role else { return };
        let ballot = *ballot;
        confirmations.insert(number, BTreeSet::new());
        self.send_to_voters(&ConsensusMessage::Confirm { ballot, request_id: number }, out);
    }

    /// Forgets a confirmation that nobody waits for any longer.
    pub fn cancel_confirmation(&mut self, number: u64) {
        if let Role::Leader { confirmations, .. } = &mut self.role {
            confirmations.remove(&number);
        }
    }

    /// Sends again what was not answered.
    pub fn tick(&mut self, now: Nanos, out: &mut Vec<Effect>) {
        let (message, answered): (ConsensusMessage, BTreeSet<NodeId>) = match &mut self.role {
            Role::Candidate { ballot, promises, sent } if now >= *sent + RETRY_AFTER => {
                *sent = now;
                (ConsensusMessage::Prepare { ballot: *ballot }, promises.keys().copied().collect())
            }
            Role::Leader { proposal: Some(proposal), .. } if now >= proposal.sent + RETRY_AFTER => {
                proposal.sent = now;
                (ConsensusMessage::Accept(proposal.value.clone()), proposal.accepted_by.clone())
            }
            _ => return,
        };
        let missing = self.voters.iter().filter(|voter| !answered.contains(*voter));
        out.extend(missing.map(|voter| Effect::Send(*voter, message.clone())));
    }

    /// Takes a message in. `votes` tells whether this replica may vote; one that may not stays silent, as no answer is the only one
    /// that can't be wrong.
    pub fn handle(
        &mut self,
        now: Nanos,
        from: NodeId,
        message: ConsensusMessage,
        votes: bool,
        out: &mut Vec<Effect>,
    ) {
        match message {
            ConsensusMessage::Prepare { ballot } if votes => self.on_prepare(from, ballot, out),
            ConsensusMessage::Accept(value) if votes => self.on_accept(from, value, out),
            ConsensusMessage::Confirm { ballot, request_id: number } if votes => {
                self.on_confirm(from, ballot, number, out);
            }
            ConsensusMessage::Prepare { .. }
            | ConsensusMessage::Accept(_)
            | ConsensusMessage::Confirm { .. } => {}
            ConsensusMessage::Promise { ballot, accepted } => {
                self.on_promise(now, from, ballot, accepted, out);
            }
            ConsensusMessage::Accepted { ballot, sequence } => self.on_accepted(from, ballot, sequence, out),
            ConsensusMessage::Confirmed { ballot, request_id } => {
                self.on_confirmed(from, ballot, request_id, out)
            }
            ConsensusMessage::Reject { promised } => self.observe_ballot(promised, out),
            ConsensusMessage::Commit { ballot, sequence } => self.on_commit(from, ballot, sequence, out),
            ConsensusMessage::Fetch { after } => {
                if let Some(committed) = self.committed.clone().filter(|value| value.sequence > after) {
                    out.push(Effect::Send(from, ConsensusMessage::Committed(committed)));
                }
            }
            ConsensusMessage::Committed(value) => self.commit(value, out),
        }
    }

    fn reject(&self, to: NodeId, out: &mut Vec<Effect>) {
        let promised = self.state.promised;
        out.push(Effect::Send(to, ConsensusMessage::Reject { promised }));
    }

    fn on_prepare(&mut self, from: NodeId, ballot: Ballot, out: &mut Vec<Effect>) {
        if ballot < self.state.promised {
            return self.reject(from, out);
        }
        self.promise(ballot, out);
        let accepted = self.state.accepted.clone();
        out.push(Effect::Promise(ballot, from, ConsensusMessage::Promise { ballot, accepted }));
    }

    fn on_accept(&mut self, from: NodeId, value: AcceptedValue, out: &mut Vec<Effect>) {
        if value.ballot < self.state.promised {
            return self.reject(from, out);
        }
        let (ballot, sequence) = (value.ballot, value.sequence);
        // A message that was held up on its way, while its successor has come.
        let overtaken = |accepted: &AcceptedValue| accepted.ballot == ballot && accepted.sequence > sequence;
        if self.state.accepted.as_ref().is_some_and(overtaken) {
            return;
        }
        self.promise(ballot, out);
        self.state.accepted = Some(value.clone());
        out.push(Effect::Accept(value, from, ConsensusMessage::Accepted { ballot, sequence }));
    }

    fn on_confirm(&mut self, from: NodeId, ballot: Ballot, number: u64, out: &mut Vec<Effect>) {
        if ballot != self.state.promised {
            return self.reject(from, out);
        }
        out.push(Effect::Send(from, ConsensusMessage::Confirmed { ballot, request_id: number }));
    }

    fn on_commit(&mut self, from: NodeId, ballot: Ballot, sequence: u64, out: &mut Vec<Effect>) {
        match self.accepted_as(ballot, sequence) {
            Some(value) => self.commit(value, out),
            None if sequence > self.committed_sequence() => {
                let after = self.committed_sequence();
                out.push(Effect::Send(from, ConsensusMessage::Fetch { after }));
            }
            None => {}
        }
    }

    /// Promises a ballot. Leadership under a lower one ends.
    fn promise(&mut self, ballot: Ballot, out: &mut Vec<Effect>) {
        self.state.promised = self.state.promised.max(ballot);
        self.observe_ballot(ballot, out);
    }

    fn on_promise(
        &mut self,
        now: Nanos,
        from: NodeId,
        ballot: Ballot,
        accepted: Option<AcceptedValue>,
        out: &mut Vec<Effect>,
    ) {
        let quorum_size = self.quorum_size();
        let Role::Candidate { ballot: own, promises, .. } = &mut self.role else { return };
        if *own != ballot || !self.voters.contains(&from) {
            return;
        }
        promises.insert(from, accepted);
        if promises.len() < quorum_size {
            return;
        }
        let newest = promises.values().flatten().max_by_key(|value| (value.ballot, value.sequence)).cloned();
        self.role = Role::Leader { ballot, proposal: None, confirmations: BTreeMap::new() };
        // It may or may not have been committed: from here on it is, under this ballot.
        if let Some(newest) = newest {
            self.send_proposal(now, AcceptedValue { ballot, ..newest }, out);
        }
    }

    fn on_accepted(&mut self, from: NodeId, of: Ballot, sequence: u64, out: &mut Vec<Effect>) {
        let quorum_size = self.quorum_size();
        let Role::Leader { ballot, proposal, .. } = &mut self.role else { return };
        let Some(open) = proposal.as_mut().filter(|open| open.value.sequence == sequence) else { return };
        if *ballot != of || !self.voters.contains(&from) {
            return;
        }
        open.accepted_by.insert(from);
        if open.accepted_by.len() < quorum_size {
            return;
        }
        let value = open.value.clone();
        *proposal = None;
        self.commit(value, out);
    }

    fn on_confirmed(&mut self, from: NodeId, of: Ballot, number: u64, out: &mut Vec<Effect>) {
        let quorum_size = self.quorum_size();
        let Role::Leader { ballot, confirmations, .. } = &mut self.role else { return };
        let Some(confirmed_by) = confirmations.get_mut(&number).filter(|_| *ballot == of) else { return };
        if self.voters.contains(&from) {
            confirmed_by.insert(from);
        }
        if confirmed_by.len() >= quorum_size {
            confirmations.remove(&number);
            out.push(Effect::QuorumConfirmed(number));
        }
    }

    /// Notes what is committed; an older value changes nothing. One under a higher ballot than this leader's tells that a quorum has
    /// promised that ballot: what is open here may have been committed by another leader, and would never be answered.
    fn commit(&mut self, value: AcceptedValue, out: &mut Vec<Effect>) {
        self.observe_ballot(value.ballot, out);
        let newer = |known: &AcceptedValue| (value.sequence, value.ballot) > (known.sequence, known.ballot);
        if self.committed.as_ref().is_none_or(newer) {
            self.committed = Some(value.clone());
            out.push(Effect::Committed(value));
        }
    }
}
