//! The consensus on one partition, as one replica runs it: acceptor, and, while it contends for the partition, candidate or leader.
//!
//! A candidate prepares a ballot on a quorum of the voters (`Prepare`, answered by `Promise`: Paxos phase 1). The values that were
//! accepted before come with the promises, and the newest of them is proposed again under the new ballot. From then on each change
//! takes one round trip (`Accept`, answered by `Accepted`: phase 2) and is committed once a quorum has stored it. A voter rejects
//! every ballot below the one that it has promised, so that of two leaders at least one fails. There is no log: the partition's value
//! is the one that was committed last, and its changes are numbered. `Confirm` asks a quorum whether a ballot is still the highest,
//! before a read is answered.

use std::collections::{BTreeMap, BTreeSet};

use ivyhatch_protocol::ids::{Ballot, NodeId};
use ivyhatch_protocol::peer::{AcceptedValue, AcceptorState, ConsensusMessage, majority};
use ivyhatch_protocol::{MILLISECOND, Nanos};

/// Wait before a message without an answer is sent again: a few round trips and the sync of a slow disk.
const RETRY_INTERVAL: Nanos = 300 * MILLISECOND;

/// What a partition wants done. The caller carries effects out in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send a message to a voter, which may be this replica.
    Send(NodeId, ConsensusMessage),
    /// Store the promise, and send the message once it is durable.
    Promise(Ballot, NodeId, ConsensusMessage),
    /// Store the accepted value, and send the message once it is durable.
    Accept(AcceptedValue, NodeId, ConsensusMessage),
    /// The value is committed. The caller publishes it.
    Committed(AcceptedValue),
    /// A quorum has confirmed that this leader's ballot was still the highest after [`PartitionReplica::confirm`] with this number.
    QuorumConfirmed(u64),
    /// This replica no longer contends or leads. Whether a proposal in flight will be committed is unknown.
    SteppedDown,
}

/// The proposal in flight.
#[derive(Clone, Debug)]
struct Proposal {
    value: AcceptedValue,
    accepted_by: BTreeSet<NodeId>,
    sent_at: Nanos,
}

/// The role of a replica in a partition.
#[derive(Clone, Debug, Default)]
enum Role {
    #[default]
    Follower,
    /// The replica prepares a ballot.
    Candidate { ballot: Ballot, promises: BTreeMap<NodeId, Option<AcceptedValue>>, sent_at: Nanos },
    /// A quorum has promised the replica's ballot.
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

/// The replica of one partition.
#[derive(Clone, Debug)]
pub struct PartitionReplica {
    node: NodeId,
    incarnation: u64,
    voters: Vec<NodeId>,
    state: AcceptorState,
    committed: Option<AcceptedValue>,
    role: Role,
    /// The highest counter of any ballot that is known.
    highest_counter: u64,
}

impl PartitionReplica {
    /// A follower with what its disk holds, and no voters yet. No other process of the node has the same incarnation: ballots are
    /// unique by it.
    pub fn new(node: NodeId, incarnation: u64, state: AcceptorState) -> Self {
        let highest_counter = state.promised.counter;
        let (voters, role) = (Vec::new(), Role::Follower);
        Self { node, incarnation, voters, state, committed: None, role, highest_counter }
    }

    /// Sets the voters. Leadership under other voters ends.
    pub fn set_voters(&mut self, voters: &[NodeId], out: &mut Vec<Effect>) {
        self.step_down(out);
        self.voters = voters.to_vec();
    }

    /// Marks the accepted value as committed, if it was accepted under this ballot with this sequence number, and returns it.
    pub fn mark_committed(&mut self, ballot: Ballot, sequence: u64) -> Option<AcceptedValue> {
        self.committed = self.accepted_as(ballot, sequence);
        self.committed.clone()
    }

    fn accepted_as(&self, ballot: Ballot, sequence: u64) -> Option<AcceptedValue> {
        self.state.accepted.clone().filter(|value| value.ballot == ballot && value.sequence == sequence)
    }

    /// What this replica has promised and accepted.
    pub fn state(&self) -> &AcceptorState {
        &self.state
    }

    /// Merges what another replica has promised and accepted, where that is newer. The caller makes the result durable.
    pub fn merge(&mut self, other: &AcceptorState) {
        self.state.merge(other);
        self.highest_counter = self.highest_counter.max(other.promised.counter);
    }

    /// The newest value that is known to be committed.
    pub fn committed(&self) -> Option<&AcceptedValue> {
        self.committed.as_ref()
    }

    /// The sequence number of the last change that is known to be committed; 0 for none.
    pub fn committed_sequence(&self) -> u64 {
        self.committed.as_ref().map_or(0, |committed| committed.sequence)
    }

    /// Whether this replica is a candidate or the leader.
    pub fn is_contending(&self) -> bool {
        self.role.ballot().is_some()
    }

    /// The leader's ballot, while no proposal is in flight: [`PartitionReplica::propose`] may be called.
    pub fn ready_ballot(&self) -> Option<Ballot> {
        match &self.role {
            Role::Leader { ballot, proposal: None, .. } => Some(*ballot),
            _ => None,
        }
    }

    /// The ballot under which this replica leads, if it does: a quorum has promised it.
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

    /// Starts an election: prepares a new ballot, above all that are known.
    pub fn start_election(&mut self, now: Nanos, out: &mut Vec<Effect>) {
        self.highest_counter += 1;
        let ballot = Ballot { counter: self.highest_counter, node: self.node, incarnation: self.incarnation };
        self.role = Role::Candidate { ballot, promises: BTreeMap::new(), sent_at: now };
        self.send_to_voters(&ConsensusMessage::Prepare { ballot }, out);
    }

    /// Ends the leadership, or the election.
    pub fn step_down(&mut self, out: &mut Vec<Effect>) {
        if self.is_contending() {
            self.role = Role::Follower;
            out.push(Effect::SteppedDown);
        }
    }

    /// Records another replica's ballot. Leadership under a lower one ends, and the next ballot of this replica is higher.
    pub fn observe_ballot(&mut self, ballot: Ballot, out: &mut Vec<Effect>) {
        self.highest_counter = self.highest_counter.max(ballot.counter);
        if self.role.ballot().is_some_and(|own| own < ballot) {
            self.step_down(out);
        }
    }

    /// Proposes a value. Without effect unless [`PartitionReplica::ready_ballot`] returns a ballot.
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
        *proposal = Some(Proposal { value: value.clone(), accepted_by: BTreeSet::new(), sent_at: now });
        self.send_to_voters(&ConsensusMessage::Accept(value), out);
    }

    /// Asks the voters whether the leader's ballot is still the highest; `number` comes back with [`Effect::QuorumConfirmed`]. Such
    /// messages are not sent again: the caller cancels a confirmation that takes too long.
    pub fn confirm(&mut self, number: u64, out: &mut Vec<Effect>) {
        let Role::Leader { ballot, confirmations, .. } = &mut self.role else { return };
        let ballot = *ballot;
        confirmations.insert(number, BTreeSet::new());
        self.send_to_voters(&ConsensusMessage::Confirm { ballot, request_id: number }, out);
    }

    /// Drops a confirmation that nothing waits for any longer.
    pub fn cancel_confirmation(&mut self, number: u64) {
        if let Role::Leader { confirmations, .. } = &mut self.role {
            confirmations.remove(&number);
        }
    }

    /// Sends again to voters that have not answered.
    pub fn tick(&mut self, now: Nanos, out: &mut Vec<Effect>) {
        let (message, answered_by): (ConsensusMessage, BTreeSet<NodeId>) = match &mut self.role {
            Role::Candidate { ballot, promises, sent_at } if now >= *sent_at + RETRY_INTERVAL => {
                *sent_at = now;
                (ConsensusMessage::Prepare { ballot: *ballot }, promises.keys().copied().collect())
            }
            Role::Leader { proposal: Some(proposal), .. } if now >= proposal.sent_at + RETRY_INTERVAL => {
                proposal.sent_at = now;
                (ConsensusMessage::Accept(proposal.value.clone()), proposal.accepted_by.clone())
            }
            _ => return,
        };
        let missing = self.voters.iter().filter(|voter| !answered_by.contains(*voter));
        out.extend(missing.map(|voter| Effect::Send(*voter, message.clone())));
    }

    /// Handles a message. A replica that is no voter ignores requests for its vote: any answer could break a promise that another
    /// replica of its node has made.
    pub fn handle(
        &mut self,
        now: Nanos,
        from: NodeId,
        message: ConsensusMessage,
        is_voter: bool,
        out: &mut Vec<Effect>,
    ) {
        match message {
            ConsensusMessage::Prepare { ballot } if is_voter => self.on_prepare(from, ballot, out),
            ConsensusMessage::Accept(value) if is_voter => self.on_accept(from, value, out),
            ConsensusMessage::Confirm { ballot, request_id: number } if is_voter => {
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
        // The message was delayed, and a later one has overtaken it.
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
        // Whether that value was committed is unknown: proposing it again commits it either way.
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

    /// Records a committed value, if it is newer. One under a higher ballot than this leader's shows that a quorum has promised that
    /// ballot: the proposal in flight here may have been committed by the other leader, and would never be answered.
    fn commit(&mut self, value: AcceptedValue, out: &mut Vec<Effect>) {
        self.observe_ballot(value.ballot, out);
        let is_newer =
            |known: &AcceptedValue| (value.sequence, value.ballot) > (known.sequence, known.ballot);
        if self.committed.as_ref().is_none_or(is_newer) {
            self.committed = Some(value.clone());
            out.push(Effect::Committed(value));
        }
    }
}
