//! The consensus on one partition, as one replica runs it: acceptor, and, while it contends for the partition, candidate or leader.
//!
//! A candidate prepares a ballot on a quorum of the voters (`Prepare`, answered by `Promise`: Paxos phase 1). The newest version that
//! was accepted before comes with the promises, as far as the candidate lacks it, and is proposed again under the new ballot. From
//! then on each change takes one round trip (`Accept`, answered by `Accepted`: phase 2) and is committed once a quorum has stored it.
//! Several changes may be in flight; a voter accepts them in their order, so that they are committed in their order. A voter rejects
//! every ballot below the one that it has promised, so that of two leaders at least one fails. There is no log: a voter that lacks
//! changes says up to which one its contents are the leader's (`Behind`), and is sent the registers that were written since.
//! `Confirm` asks a quorum whether a ballot is still the highest, before a read is answered.

mod leadership;

use std::collections::{BTreeMap, BTreeSet};

use ivyhatch_protocol::Nanos;
use ivyhatch_protocol::ids::{Ballot, NodeId};
use ivyhatch_protocol::peer::{ConsensusMessage, TransferredState, majority};
use ivyhatch_protocol::registers::{RegisterKey, RegisterValue, StateUpdate, Version};

use self::leadership::{Leadership, MIN_RETRY_INTERVAL, Progress};
use super::acceptor::{AcceptOutcome, Acceptor, CommitOutcome, LearnOutcome};

/// The most changes of a partition that are in flight at once.
pub const MAX_IN_FLIGHT: u64 = 16;

/// How committed contents became known, for the disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitRecord {
    /// This version, which the disk holds as accepted, is committed.
    Accepted(Version),
    /// Another replica has sent the contents.
    Learned(StateUpdate),
}

/// What a partition wants done. The caller carries effects out in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send a message to a node, which may be this one.
    Send(NodeId, ConsensusMessage),
    /// Send a message to several other nodes.
    Broadcast(Vec<NodeId>, ConsensusMessage),
    /// Store the promise, and send the message once it is durable.
    Promise(Ballot, NodeId, ConsensusMessage),
    /// Store the accepted update, and send the message once it is durable.
    Accept(StateUpdate, NodeId, ConsensusMessage),
    /// Send the message once all that was stored before is durable.
    SendWhenDurable(NodeId, ConsensusMessage),
    /// More is committed. The caller stores the record and publishes the committed contents.
    Committed(CommitRecord),
    /// A digest shows that the contents here are not those of another replica, which is asked for them whole.
    Diverged,
    /// A quorum has confirmed that this leader's ballot was still the highest after [`PartitionReplica::confirm`] with this number.
    QuorumConfirmed(u64),
    /// This replica no longer contends or leads. Whether proposals in flight will be committed is unknown.
    SteppedDown,
}

/// What a voter has promised a candidate.
#[derive(Clone, Debug)]
struct Promised {
    accepted: Option<StateUpdate>,
    committed: u64,
}

/// An election: the replica prepares a ballot.
#[derive(Clone, Debug)]
struct Candidacy {
    ballot: Ballot,
    promises: BTreeMap<NodeId, Promised>,
    sent_at: Nanos,
}

/// The role of a replica in a partition.
#[derive(Clone, Debug, Default)]
enum Role {
    #[default]
    Follower,
    Candidate(Candidacy),
    /// A quorum has promised the replica's ballot.
    Leader(Leadership),
}

impl Role {
    /// The ballot under which the replica contends for or holds the leadership.
    fn ballot(&self) -> Option<Ballot> {
        match self {
            Self::Follower => None,
            Self::Candidate(candidacy) => Some(candidacy.ballot),
            Self::Leader(leadership) => Some(leadership.ballot),
        }
    }
}

/// The replica of one partition.
#[derive(Clone, Debug)]
pub struct PartitionReplica {
    node: NodeId,
    incarnation: u64,
    voters: Vec<NodeId>,
    acceptor: Acceptor,
    role: Role,
    /// The highest counter of any ballot that is known.
    highest_counter: u64,
}

impl PartitionReplica {
    /// A follower with what its disk holds, and no voters yet. No other process of the node has the same incarnation: ballots are
    /// unique by it.
    pub fn new(node: NodeId, incarnation: u64, acceptor: Acceptor) -> Self {
        let highest_counter = acceptor.promised().counter;
        let (voters, role) = (Vec::new(), Role::Follower);
        Self { node, incarnation, voters, acceptor, role, highest_counter }
    }

    /// Sets the voters. Leadership under other voters ends.
    pub fn set_voters(&mut self, voters: &[NodeId], out: &mut Vec<Effect>) {
        self.step_down(out);
        self.voters = voters.to_vec();
    }

    /// What this replica has promised, accepted and committed.
    pub fn acceptor(&self) -> &Acceptor {
        &self.acceptor
    }

    /// What this replica has promised and accepted, for one whose contents agree with the committed ones up to a change.
    pub fn transferred_state(&self, known: Option<u64>) -> TransferredState {
        let has_accepted = self.acceptor.accepted().sequence > 0;
        let accepted = has_accepted.then(|| self.acceptor.accepted_update(known));
        TransferredState { promised: self.acceptor.promised(), accepted }
    }

    /// Whether [`PartitionReplica::merge`] would keep all that another replica has accepted.
    pub fn can_merge(&self, other: &TransferredState) -> bool {
        self.acceptor.can_merge(other.accepted.as_ref())
    }

    /// Merges what another replica has promised and accepted, where that is newer. The caller makes the promise and the update, if one
    /// is returned, durable.
    pub fn merge(&mut self, other: &TransferredState) -> Option<StateUpdate> {
        self.highest_counter = self.highest_counter.max(other.promised.counter);
        self.acceptor.merge(other)
    }

    /// The number of the last change that is known to be committed; 0 for none.
    pub fn committed_sequence(&self) -> u64 {
        self.acceptor.committed().sequence
    }

    /// Whether this replica is a candidate or the leader.
    pub fn is_contending(&self) -> bool {
        self.role.ballot().is_some()
    }

    /// The ballot under which this replica leads, if it does: a quorum has promised it.
    pub fn leader_ballot(&self) -> Option<Ballot> {
        match &self.role {
            Role::Leader(leadership) => Some(leadership.ballot),
            _ => None,
        }
    }

    /// The leader's ballot, while no proposal is in flight.
    pub fn ready_ballot(&self) -> Option<Ballot> {
        self.leader_ballot().filter(|_| self.in_flight() == 0)
    }

    /// Whether [`PartitionReplica::propose`] may be called: all changes of the leaders before are committed, and not too many of this
    /// one are in flight.
    pub fn can_propose(&self) -> bool {
        match &self.role {
            Role::Leader(leadership) => {
                self.committed_sequence() >= leadership.recovered && self.in_flight() < MAX_IN_FLIGHT
            }
            _ => false,
        }
    }

    fn in_flight(&self) -> u64 {
        self.acceptor.accepted().sequence.saturating_sub(self.committed_sequence())
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
        self.role = Role::Candidate(Candidacy { ballot, promises: BTreeMap::new(), sent_at: now });
        self.send_to_voters(&self.prepare(ballot, Some(self.committed_sequence())), out);
    }

    fn prepare(&self, ballot: Ballot, committed: Option<u64>) -> ConsensusMessage {
        ConsensusMessage::Prepare { ballot, committed, accepted: self.acceptor.accepted() }
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

    /// Proposes a change: the registers to write, and those to remove. Returns its number; `None`, without effect, unless
    /// [`PartitionReplica::can_propose`].
    pub fn propose(
        &mut self,
        now: Nanos,
        changes: Vec<(RegisterKey, Option<RegisterValue>)>,
        out: &mut Vec<Effect>,
    ) -> Option<u64> {
        let ballot = self.leader_ballot().filter(|_| self.can_propose())?;
        let update = self.acceptor.next_change(ballot, changes);
        let sequence = update.version.sequence;
        self.send_proposal(now, update, out);
        Some(sequence)
    }

    /// Accepts an update under the leader's own ballot, and sends each voter what it lacks of the result.
    fn send_proposal(&mut self, now: Nanos, update: StateUpdate, out: &mut Vec<Effect>) {
        if self.acceptor.accept(&update) != AcceptOutcome::Accepted {
            // Something newer was committed by another leader.
            return self.step_down(out);
        }
        let Version { ballot, sequence } = update.version;
        out.push(Effect::Accept(update, self.node, ConsensusMessage::Accepted { ballot, sequence }));
        let Role::Leader(leadership) = &mut self.role else { return };
        let mut voters_by_known: BTreeMap<Option<u64>, Vec<NodeId>> = BTreeMap::new();
        let voters: Vec<NodeId> = leadership.voters().collect();
        for voter in voters {
            let Some(progress) = leadership.progress_mut(voter) else { continue };
            let known = progress.send(now, sequence);
            if voter != self.node {
                voters_by_known.entry(known).or_default().push(voter);
            }
        }
        for (known, voters) in voters_by_known {
            let update = self.acceptor.accepted_update(known);
            out.push(Effect::Broadcast(voters, ConsensusMessage::Accept(update)));
        }
    }

    /// Asks the voters whether the leader's ballot is still the highest; `number` comes back with [`Effect::QuorumConfirmed`]. Such
    /// messages are not sent again: the caller cancels a confirmation that takes too long.
    pub fn confirm(&mut self, number: u64, out: &mut Vec<Effect>) {
        let Role::Leader(leadership) = &mut self.role else { return };
        let ballot = leadership.ballot;
        leadership.confirmations.insert(number, BTreeSet::new());
        self.send_to_voters(&ConsensusMessage::Confirm { ballot, request_id: number }, out);
    }

    /// Drops a confirmation that nothing waits for any longer.
    pub fn cancel_confirmation(&mut self, number: u64) {
        if let Role::Leader(leadership) = &mut self.role {
            leadership.confirmations.remove(&number);
        }
    }

    /// Sends again to voters whose answer is overdue.
    pub fn tick(&mut self, now: Nanos, out: &mut Vec<Effect>) {
        match &mut self.role {
            Role::Follower => {}
            Role::Candidate(candidacy) => {
                if now < candidacy.sent_at + MIN_RETRY_INTERVAL {
                    return;
                }
                candidacy.sent_at = now;
                let (ballot, promises) = (candidacy.ballot, &candidacy.promises);
                let missing = self.voters.iter().filter(|voter| !promises.contains_key(*voter));
                let missing: Vec<NodeId> = missing.copied().collect();
                let message = self.prepare(ballot, Some(self.committed_sequence()));
                out.extend(missing.into_iter().map(|voter| Effect::Send(voter, message.clone())));
            }
            Role::Leader(leadership) => {
                // The replica's own acknowledgement waits for its disk, and is not lost.
                for voter in leadership.overdue(now).into_iter().filter(|voter| *voter != self.node) {
                    let Some(progress) = leadership.progress_mut(voter) else { continue };
                    let update = self.acceptor.accepted_update(progress.send_again(now));
                    out.push(Effect::Send(voter, ConsensusMessage::Accept(update)));
                }
            }
        }
    }

    /// Handles a message. A replica that is no voter ignores requests for its vote: any answer could break a promise that another
    /// replica of its node has made. Messages of releases before registers are translated before they come here, see
    /// [`super::whole_values`].
    pub fn handle(
        &mut self,
        now: Nanos,
        from: NodeId,
        message: ConsensusMessage,
        is_voter: bool,
        out: &mut Vec<Effect>,
    ) {
        match message {
            ConsensusMessage::Prepare { ballot, committed, accepted } if is_voter => {
                self.on_prepare(from, ballot, committed, accepted, out);
            }
            ConsensusMessage::Accept(update) if is_voter => self.on_accept(from, update, out),
            ConsensusMessage::Confirm { ballot, request_id: number } if is_voter => {
                self.on_confirm(from, ballot, number, out);
            }
            ConsensusMessage::Prepare { .. }
            | ConsensusMessage::Accept(_)
            | ConsensusMessage::Confirm { .. }
            | ConsensusMessage::WholePrepare { .. }
            | ConsensusMessage::WholePromise { .. }
            | ConsensusMessage::WholeAccept(_)
            | ConsensusMessage::WholeFetch { .. }
            | ConsensusMessage::WholeCommitted(_) => {}
            ConsensusMessage::Promise { ballot, accepted, committed } => {
                self.on_promise(now, from, ballot, Promised { accepted, committed }, out);
            }
            ConsensusMessage::Accepted { ballot, sequence } => {
                self.on_accepted(now, from, ballot, sequence, out);
            }
            ConsensusMessage::Behind { ballot, sequence, committed } => {
                self.on_behind(now, from, Version { ballot, sequence }, committed, out);
            }
            ConsensusMessage::Confirmed { ballot, request_id } => {
                self.on_confirmed(from, ballot, request_id, out)
            }
            ConsensusMessage::Reject { promised } => self.observe_ballot(promised, out),
            ConsensusMessage::Commit { ballot, sequence } => {
                self.on_commit(from, Version { ballot, sequence }, out);
            }
            ConsensusMessage::Fetch { committed } => {
                if committed.is_none_or(|committed| committed < self.committed_sequence()) {
                    let update = self.acceptor.committed_update(committed);
                    out.push(Effect::Send(from, ConsensusMessage::Committed(update)));
                }
            }
            ConsensusMessage::Committed(update) => self.on_committed(from, update, out),
        }
    }

    fn reject(&self, to: NodeId, out: &mut Vec<Effect>) {
        let promised = self.acceptor.promised();
        out.push(Effect::Send(to, ConsensusMessage::Reject { promised }));
    }

    fn on_prepare(
        &mut self,
        from: NodeId,
        ballot: Ballot,
        committed: Option<u64>,
        candidates_version: Version,
        out: &mut Vec<Effect>,
    ) {
        if ballot < self.acceptor.promised() {
            return self.reject(from, out);
        }
        self.promise(ballot, out);
        let is_newer = self.acceptor.accepted() > candidates_version || committed.is_none();
        let has_accepted = self.acceptor.accepted().sequence > 0;
        let accepted = (is_newer && has_accepted).then(|| self.acceptor.accepted_update(committed));
        let committed = self.committed_sequence();
        let message = ConsensusMessage::Promise { ballot, accepted, committed };
        out.push(Effect::Promise(ballot, from, message));
    }

    fn on_accept(&mut self, from: NodeId, update: StateUpdate, out: &mut Vec<Effect>) {
        let Version { ballot, sequence } = update.version;
        if ballot < self.acceptor.promised() {
            return self.reject(from, out);
        }
        self.promise(ballot, out);
        match self.acceptor.accept(&update) {
            AcceptOutcome::Accepted => {
                let message = ConsensusMessage::Accepted { ballot, sequence };
                out.push(Effect::Accept(update, from, message));
            }
            AcceptOutcome::AlreadyAccepted => {
                let sequence = self.acceptor.accepted().sequence;
                let message = ConsensusMessage::Accepted { ballot, sequence };
                out.push(Effect::SendWhenDurable(from, message));
            }
            AcceptOutcome::Outdated => {}
            AcceptOutcome::Behind => {
                let committed = Some(self.committed_sequence());
                out.push(Effect::Send(from, ConsensusMessage::Behind { ballot, sequence, committed }));
            }
            AcceptOutcome::Diverged => {
                out.push(Effect::Diverged);
                let message = ConsensusMessage::Behind { ballot, sequence, committed: None };
                out.push(Effect::Send(from, message));
            }
        }
    }

    fn on_confirm(&mut self, from: NodeId, ballot: Ballot, number: u64, out: &mut Vec<Effect>) {
        if ballot != self.acceptor.promised() {
            return self.reject(from, out);
        }
        out.push(Effect::Send(from, ConsensusMessage::Confirmed { ballot, request_id: number }));
    }

    /// A change is committed. Under a higher ballot than this leader's that shows that a quorum has promised that ballot: a proposal in
    /// flight here may have been committed by the other leader, and would never be answered.
    fn on_commit(&mut self, from: NodeId, version: Version, out: &mut Vec<Effect>) {
        self.observe_ballot(version.ballot, out);
        match self.acceptor.commit(version) {
            CommitOutcome::Committed => {
                out.push(Effect::Committed(CommitRecord::Accepted(version)));
            }
            CommitOutcome::AlreadyCommitted => {}
            CommitOutcome::Unknown => {
                let committed = Some(self.committed_sequence());
                out.push(Effect::Send(from, ConsensusMessage::Fetch { committed }));
            }
        }
    }

    /// Contents that another replica knows to be committed, see [`PartitionReplica::on_commit`].
    fn on_committed(&mut self, from: NodeId, update: StateUpdate, out: &mut Vec<Effect>) {
        self.observe_ballot(update.version.ballot, out);
        match self.acceptor.learn(&update) {
            LearnOutcome::Learned => {
                out.push(Effect::Committed(CommitRecord::Learned(update)));
            }
            LearnOutcome::NotNewer => {}
            LearnOutcome::Behind => {
                let committed = Some(self.committed_sequence());
                out.push(Effect::Send(from, ConsensusMessage::Fetch { committed }));
            }
            LearnOutcome::Diverged => {
                out.push(Effect::Diverged);
                out.push(Effect::Send(from, ConsensusMessage::Fetch { committed: None }));
            }
        }
    }

    /// Promises a ballot. Leadership under a lower one ends.
    fn promise(&mut self, ballot: Ballot, out: &mut Vec<Effect>) {
        self.acceptor.promise(ballot);
        self.observe_ballot(ballot, out);
    }

    fn on_promise(
        &mut self,
        now: Nanos,
        from: NodeId,
        ballot: Ballot,
        promised: Promised,
        out: &mut Vec<Effect>,
    ) {
        let quorum_size = self.quorum_size();
        let Role::Candidate(candidacy) = &mut self.role else { return };
        if candidacy.ballot != ballot || !self.voters.contains(&from) {
            return;
        }
        if !self.acceptor.can_merge(promised.accepted.as_ref()) {
            out.push(Effect::Diverged);
            out.push(Effect::Send(from, self.prepare(ballot, None)));
            return;
        }
        candidacy.promises.insert(from, promised);
        if candidacy.promises.len() >= quorum_size {
            let promises = std::mem::take(&mut candidacy.promises);
            self.become_leader(now, ballot, promises, out);
        }
    }

    /// Leads under a ballot that a quorum has promised. Whether the newest version among theirs and this replica's own was committed
    /// is unknown: proposing it again commits it either way.
    fn become_leader(
        &mut self,
        now: Nanos,
        ballot: Ballot,
        promises: BTreeMap<NodeId, Promised>,
        out: &mut Vec<Effect>,
    ) {
        let own_committed = self.committed_sequence();
        let progress = |voter: &NodeId| {
            let committed = promises.get(voter).map_or(own_committed, |promised| promised.committed);
            (*voter, Progress::new(Some(committed)))
        };
        let progress = self.voters.iter().map(progress).collect();
        let newest = promises.into_values().filter_map(|promised| promised.accepted);
        let newest = newest.max_by_key(|update| update.version);
        let newest = newest.filter(|update| update.version > self.acceptor.accepted());
        let mut recovered = newest.unwrap_or_else(|| self.acceptor.accepted_update(Some(own_committed)));
        let sequence = recovered.version.sequence;
        self.role = Role::Leader(Leadership::new(ballot, sequence, progress));
        if sequence > 0 {
            recovered.version.ballot = ballot;
            self.send_proposal(now, recovered, out);
        }
    }

    fn on_accepted(&mut self, now: Nanos, from: NodeId, of: Ballot, sequence: u64, out: &mut Vec<Effect>) {
        let Role::Leader(leadership) = &mut self.role else { return };
        if leadership.ballot != of {
            return;
        }
        let Some(progress) = leadership.progress_mut(from) else { return };
        progress.acknowledge(now, sequence);
        let Some(sequence) = leadership.quorum_sequence() else { return };
        let version = Version { ballot: of, sequence };
        if self.acceptor.commit(version) == CommitOutcome::Committed {
            out.push(Effect::Committed(CommitRecord::Accepted(version)));
        }
    }

    /// A voter lacks what is before an update.
    fn on_behind(
        &mut self,
        now: Nanos,
        from: NodeId,
        of: Version,
        committed: Option<u64>,
        out: &mut Vec<Effect>,
    ) {
        let Role::Leader(leadership) = &mut self.role else { return };
        if leadership.ballot != of.ballot {
            return;
        }
        let Some(progress) = leadership.progress_mut(from) else { return };
        if progress.is_behind(now, of.sequence, committed) {
            let update = self.acceptor.accepted_update(committed);
            out.push(Effect::Send(from, ConsensusMessage::Accept(update)));
        }
    }

    fn on_confirmed(&mut self, from: NodeId, of: Ballot, number: u64, out: &mut Vec<Effect>) {
        let quorum_size = self.quorum_size();
        let Role::Leader(leadership) = &mut self.role else { return };
        let is_current = leadership.ballot == of;
        let Some(confirmed_by) = leadership.confirmations.get_mut(&number).filter(|_| is_current) else {
            return;
        };
        if self.voters.contains(&from) {
            confirmed_by.insert(from);
        }
        if confirmed_by.len() >= quorum_size {
            leadership.confirmations.remove(&number);
            out.push(Effect::QuorumConfirmed(number));
        }
    }
}
