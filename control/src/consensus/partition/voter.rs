//! The replica as a voter, which promises ballots and accepts changes, and as a learner of commits.

use ivyhatch_protocol::ids::{Ballot, NodeId};
use ivyhatch_protocol::peer::ConsensusMessage;
use ivyhatch_protocol::registers::{StateUpdate, Version};

use super::super::acceptor::{AcceptOutcome, CommitOutcome, LearnOutcome};
use super::{CommitRecord, Effect, PartitionReplica};

impl PartitionReplica {
    pub(super) fn on_prepare(
        &mut self,
        from: NodeId,
        ballot: Ballot,
        committed: Option<u64>,
        candidate_version: Version,
        out: &mut Vec<Effect>,
    ) {
        if ballot < self.acceptor.promised() {
            return self.reject(from, out);
        }
        self.promise(ballot, out);
        let is_newer = self.acceptor.accepted() > candidate_version || committed.is_none();
        let has_accepted = self.acceptor.accepted().sequence > 0;
        let accepted = (is_newer && has_accepted).then(|| self.acceptor.accepted_update(committed));
        let committed = self.committed_sequence();
        let message = ConsensusMessage::Promise { ballot, accepted, committed };
        out.push(Effect::Promise(ballot, from, message));
    }

    pub(super) fn on_accept(&mut self, from: NodeId, update: StateUpdate, out: &mut Vec<Effect>) {
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

    pub(super) fn on_confirm(&mut self, from: NodeId, ballot: Ballot, number: u64, out: &mut Vec<Effect>) {
        if ballot != self.acceptor.promised() {
            return self.reject(from, out);
        }
        out.push(Effect::Send(from, ConsensusMessage::Confirmed { ballot, request_id: number }));
    }

    /// Handles a commit. A commit under a higher ballot than the one under which this replica leads shows that a quorum has promised the
    /// higher ballot, and this replica steps down: the other leader may have committed a proposal that is in flight here, whose request
    /// would otherwise never be answered.
    pub(super) fn on_commit(&mut self, from: NodeId, version: Version, out: &mut Vec<Effect>) {
        self.observe_ballot(version.ballot, out);
        match self.acceptor.commit(version) {
            CommitOutcome::Committed => {
                out.push(Effect::Committed(CommitRecord::Accepted(version)));
            }
            CommitOutcome::AlreadyCommitted => {}
            CommitOutcome::Unknown => self.fetch_newer(from, out),
        }
    }

    /// Handles contents that another replica knows to be committed. A higher ballot is handled as in [`PartitionReplica::on_commit`].
    pub(super) fn on_committed(&mut self, from: NodeId, update: StateUpdate, out: &mut Vec<Effect>) {
        self.observe_ballot(update.version.ballot, out);
        match self.acceptor.learn(&update) {
            LearnOutcome::Learned => {
                out.push(Effect::Committed(CommitRecord::Learned(update)));
            }
            LearnOutcome::NotNewer => {}
            LearnOutcome::Behind => self.fetch_newer(from, out),
            LearnOutcome::Diverged => {
                out.push(Effect::Diverged);
                out.push(Effect::Send(from, ConsensusMessage::Fetch { committed: None }));
            }
        }
    }

    /// Requests from another replica the changes that were committed after the last commit known here.
    fn fetch_newer(&self, from: NodeId, out: &mut Vec<Effect>) {
        let committed = Some(self.committed_sequence());
        out.push(Effect::Send(from, ConsensusMessage::Fetch { committed }));
    }

    /// Promises a ballot. Leadership under a lower ballot ends.
    fn promise(&mut self, ballot: Ballot, out: &mut Vec<Effect>) {
        self.acceptor.promise(ballot);
        self.observe_ballot(ballot, out);
    }

    fn reject(&self, to: NodeId, out: &mut Vec<Effect>) {
        let promised = self.acceptor.promised();
        out.push(Effect::Send(to, ConsensusMessage::Reject { promised }));
    }
}
