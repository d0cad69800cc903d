//! What each step of a search does.

use ivyhatch_control::Record;
use ivyhatch_control::durable_state::DurableState;
use ivyhatch_control::partition::{Effect, PartitionReplica};
use ivyhatch_control::state_transfer::StateCollector;
use ivyhatch_protocol::ids::{NodeId, ReplicaId};
use ivyhatch_protocol::peer::ConsensusMessage;

use super::member::Write;
use super::{Core, Fault, PART, Sent, Step, node};

impl Core {
    pub(super) fn do_step(&mut self, step: Step) -> Option<String> {
        match step {
            Step::Elect(number) => {
                self.budget.elections -= 1;
                let mut effects = Vec::new();
                self.members[number].partition.start_election(0, &mut effects);
                self.carry_out(number, effects)
            }
            Step::Propose(number) => {
                self.budget.proposals -= 1;
                let mut effects = Vec::new();
                let value = vec![number as u8, self.budget.proposals as u8];
                self.members[number].partition.propose(0, value, &mut effects);
                self.carry_out(number, effects)
            }
            Step::Deliver(place) => {
                let (from, to, message) = self.messages.remove(place);
                self.receive(from, to, message)
            }
            Step::Sync(number) => self.sync(number),
            Step::Crash(number) => {
                self.budget.harms -= 1;
                self.restart(number);
                None
            }
            Step::Wipe(number) => {
                self.budget.harms -= 1;
                self.wipe(number);
                None
            }
            Step::Decide(replaced, successor) => {
                self.decide(replaced, successor);
                None
            }
            Step::Adopt(number) => {
                self.adopt(number);
                None
            }
            Step::Collect(number, source) => {
                self.collect(number, source);
                None
            }
        }
    }

    fn sync(&mut self, number: usize) -> Option<String> {
        let member = &mut self.members[number];
        let write = member.writes.pop_front()?;
        for record in write.records {
            if let Record::Joined(joined) = record {
                member.joined = Some(joined);
            }
            member.disk.apply(record);
        }
        let (to, message) = write.then?;
        self.send(number, to, message)
    }

    fn wipe(&mut self, number: usize) {
        self.wiped = Some(number);
        let newest = self.newest().clone();
        let member = &mut self.members[number];
        let (replica, joined) = (member.replica, member.joined);
        member.disk = DurableState { membership: Some(newest), ..DurableState::default() };
        if self.fault == Fault::VotesAfterWipe {
            member.disk.joined = joined;
        } else {
            member.replica = ReplicaId { disk: replica.disk + 1, ..replica };
        }
        self.restart(number);
    }

    fn restart(&mut self, number: usize) {
        let member = &mut self.members[number];
        member.incarnation += 1;
        member.writes.clear();
        member.membership = member.disk.membership.clone().unwrap_or_default();
        member.joined = member.disk.joined;
        member.collection = StateCollector::default();
        member.collected = false;
        let state = member.disk.partitions.get(&PART).cloned().unwrap_or_default();
        member.partition = PartitionReplica::new(node(number), member.incarnation, state);
        let voters: Vec<NodeId> = member.membership.nodes().collect();
        member.partition.set_voters(&voters, &mut Vec::new());
        // What is on its way to a process that has ended is lost.
        self.messages.retain(|(_, to, _)| *to != number);
    }

    fn decide(&mut self, replaced: usize, successor: usize) {
        self.budget.replacements -= 1;
        let newest = self.newest();
        let Some(voter) = newest.voters.iter().find(|voter| voter.replica.node == node(replaced)) else {
            return;
        };
        let next = newest.with_replacement(voter.replica, self.members[successor].replica, "");
        self.memberships.push(next);
    }

    fn adopt(&mut self, number: usize) {
        let newest = self.newest().clone();
        let early = self.fault == Fault::VotesBeforeState;
        let member = &mut self.members[number];
        member.membership = newest.clone();
        member.collection = StateCollector::default();
        member.collected = false;
        let voters: Vec<NodeId> = newest.nodes().collect();
        member.partition.set_voters(&voters, &mut Vec::new());
        member.writes.push_back(Write { records: vec![Record::Membership(newest)], then: None });
        if let Some(joined) = member.joining().filter(|_| early) {
            member.joined = Some(joined);
        }
    }

    fn collect(&mut self, number: usize, source: usize) {
        let (from, mut state) =
            (self.members[source].replica, self.members[source].partition.state().clone());
        if self.fault == Fault::IgnoresPromises {
            state.promised = state.accepted.as_ref().map_or_else(Default::default, |value| value.ballot);
        }
        let member = &mut self.members[number];
        member.collection.add(from, vec![(PART, state)]);
        let Some(joined) = member.joining() else { return };
        let Some(complete) = member.collection.complete(&member.membership) else { return };
        let Some(collected) = complete.get(&PART) else { return };
        member.collected = true;
        member.partition.merge(collected);
        let state = member.partition.state().clone();
        let mut records = vec![Record::Promised(PART, state.promised)];
        records.extend(state.accepted.map(|value| Record::Accepted(PART, value)));
        records.push(Record::Joined(joined));
        member.writes.push_back(Write { records, then: None });
    }

    fn receive(&mut self, from: usize, to: usize, (generation, message): Sent) -> Option<String> {
        let member = &mut self.members[to];
        let learns = matches!(message, ConsensusMessage::Commit { .. } | ConsensusMessage::Committed(_));
        let same = generation == member.membership.generation || self.fault == Fault::IgnoresGeneration;
        if !same && !learns {
            return None;
        }
        let votes = member.votes();
        let mut effects = Vec::new();
        member.partition.handle(0, node(from), message, votes, &mut effects);
        self.carry_out(to, effects)
    }

    fn send(&mut self, from: usize, to: NodeId, message: Sent) -> Option<String> {
        let to = to.0 as usize - 1;
        if to == from {
            return self.receive(from, to, message);
        }
        self.messages.push((from, to, message));
        None
    }

    fn carry_out(&mut self, number: usize, effects: Vec<Effect>) -> Option<String> {
        let generation = self.members[number].membership.generation;
        for effect in effects {
            let writes = &mut self.members[number].writes;
            let broken = match effect {
                Effect::Send(to, message) => self.send(number, to, (generation, message)),
                Effect::Promise(ballot, to, message) => {
                    let records = vec![Record::Promised(PART, ballot)];
                    writes.push_back(Write { records, then: Some((to, (generation, message))) });
                    None
                }
                Effect::Accept(value, to, message) => {
                    let records = vec![Record::Accepted(PART, value)];
                    writes.push_back(Write { records, then: Some((to, (generation, message))) });
                    None
                }
                Effect::Committed(value) => {
                    let known = self.committed.entry(value.sequence).or_insert_with(|| value.value.clone());
                    let other = *known != value.value;
                    other.then(|| format!("two values under number {}", value.sequence))
                }
                Effect::QuorumConfirmed(_) | Effect::SteppedDown => None,
            };
            if broken.is_some() {
                return broken;
            }
        }
        let member = &self.members[number];
        let last = self.committed.keys().next_back().copied().unwrap_or_default();
        let behind = member.partition.ready_ballot().is_some()
            && member.partition.committed_sequence() < last
            && member.votes();
        // A former leader may still think that it is ready; a proposal of its is rejected. What a quorum can promise must be known.
        (behind && self.is_highest(number)).then(|| {
            format!(
                "leader {number} is ready at {}, and {last} is committed",
                member.partition.committed_sequence()
            )
        })
    }
}
