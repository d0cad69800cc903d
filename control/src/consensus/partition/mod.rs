//! The consensus on one partition, as one replica runs it. The replica is an acceptor, and also a candidate or the leader while it contends
//! for the partition's leadership or holds it.
//!
//! A candidate prepares a ballot on a quorum of the voters (`Prepare`, answered by `Promise`: Paxos phase 1). The newest version that
//! was accepted before is returned with the promises, as far as the candidate lacks it, and is proposed again under the new ballot.
//! From then on each change takes one round trip (`Accept`, answered by `Accepted`: phase 2) and is committed once a quorum has stored
//! it. Several changes may be in flight; a voter accepts changes in their order, so that they are committed in their order. A voter
//! rejects every ballot below the one that it has promised, so that of two leaders at least one fails. There is no log: a voter that
//! lacks changes reports the last change up to which its contents equal the leader's (`Behind`), and is sent the registers written since
//! that change. `Confirm` asks a quorum whether a ballot is still the highest, before a read is answered.

mod effect;
mod leadership;
mod proposer;
mod voter;

use std::collections::BTreeMap;

use ivyhatch_protocol::Nanos;
use ivyhatch_protocol::ids::{Ballot, NodeId};
use ivyhatch_protocol::peer::{ConsensusMessage, TransferredState};
use ivyhatch_protocol::registers::{StateUpdate, Version};

pub use self::effect::{CommitRecord, Effect};
use self::leadership::Leadership;
use super::acceptor::Acceptor;

/// The maximum number of uncommitted changes in flight in a partition.
pub const MAX_IN_FLIGHT: u64 = 16;

/// A voter's promise to a candidate, with the voter's accepted update as far as the candidate lacks it.
#[derive(Clone, Debug)]
struct VoterPromise {
    accepted: Option<StateUpdate>,
    committed: u64,
}

/// An election in progress: the replica prepares a ballot.
#[derive(Clone, Debug)]
struct Candidacy {
    ballot: Ballot,
    promises: BTreeMap<NodeId, VoterPromise>,
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
    /// The highest counter among the ballots seen so far.
    highest_counter: u64,
}

impl PartitionReplica {
    /// A follower with the state restored from disk, and no voters yet. `incarnation` must differ from that of every other process of
    /// the node, as it makes ballots unique.
    pub fn new(node: NodeId, incarnation: u64, acceptor: Acceptor) -> Self {
        let highest_counter = acceptor.promised().counter;
        let (voters, role) = (Vec::new(), Role::Follower);
        Self { node, incarnation, voters, acceptor, role, highest_counter }
    }

    /// Sets the voters. Leadership under the previous voters ends.
    pub fn set_voters(&mut self, voters: &[NodeId], out: &mut Vec<Effect>) {
        self.step_down(out);
        self.voters = voters.to_vec();
    }

    /// What this replica has promised, accepted and committed.
    pub fn acceptor(&self) -> &Acceptor {
        &self.acceptor
    }

    /// What this replica has promised and accepted, for a replica whose contents are the same up to the change `receiver_sequence`. The
    /// accepted contents are complete if `receiver_sequence` is `None`.
    pub fn transferred_state(&self, receiver_sequence: Option<u64>) -> TransferredState {
        let has_accepted = self.acceptor.accepted().sequence > 0;
        let accepted = has_accepted.then(|| self.acceptor.accepted_update(receiver_sequence));
        TransferredState { promised: self.acceptor.promised(), accepted }
    }

    /// Whether [`PartitionReplica::merge`] would lose nothing that another replica has accepted.
    pub fn can_merge(&self, other: &TransferredState) -> bool {
        self.acceptor.can_merge(other.accepted.as_ref())
    }

    /// Merges what another replica has promised and accepted, where that is newer. The caller makes the promise durable, and the update
    /// if one is returned.
    pub fn merge(&mut self, other: &TransferredState) -> Option<StateUpdate> {
        self.highest_counter = self.highest_counter.max(other.promised.counter);
        self.acceptor.merge(other)
    }

    /// The sequence number of the last change that is known to be committed; 0 for none.
    pub fn committed_sequence(&self) -> u64 {
        self.acceptor.committed().sequence
    }

    /// Whether this replica is a candidate or the leader.
    pub fn is_contending(&self) -> bool {
        self.role.ballot().is_some()
    }

    /// The ballot under which this replica leads, which a quorum has promised; `None` where this replica does not lead.
    pub fn leader_ballot(&self) -> Option<Ballot> {
        match &self.role {
            Role::Leader(leadership) => Some(leadership.ballot),
            _ => None,
        }
    }

    /// The ballot under which this replica leads; `None` also while a proposal is in flight.
    pub fn ready_ballot(&self) -> Option<Ballot> {
        self.leader_ballot().filter(|_| self.in_flight() == 0)
    }

    /// Whether [`PartitionReplica::propose`] may be called: this replica leads, all changes of earlier leaders are committed, and fewer
    /// than [`MAX_IN_FLIGHT`] changes are in flight.
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

    /// Ends this replica's leadership or election, if there is one.
    pub fn step_down(&mut self, out: &mut Vec<Effect>) {
        if self.is_contending() {
            self.role = Role::Follower;
            out.push(Effect::SteppedDown);
        }
    }

    /// Records another replica's ballot. Leadership under a lower ballot ends, and the next ballot of this replica will be higher.
    pub fn observe_ballot(&mut self, ballot: Ballot, out: &mut Vec<Effect>) {
        self.highest_counter = self.highest_counter.max(ballot.counter);
        if self.role.ballot().is_some_and(|own| own < ballot) {
            self.step_down(out);
        }
    }

    /// Handles a message. A replica that is not a voter ignores requests for its vote: any response could break a promise that the replica
    /// on an earlier disk of the same node has made. Messages of releases before registers are converted before this call, see
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
            | ConsensusMessage::LegacyPrepare { .. }
            | ConsensusMessage::LegacyPromise { .. }
            | ConsensusMessage::LegacyAccept(_)
            | ConsensusMessage::LegacyFetch { .. }
            | ConsensusMessage::LegacyCommitted(_) => {}
            ConsensusMessage::Promise { ballot, accepted, committed } => {
                self.on_promise(now, from, ballot, VoterPromise { accepted, committed }, out);
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
}
