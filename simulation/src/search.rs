//! All interleavings of one partition among its voters, to a stated depth: every message may come at any time or never, every write
//! may end late or be lost with its process, processes may crash or lose their disks, leadership changes hands, and one replica takes
//! another's seat, with every node learning of the new membership at any time.
//!
//! The partition, the records, the membership and the collection of state are the real ones, and the first leader has a quorum's
//! promises when the search begins. A membership is decided in one step, which is what the agreement on it amounts to: nothing
//! depends on it until a node adopts it. Left out: messages that come twice, retries, rejections (a leader that hears none goes on
//! for longer, which is worse), forwarding, and confirmation of reads.

mod member;
mod transitions;

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

use ivyhatch_control::durable_state::DurableState;
use ivyhatch_control::partition::PartitionReplica;
use ivyhatch_control::state_transfer::StateCollector;
use ivyhatch_protocol::ids::{NodeId, PartitionId, ReplicaId};
use ivyhatch_protocol::peer::{AcceptorState, ConsensusMessage, Membership, Voter};

use member::Member;

const PART: PartitionId = PartitionId::CONFIGURATION;
const FIRST_GENERATION: u64 = 1;

/// A step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// A node starts an election.
    Elect(usize),
    /// A leader that is ready proposes a value of its own.
    Propose(usize),
    /// The message in this place comes.
    Deliver(usize),
    /// A node's oldest write is on the disk.
    Sync(usize),
    /// A process ends, and comes back with what its disk holds.
    Crash(usize),
    /// The same, and its disk is lost: it comes back as another replica.
    Wipe(usize),
    /// The next membership is decided: the first node's voter gives its seat to the replica that is on the second node now.
    Decide(usize, usize),
    /// A node learns of the newest membership.
    Adopt(usize),
    /// A new voter is handed out the state of another node, all of which is on that node's disk.
    Collect(usize, usize),
}

/// A message and the generation under which it was sent.
type Sent = (u64, ConsensusMessage);

/// How many of what may still happen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Budget {
    /// Elections.
    pub elections: usize,
    /// Proposals.
    pub proposals: usize,
    /// Crashes and lost disks.
    pub harms: usize,
    /// Replicas that take another's seat.
    pub replacements: usize,
}

/// A known fault in what a new voter or a member of an older generation does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Fault {
    /// None.
    #[default]
    None,
    /// A replica whose disk was lost votes as the one that it was.
    VotesAfterWipe,
    /// A new voter counts before it holds the state.
    VotesBeforeState,
    /// A new voter takes over what was accepted, and not what was promised.
    IgnoresPromises,
    /// A vote that was given under another generation counts.
    IgnoresGeneration,
}

/// Members, what is on its way between them, and what was committed.
#[derive(Clone, Debug)]
pub struct Core {
    members: Vec<Member>,
    memberships: Vec<Membership>,
    messages: Vec<(usize, usize, Sent)>,
    committed: BTreeMap<u64, Vec<u8>>,
    budget: Budget,
    wiped: Option<usize>,
    fault: Fault,
}

/// What a search has seen.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Seen {
    /// States that differ.
    pub states: usize,
    /// Steps on the longest path.
    pub depth: usize,
    /// Steps to the first state that breaks a promise, if there is one, and what it breaks.
    pub broken: Option<(Vec<Step>, String)>,
}

fn node(number: usize) -> NodeId {
    NodeId(number as u32 + 1)
}

fn replica(number: usize, formats: u64) -> ReplicaId {
    ReplicaId { node: node(number), disk: formats }
}

impl Core {
    /// So many voters, and so many other nodes that could take a seat.
    pub fn new(voters: usize, spares: usize, budget: Budget) -> Self {
        let voter = |number| Voter {
            replica: replica(number, 1),
            zone: String::new(),
            joined_generation: FIRST_GENERATION,
        };
        let membership = Membership {
            generation: FIRST_GENERATION,
            voters: (0..voters).map(voter).collect(),
            previous: Vec::new(),
        };
        let member = |number: usize| {
            let disk = DurableState { membership: Some(membership.clone()), ..DurableState::default() };
            let mut partition = PartitionReplica::new(node(number), 1, AcceptorState::default());
            partition.set_voters(&membership.nodes().collect::<Vec<_>>(), &mut Vec::new());
            Member {
                replica: replica(number, 1),
                membership: membership.clone(),
                joined: None,
                partition,
                incarnation: 1,
                disk,
                writes: VecDeque::new(),
                collection: StateCollector::default(),
                collected: false,
            }
        };
        Self {
            members: (0..voters + spares).map(member).collect(),
            memberships: vec![membership.clone()],
            messages: Vec::new(),
            committed: BTreeMap::new(),
            budget,
            wiped: None,
            fault: Fault::None,
        }
    }

    /// The same with a known fault.
    #[must_use]
    pub fn with_fault(self, fault: Fault) -> Self {
        Self { fault, ..self }
    }

    /// The same once the first node has become the leader.
    pub fn led(voters: usize, spares: usize, budget: Budget) -> Self {
        let budget_with_election = Budget { elections: budget.elections + 1, ..budget };
        let mut core = Self::new(voters, spares, budget_with_election);
        core.take(Step::Elect(0));
        while !core.messages.is_empty() || core.members.iter().any(|member| !member.writes.is_empty()) {
            if core.messages.is_empty() {
                let writer = core.members.iter().position(|member| !member.writes.is_empty());
                writer.into_iter().for_each(|number| drop(core.take(Step::Sync(number))));
            } else {
                core.take(Step::Deliver(0));
            }
        }
        core
    }

    /// What is on its way: from, to, and what.
    pub fn messages(&self) -> &[(usize, usize, Sent)] {
        &self.messages
    }

    /// Whether a node votes now.
    pub fn votes(&self, number: usize) -> bool {
        self.members[number].votes()
    }

    /// Whether a node leads.
    pub fn leads(&self, number: usize) -> bool {
        self.members[number].partition.leader_ballot().is_some()
    }

    /// Drops what would change nothing if it came.
    fn drop_idle(&mut self) {
        let (members, fault) = (&self.members, self.fault);
        self.messages.retain(|(_, to, (generation, message))| {
            let member = &members[*to];
            let partition = &member.partition;
            let promised = partition.state().promised;
            let older = *generation < member.membership.generation && fault != Fault::IgnoresGeneration;
            match message {
                ConsensusMessage::Reject { .. } => false,
                ConsensusMessage::Promise { ballot, .. } => {
                    !older && partition.is_contending() && partition.leader_ballot() != Some(*ballot)
                }
                ConsensusMessage::Accepted { ballot, .. } => {
                    !older && partition.leader_ballot() == Some(*ballot) && partition.ready_ballot().is_none()
                }
                ConsensusMessage::Prepare { ballot } => !older && *ballot >= promised,
                ConsensusMessage::Accept(value) => !older && value.ballot >= promised,
                _ => true,
            }
        });
    }

    fn newest(&self) -> &Membership {
        &self.memberships[self.memberships.len() - 1]
    }

    /// The replacements that could be decided now.
    fn replacements(&self) -> Vec<Step> {
        let newest = self.newest();
        let is_voter = |number: usize| newest.voter(self.members[number].replica).is_some();
        let successors: Vec<usize> = (0..self.members.len()).filter(|number| !is_voter(*number)).collect();
        let seats: Vec<usize> = newest
            .nodes()
            .map(|node| node.0 as usize - 1)
            .filter(|number| !successors.contains(number))
            .collect();
        let mut steps = Vec::new();
        for successor in successors {
            if newest.nodes().any(|voter| voter == node(successor)) {
                steps.push(Step::Decide(successor, successor));
            } else {
                steps.extend(seats.iter().map(|seat| Step::Decide(*seat, successor)));
            }
        }
        steps
    }

    /// The steps that can be taken.
    pub fn steps(&self) -> Vec<Step> {
        let mut steps: Vec<Step> = (0..self.messages.len()).map(Step::Deliver).collect();
        if self.budget.replacements > 0 {
            steps.extend(self.replacements());
        }
        let newest = self.newest().generation;
        for (number, member) in self.members.iter().enumerate() {
            let votes = member.votes();
            if !member.writes.is_empty() {
                steps.push(Step::Sync(number));
            }
            if votes && self.budget.proposals > 0 && member.partition.ready_ballot().is_some() {
                steps.push(Step::Propose(number));
            }
            let elects = number < 2 || number >= self.newest().voters.len();
            if votes && self.budget.elections > 0 && !member.partition.is_contending() && elects {
                steps.push(Step::Elect(number));
            }
            if self.budget.harms > 0 {
                steps.push(Step::Crash(number));
                if self.wiped.is_none() {
                    steps.push(Step::Wipe(number));
                }
            }
            if member.membership.generation < newest {
                steps.push(Step::Adopt(number));
            }
            if member.joining().is_some() && !member.collected {
                let generation = member.membership.generation;
                let hands_out = |other: &usize| {
                    let other = &self.members[*other];
                    other.membership.generation == generation && other.hands_out()
                };
                let others = (0..self.members.len()).filter(|other| *other != number).filter(hands_out);
                steps.extend(others.map(|other| Step::Collect(number, other)));
            }
        }
        steps
    }

    /// Takes a step. What it breaks, if anything.
    pub fn take(&mut self, step: Step) -> Option<String> {
        let broken = self.do_step(step);
        self.drop_idle();
        broken
    }

    /// Whether no member has promised a higher ballot than this leader's, under a newer membership or its own.
    fn is_highest(&self, number: usize) -> bool {
        let member = &self.members[number];
        let Some(ballot) = member.partition.leader_ballot() else { return false };
        let newest = self.members.iter().map(|member| member.membership.generation).max();
        newest == Some(member.membership.generation)
            && self.members.iter().all(|member| member.partition.state().promised <= ballot)
    }

    fn mark(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        // The order of messages on their way tells nothing.
        let mut messages: Vec<u64> = self
            .messages
            .iter()
            .map(|message| {
                let mut one = DefaultHasher::new();
                message.hash(&mut one);
                one.finish()
            })
            .collect();
        messages.sort_unstable();
        messages.hash(&mut hasher);
        format!("{:?}{:?}", self.members, self.committed).hash(&mut hasher);
        (self.memberships.len(), self.budget, self.wiped).hash(&mut hasher);
        hasher.finish()
    }
}

/// Goes through all states that can be reached in so many steps, or the first so many of them; nearest first.
pub fn search(from: Core, depth: usize, most: usize) -> Seen {
    let mut seen = HashSet::from([from.mark()]);
    let mut paths: Vec<(usize, Step)> = Vec::new();
    let mut front: Vec<(Core, usize)> = vec![(from, usize::MAX)];
    let mut result = Seen::default();
    for level in 1..=depth {
        let mut next = Vec::new();
        for (core, path) in front {
            for step in core.steps() {
                let mut after = core.clone();
                if let Some(text) = after.take(step) {
                    let mut steps = vec![step];
                    let mut at = path;
                    while let Some((before, step)) = paths.get(at) {
                        steps.push(*step);
                        at = *before;
                    }
                    steps.reverse();
                    return Seen { states: seen.len(), depth: level, broken: Some((steps, text)) };
                }
                if seen.len() < most && seen.insert(after.mark()) {
                    paths.push((path, step));
                    next.push((after, paths.len() - 1));
                }
            }
        }
        result.depth = level;
        front = next;
        if front.is_empty() || seen.len() >= most {
            break;
        }
    }
    result.states = seen.len();
    result
}
