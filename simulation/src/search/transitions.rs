//! The effect of each step of a search, and the invariants that are checked after the step.

use ivyhatch_control::Record;
use ivyhatch_control::consensus::partition::{CommitRecord, Effect};
use ivyhatch_control::storage::durable_state::DurableState;
use ivyhatch_protocol::ids::{Ballot, NodeId, ReplicaId};
use ivyhatch_protocol::peer::ConsensusMessage;
use ivyhatch_protocol::registers::{RegisterKey, StateUpdate};

use super::member::PendingWrite;
use super::{Cluster, Envelope, InFlight, PARTITION, ProtocolBug, Step, node_id, node_number};

impl Cluster {
    /// Applies a step. Returns a description of the violation that the step causes, if any.
    pub(super) fn transition(&mut self, step: Step) -> Option<String> {
        match step {
            Step::StartElection(number) => return self.start_election(number),
            Step::Propose(number) => return self.propose(number),
            Step::Deliver(position) => {
                let InFlight { from, to, envelope } = self.messages.remove(position);
                return self.receive(from, to, envelope);
            }
            Step::CompleteWrite(number) => return self.complete_write(number),
            Step::Crash(number) => {
                self.budget.failures -= 1;
                self.restart(number);
            }
            Step::LoseDisk(number) => {
                self.budget.failures -= 1;
                self.lose_disk(number);
            }
            Step::DecideMembership { replaced, successor } => self.decide_membership(replaced, successor),
            Step::AdoptMembership(number) => self.adopt_membership(number),
            Step::TransferState { to, from } => self.transfer_state(to, from),
        }
        None
    }

    fn start_election(&mut self, number: usize) -> Option<String> {
        self.budget.elections -= 1;
        let mut effects = Vec::new();
        self.members[number].partition.start_election(0, &mut effects);
        self.carry_out(number, effects)
    }

    /// Proposes a value that no other proposal has, for one of two registers.
    fn propose(&mut self, number: usize) -> Option<String> {
        self.budget.proposals -= 1;
        let mut effects = Vec::new();
        let value = vec![number as u8, self.budget.proposals as u8];
        let register = RegisterKey::Zone((self.budget.proposals % 2).to_string());
        self.members[number].partition.propose(0, vec![(register, Some(value.into()))], &mut effects);
        self.carry_out(number, effects)
    }

    fn complete_write(&mut self, number: usize) -> Option<String> {
        let member = &mut self.members[number];
        let write = member.writes.pop_front()?;
        for record in write.records {
            if let Record::Joined(joined) = record {
                member.joined_generation = Some(joined);
            }
            member.disk.apply(record);
        }
        let (to, envelope) = write.then_send?;
        self.send(number, to, envelope)
    }

    fn lose_disk(&mut self, number: usize) {
        self.lost_disk = Some(number);
        let newest = self.newest_membership().clone();
        let member = &mut self.members[number];
        let (replica, joined) = (member.replica, member.joined_generation);
        member.disk = DurableState { membership: Some(newest), ..DurableState::default() };
        if self.bug == ProtocolBug::VotesAfterDiskLoss {
            member.disk.joined = joined;
        } else {
            member.replica = ReplicaId { disk: replica.disk + 1, ..replica };
        }
        self.restart(number);
    }

    /// Restarts a process. The messages in flight to the old process are lost.
    fn restart(&mut self, number: usize) {
        self.members[number].restart();
        self.messages.retain(|in_flight| in_flight.to != number);
    }

    fn decide_membership(&mut self, replaced: usize, successor: usize) {
        self.budget.replacements -= 1;
        let newest = self.newest_membership();
        let replaced = newest.voters.iter().find(|voter| voter.replica.node == node_id(replaced));
        if let Some(voter) = replaced {
            let next = newest.with_replacement(voter.replica, self.members[successor].replica, "");
            self.memberships.push(next);
        }
    }

    fn adopt_membership(&mut self, number: usize) {
        let newest = self.newest_membership().clone();
        let votes_early = self.bug == ProtocolBug::VotesBeforeStateTransfer;
        let member = &mut self.members[number];
        member.set_membership(newest.clone());
        member.writes.push_back(PendingWrite { records: vec![Record::Membership(newest)], then_send: None });
        if let Some(joined) = member.joining_generation().filter(|_| votes_early) {
            member.joined_generation = Some(joined);
        }
    }

    /// Adds the state of node `from` to the states that node `to` has collected. Once `to` has the states of a quorum, it queues a write
    /// of the merged state.
    fn transfer_state(&mut self, to: usize, from: usize) {
        let source = &self.members[from];
        let known = self.members[to].partition.committed_sequence();
        let (replica, mut state) = (source.replica, source.partition.transferred_state(Some(known)));
        if self.bug == ProtocolBug::IgnoresPromises {
            state.promised =
                state.accepted.as_ref().map_or_else(Ballot::default, |update| update.version.ballot);
        }
        if self.bug == ProtocolBug::SnapshotBetweenAccepts
            && let Some(accepted) = &mut state.accepted
        {
            let committed = source.partition.acceptor().committed_update(Some(known));
            *accepted = StateUpdate { version: accepted.version, ..committed };
        }
        let member = &mut self.members[to];
        member.collector.add(replica, vec![(PARTITION, state)]);
        let Some(joined) = member.joining_generation() else { return };
        let Some(complete) = member.collector.complete(&member.membership) else { return };
        let Some(collected) = complete.get(&PARTITION) else { return };
        member.has_collected = true;
        let merged = collected.iter().filter_map(|state| member.partition.merge(state));
        let mut records: Vec<Record> =
            merged.map(|update| Record::AcceptedUpdate(PARTITION, update)).collect();
        records.push(Record::Promised(PARTITION, member.partition.acceptor().promised()));
        records.push(Record::Joined(joined));
        member.writes.push_back(PendingWrite { records, then_send: None });
    }

    /// Handles the arrival of a message. Messages of another generation are dropped, except commits, which are valid under any generation.
    fn receive(&mut self, from: usize, to: usize, envelope: Envelope) -> Option<String> {
        let Envelope { generation, message } = envelope;
        let member = &mut self.members[to];
        let is_commit = matches!(message, ConsensusMessage::Commit { .. } | ConsensusMessage::Committed(_));
        let ignores_generation = self.bug == ProtocolBug::IgnoresGeneration;
        if generation != member.membership.generation && !ignores_generation && !is_commit {
            return None;
        }
        let votes = member.votes();
        let mut effects = Vec::new();
        member.partition.handle(0, node_id(from), message, votes, &mut effects);
        self.carry_out(to, effects)
    }

    /// Sends a message. A node receives its own messages at once.
    fn send(&mut self, from: usize, to: NodeId, mut envelope: Envelope) -> Option<String> {
        let to = node_number(to);
        if let ConsensusMessage::Promise { accepted: Some(update), .. } = &mut envelope.message {
            self.omit_register(update);
        }
        if to == from {
            return self.receive(from, to, envelope);
        }
        self.messages.push(InFlight { from, to, envelope });
        None
    }

    /// Omits a register from the contents in a promise if the injected bug is one that does so.
    fn omit_register(&self, update: &mut StateUpdate) {
        let hides = self.bug == ProtocolBug::DigestHidesRegister;
        if !hides && self.bug != ProtocolBug::PromiseOmitsRegister {
            return;
        }
        if let Some(omitted) = update.writes.pop().filter(|_| hides) {
            update.digest = update.digest.wrapping_sub(omitted.digest());
        }
    }

    fn carry_out(&mut self, number: usize, effects: Vec<Effect>) -> Option<String> {
        let generation = self.members[number].membership.generation;
        for effect in effects {
            let violation = match effect {
                Effect::Send(to, message) => self.send(number, to, Envelope { generation, message }),
                Effect::Promise(ballot, to, message) => {
                    let record = Record::Promised(PARTITION, ballot);
                    self.write_then_send(number, record, to, Envelope { generation, message });
                    None
                }
                Effect::Broadcast(voters, message) => voters
                    .into_iter()
                    .find_map(|to| self.send(number, to, Envelope { generation, message: message.clone() })),
                Effect::Accept(update, to, message) => {
                    let record = Record::AcceptedUpdate(PARTITION, update);
                    self.write_then_send(number, record, to, Envelope { generation, message });
                    None
                }
                Effect::SendWhenDurable(to, message) => {
                    self.send_when_durable(number, to, Envelope { generation, message })
                }
                Effect::Committed(record) => self.committed(number, record),
                Effect::Diverged => Some(format!("node {number} has other contents than a sender")),
                Effect::QuorumConfirmed(_) | Effect::SteppedDown => None,
            };
            if violation.is_some() {
                return violation;
            }
        }
        self.check_leader(number)
    }

    fn write_then_send(&mut self, number: usize, record: Record, to: NodeId, envelope: Envelope) {
        let write = PendingWrite { records: vec![record], then_send: Some((to, envelope)) };
        self.members[number].writes.push_back(write);
    }

    /// Sends a message once the pending writes of a node are durable.
    fn send_when_durable(&mut self, number: usize, to: NodeId, envelope: Envelope) -> Option<String> {
        let writes = &mut self.members[number].writes;
        if writes.is_empty() {
            return self.send(number, to, envelope);
        }
        writes.push_back(PendingWrite { records: Vec::new(), then_send: Some((to, envelope)) });
        None
    }

    /// Handles a commit at a node. Nothing waits for the commit record, so it is added to the last pending write, or is durable at once if
    /// there is none; this keeps the number of states small.
    fn committed(&mut self, number: usize, record: CommitRecord) -> Option<String> {
        let record = match record {
            CommitRecord::Accepted(version) => Record::Committed(PARTITION, version.ballot, version.sequence),
            CommitRecord::Learned(update) => Record::Learned(PARTITION, update),
        };
        let member = &mut self.members[number];
        match member.writes.back_mut() {
            Some(last) => last.records.push(record),
            None => member.disk.apply(record),
        }
        self.check_committed(number)
    }

    /// Checks invariant 5 of `docs/design/control-safety.md`: a sequence number identifies one version of the contents.
    fn check_committed(&mut self, number: usize) -> Option<String> {
        let acceptor = self.members[number].partition.acceptor();
        let (sequence, digest) = (acceptor.committed().sequence, acceptor.registers().digest());
        let known = *self.committed.entry(sequence).or_insert(digest);
        (known != digest).then(|| format!("node {number}: two values under sequence number {sequence}"))
    }

    /// Checks invariant 6 of `docs/design/control-safety.md`: the leader with the highest ballot has every change that was committed
    /// before. A leader with a lower ballot may still be in the ready state; its proposals are rejected.
    fn check_leader(&self, number: usize) -> Option<String> {
        let member = &self.members[number];
        let committed = self.committed.keys().next_back().copied().unwrap_or_default();
        let known = member.partition.committed_sequence();
        let is_ready = member.partition.can_propose() && member.votes();
        let is_behind = is_ready && known < committed && self.leads_highest_ballot(number);
        is_behind.then(|| format!("leader {number} is ready at {known}, but {committed} is committed"))
    }

    /// Whether a node is leader under the newest membership that any node has adopted, and no node has promised a higher ballot.
    fn leads_highest_ballot(&self, number: usize) -> bool {
        let member = &self.members[number];
        let Some(ballot) = member.partition.leader_ballot() else { return false };
        let newest = self.members.iter().map(|member| member.membership.generation).max();
        newest == Some(member.membership.generation)
            && self.members.iter().all(|member| member.partition.acceptor().promised() <= ballot)
    }
}
