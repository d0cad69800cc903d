//! What the judge is shown of a control node: what it has in force, and whom it votes for.

use ivyhatch_control::ControlPlane;
use ivyhatch_control::partition_state::PartitionState;
use ivyhatch_protocol::hash::{fnv1a_hash, hash_mix};
use ivyhatch_protocol::ids::{Ballot, PartitionId};
use ivyhatch_protocol::peer::{ConsensusMessage, PeerMessage};
use ivyhatch_protocol::watch::ServerListPosition;
use speedy::Writable;

use super::{World, address};
use crate::demand::digest;

impl World<'_> {
    /// Shows the judge a vote: who gives it, and under which membership.
    pub(super) fn judge_vote(&mut self, machine: usize, message: &PeerMessage) {
        let PeerMessage::Consensus { generation, message: vote, .. } = message else { return };
        let votes = matches!(
            vote,
            ConsensusMessage::Promise { .. }
                | ConsensusMessage::Accepted { .. }
                | ConsensusMessage::Confirmed { .. }
        );
        let replica = self.machines[machine].node.as_ref().and_then(ControlPlane::replica);
        if let Some(replica) = replica.filter(|_| votes) {
            self.oracle.vote(*generation, replica);
        }
    }

    /// Shows the judge what a node has in force.
    pub(super) fn see(&mut self, machine: usize) {
        let this = &mut self.machines[machine];
        let Some(node) = &this.node else { return };
        let who = (address(machine).0, this.life);
        if let Some(membership) = node.membership().filter(|known| known.generation != this.generation) {
            this.generation = membership.generation;
            self.oracle.membership(membership);
        }
        for part in PartitionId::all() {
            let (sequence, state) = node.committed_state(part);
            let seen = &mut this.seen[usize::from(part.0)];
            if sequence == *seen {
                continue;
            }
            *seen = sequence;
            match state {
                Some(PartitionState::Configuration(configured)) => {
                    let document = &configured.document;
                    let digest = digest(document);
                    self.oracle.seen(who, part, sequence, digest);
                    self.oracle.in_force(sequence, document.revision, digest);
                }
                Some(PartitionState::Evacuations(evacuated)) => {
                    let bytes = evacuated.write_to_vec().unwrap_or_default();
                    self.oracle.seen(who, part, sequence, fnv1a_hash(&bytes));
                }
                None => {}
            }
        }
        let position = node.server_list().position();
        if position != this.list {
            this.list = position;
            let ServerListPosition { ballot, number } = position;
            if ballot != Ballot::default() {
                let told = node.server_list().servers(self.now);
                let digest = told.fold(0, |sum, one| {
                    hash_mix(sum ^ fnv1a_hash(one.id.as_bytes()) ^ u64::from(one.draining))
                });
                let reader = hash_mix(ballot.incarnation ^ hash_mix(u64::from(ballot.node.0)));
                self.oracle.list((ballot.counter, reader, number), digest);
            }
        }
    }
}
