//! The replica as a candidate, which prepares a ballot, and as the leader, which proposes changes and commits each once a quorum has
//! stored it.

use std::collections::{BTreeMap, BTreeSet};

use ivyhatch_protocol::Nanos;
use ivyhatch_protocol::ids::{Ballot, NodeId};
use ivyhatch_protocol::peer::{ConsensusMessage, majority};
use ivyhatch_protocol::registers::{RegisterKey, RegisterValue, StateUpdate, Version};

use super::super::acceptor::{AcceptOutcome, CommitOutcome};
use super::leadership::{Leadership, MIN_RETRY_INTERVAL, Progress};
use super::{Candidacy, CommitRecord, Effect, PartitionReplica, Role, VoterPromise};

impl PartitionReplica {
    /// Starts an election: prepares a new ballot above all ballots seen so far.
    pub fn start_election(&mut self, now: Nanos, out: &mut Vec<Effect>) {
        self.highest_counter += 1;
        let ballot = Ballot { counter: self.highest_counter, node: self.node, incarnation: self.incarnation };
        self.role = Role::Candidate(Candidacy { ballot, promises: BTreeMap::new(), sent_at: now });
        self.send_to_voters(&self.prepare(ballot, Some(self.committed_sequence())), out);
    }

    fn prepare(&self, ballot: Ballot, committed: Option<u64>) -> ConsensusMessage {
        ConsensusMessage::Prepare { ballot, committed, accepted: self.acceptor.accepted() }
    }

    /// Proposes a change: the registers to write, and those to remove, whose value is `None`. Returns the sequence number of the change;
    /// returns `None` and does nothing unless [`PartitionReplica::can_propose`].
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

    /// Accepts an update under the leader's own ballot, and sends each voter the part of the result that the voter lacks.
    fn send_proposal(&mut self, now: Nanos, update: StateUpdate, out: &mut Vec<Effect>) {
        if self.acceptor.accept(&update) != AcceptOutcome::Accepted {
            // Another leader has committed a newer change.
            return self.step_down(out);
        }
        let Version { ballot, sequence } = update.version;
        out.push(Effect::Accept(update, self.node, ConsensusMessage::Accepted { ballot, sequence }));
        let Role::Leader(leadership) = &mut self.role else { return };
        let mut voters_by_base: BTreeMap<Option<u64>, Vec<NodeId>> = BTreeMap::new();
        let voters: Vec<NodeId> = leadership.voters().collect();
        for voter in voters {
            let Some(progress) = leadership.progress_mut(voter) else { continue };
            let base = progress.send(now, sequence);
            if voter != self.node {
                voters_by_base.entry(base).or_default().push(voter);
            }
        }
        for (base, voters) in voters_by_base {
            let update = self.acceptor.accepted_update(base);
            out.push(Effect::Broadcast(voters, ConsensusMessage::Accept(update)));
        }
    }

    /// Asks the voters whether the leader's ballot is still the highest; [`Effect::QuorumConfirmed`] returns `number`. The messages are
    /// not sent again when lost: the caller cancels a confirmation that takes too long.
    pub fn confirm(&mut self, number: u64, out: &mut Vec<Effect>) {
        let Role::Leader(leadership) = &mut self.role else { return };
        let ballot = leadership.ballot;
        leadership.confirmations.insert(number, BTreeSet::new());
        self.send_to_voters(&ConsensusMessage::Confirm { ballot, request_id: number }, out);
    }

    /// Drops a confirmation that no request waits for any longer.
    pub fn cancel_confirmation(&mut self, number: u64) {
        if let Role::Leader(leadership) = &mut self.role {
            leadership.confirmations.remove(&number);
        }
    }

    /// Sends messages again to voters whose response is overdue.
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
                // This replica's own acknowledgement waits for the local disk only, and can't be lost.
                for voter in leadership.overdue(now).into_iter().filter(|voter| *voter != self.node) {
                    let Some(progress) = leadership.progress_mut(voter) else { continue };
                    let update = self.acceptor.accepted_update(progress.send_again(now));
                    out.push(Effect::Send(voter, ConsensusMessage::Accept(update)));
                }
            }
        }
    }

    pub(super) fn on_promise(
        &mut self,
        now: Nanos,
        from: NodeId,
        ballot: Ballot,
        promised: VoterPromise,
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

    /// Begins to lead under a ballot that a quorum has promised. Whether the newest version that the quorum or this replica has accepted
    /// was committed is unknown: proposing that version again commits it in either case.
    fn become_leader(
        &mut self,
        now: Nanos,
        ballot: Ballot,
        promises: BTreeMap<NodeId, VoterPromise>,
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

    pub(super) fn on_accepted(
        &mut self,
        now: Nanos,
        from: NodeId,
        accepted_ballot: Ballot,
        sequence: u64,
        out: &mut Vec<Effect>,
    ) {
        let Role::Leader(leadership) = &mut self.role else { return };
        if leadership.ballot != accepted_ballot {
            return;
        }
        let Some(progress) = leadership.progress_mut(from) else { return };
        progress.acknowledge(now, sequence);
        let Some(sequence) = leadership.quorum_sequence() else { return };
        let version = Version { ballot: accepted_ballot, sequence };
        if self.acceptor.commit(version) == CommitOutcome::Committed {
            out.push(Effect::Committed(CommitRecord::Accepted(version)));
        }
    }

    /// Handles a voter's report that it lacks changes before the update of this version.
    pub(super) fn on_behind(
        &mut self,
        now: Nanos,
        from: NodeId,
        version: Version,
        committed: Option<u64>,
        out: &mut Vec<Effect>,
    ) {
        let Role::Leader(leadership) = &mut self.role else { return };
        if leadership.ballot != version.ballot {
            return;
        }
        let Some(progress) = leadership.progress_mut(from) else { return };
        if progress.on_behind(now, version.sequence, committed) {
            let update = self.acceptor.accepted_update(committed);
            out.push(Effect::Send(from, ConsensusMessage::Accept(update)));
        }
    }

    pub(super) fn on_confirmed(&mut self, from: NodeId, ballot: Ballot, number: u64, out: &mut Vec<Effect>) {
        let quorum_size = self.quorum_size();
        let Role::Leader(leadership) = &mut self.role else { return };
        let is_current = leadership.ballot == ballot;
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

    fn quorum_size(&self) -> usize {
        majority(self.voters.len())
    }

    fn send_to_voters(&self, message: &ConsensusMessage, out: &mut Vec<Effect>) {
        out.extend(self.voters.iter().map(|voter| Effect::Send(*voter, message.clone())));
    }
}
