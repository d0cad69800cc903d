//! The state of a search: the nodes, the messages in flight, and the committed contents.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use ivyhatch_protocol::peer::{ConsensusMessage, Membership, Voter};

use super::member::Member;
use super::{Budget, FIRST_GENERATION, InFlight, ProtocolBug, Step, replica_id};

/// A state of the search: the nodes of one partition, the messages in flight between them, and the committed contents.
#[derive(Clone, Debug)]
pub struct Cluster {
    pub(super) members: Vec<Member>,
    /// All decided memberships, in ascending order of their generations.
    pub(super) memberships: Vec<Membership>,
    pub(super) messages: Vec<InFlight>,
    /// The digest of the committed contents after each committed sequence number.
    pub(super) committed: BTreeMap<u64, u64>,
    pub(super) budget: Budget,
    /// The node that has lost its disk; an interleaving has at most one such node.
    pub(super) lost_disk: Option<usize>,
    pub(super) bug: ProtocolBug,
}

impl Cluster {
    /// A cluster without a leader, of `voters` nodes that vote and `spare_nodes` additional nodes that may replace a voter.
    pub fn new(voters: usize, spare_nodes: usize, budget: Budget) -> Self {
        let voter = |number| Voter {
            replica: replica_id(number, 1),
            zone: String::new(),
            joined_generation: FIRST_GENERATION,
        };
        let membership = Membership {
            generation: FIRST_GENERATION,
            voters: (0..voters).map(voter).collect(),
            previous: Vec::new(),
        };
        Self {
            members: (0..voters + spare_nodes).map(|number| Member::new(number, &membership)).collect(),
            memberships: vec![membership],
            messages: Vec::new(),
            committed: BTreeMap::new(),
            budget,
            lost_disk: None,
            bug: ProtocolBug::None,
        }
    }

    /// A cluster in which node 0 is leader: the election is complete and not charged to `budget`, and no message is in flight.
    pub fn with_leader(voters: usize, spare_nodes: usize, budget: Budget) -> Self {
        let budget_with_election = Budget { elections: budget.elections + 1, ..budget };
        let mut cluster = Self::new(voters, spare_nodes, budget_with_election);
        cluster.apply(Step::StartElection(0));
        loop {
            let writer = cluster.members.iter().position(|member| !member.writes.is_empty());
            if !cluster.messages.is_empty() {
                cluster.apply(Step::Deliver(0));
            } else if let Some(writer) = writer {
                cluster.apply(Step::CompleteWrite(writer));
            } else {
                return cluster;
            }
        }
    }

    /// The same cluster with this bug injected.
    #[must_use]
    pub fn with_bug(self, bug: ProtocolBug) -> Self {
        Self { bug, ..self }
    }

    /// The messages in flight.
    pub fn messages(&self) -> &[InFlight] {
        &self.messages
    }

    /// Whether a node may vote now: its replica is a voter and has its state.
    pub fn votes(&self, number: usize) -> bool {
        self.members[number].votes()
    }

    /// Whether a node is the leader of its partition.
    pub fn leads(&self, number: usize) -> bool {
        self.members[number].partition.leader_ballot().is_some()
    }

    /// Applies a step that must be in [`Self::enabled_steps`]. Returns a description of the violation that the step causes, if any.
    pub fn apply(&mut self, step: Step) -> Option<String> {
        let violation = self.transition(step);
        self.drop_ineffective_messages();
        violation
    }

    /// The newest decided membership, whether or not any node has adopted it.
    pub(super) fn newest_membership(&self) -> &Membership {
        &self.memberships[self.memberships.len() - 1]
    }

    /// Drops messages that would have no effect on arrival, to keep the number of states small.
    fn drop_ineffective_messages(&mut self) {
        let (members, bug) = (&self.members, self.bug);
        self.messages.retain(|in_flight| {
            let member = &members[in_flight.to];
            let partition = &member.partition;
            let promised = partition.acceptor().promised();
            let is_older = in_flight.envelope.generation < member.membership.generation
                && bug != ProtocolBug::IgnoresGeneration;
            match &in_flight.envelope.message {
                ConsensusMessage::Reject { .. } => false,
                ConsensusMessage::Promise { ballot, .. } => {
                    !is_older && partition.is_contending() && partition.leader_ballot() != Some(*ballot)
                }
                ConsensusMessage::Accepted { ballot, .. } | ConsensusMessage::Behind { ballot, .. } => {
                    let counts = partition.leader_ballot() == Some(*ballot);
                    !is_older && counts && partition.ready_ballot().is_none()
                }
                ConsensusMessage::Prepare { ballot, .. } => !is_older && *ballot >= promised,
                ConsensusMessage::Accept(update) => !is_older && update.version.ballot >= promised,
                _ => true,
            }
        });
    }

    /// A hash of the state. The order of the messages in flight does not affect the fingerprint.
    pub(super) fn fingerprint(&self) -> u64 {
        let mut message_hashes: Vec<u64> = self.messages.iter().map(hash_of).collect();
        message_hashes.sort_unstable();
        let state = format!("{:?}{:?}", self.members, self.committed);
        hash_of(&(message_hashes, state, self.memberships.len(), self.budget, self.lost_disk))
    }
}

fn hash_of(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
