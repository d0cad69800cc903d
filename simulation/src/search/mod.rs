//! Exhaustive search of the interleavings of one partition among its voters, to a given depth: every message may arrive at any time
//! or never, every write may complete late or be lost with its process, processes may crash or lose their disks, leaders change, and
//! a replica replaces another, with every node learning of the new membership at any time.
//!
//! The partition, the records, the membership and the state transfer are the real ones. A membership is decided in one step, which
//! is all that its consensus amounts to here: nothing depends on it until a node adopts it. Left out: duplicated messages, retries,
//! rejections (a leader that receives none goes on for longer, which is worse), forwarding, and the confirmation of reads.

mod cluster;
mod enabled_steps;
mod explore;
mod member;
mod transitions;

use ivyhatch_protocol::ids::{NodeId, PartitionId, ReplicaId};
use ivyhatch_protocol::peer::ConsensusMessage;

pub use cluster::Cluster;
pub use explore::{Counterexample, SearchResult, search};

/// The partition that is searched.
const PARTITION: PartitionId = PartitionId::CONFIGURATION;
/// The generation of the first membership.
const FIRST_GENERATION: u64 = 1;

/// A step of one interleaving. Nodes are numbered from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The node starts an election.
    StartElection(usize),
    /// The node, a leader that is ready, proposes a value of its own.
    Propose(usize),
    /// The message at this position of [`Cluster::messages`] arrives.
    Deliver(usize),
    /// The node's oldest pending write is durable.
    CompleteWrite(usize),
    /// The node's process ends and starts again with its durable state.
    Crash(usize),
    /// The node crashes and loses its disk: it starts again as another replica.
    LoseDisk(usize),
    /// The next membership is decided.
    DecideMembership {
        /// The node whose voter is replaced.
        replaced: usize,
        /// The node whose present replica becomes a voter; the same node after the loss of its disk.
        successor: usize,
    },
    /// The node learns of the newest membership.
    AdoptMembership(usize),
    /// A new voter receives the state of another node, all of which is durable there.
    TransferState {
        /// The new voter.
        to: usize,
        /// The node whose state it is.
        from: usize,
    },
}

/// A consensus message and the generation under which it was sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Envelope {
    /// The generation.
    pub generation: u64,
    /// The message.
    pub message: ConsensusMessage,
}

/// A message in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct InFlight {
    /// The sending node.
    pub from: usize,
    /// The receiving node.
    pub to: usize,
    /// The message.
    pub envelope: Envelope,
}

/// How many steps of the limited kinds an interleaving may still have.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Budget {
    /// Elections.
    pub elections: usize,
    /// Proposals.
    pub proposals: usize,
    /// Crashes and lost disks.
    pub failures: usize,
    /// Replaced voters.
    pub replacements: usize,
}

/// A bug of the protocol that is injected on purpose, to show that the search finds it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum ProtocolBug {
    /// No bug.
    #[default]
    None,
    /// A node that has lost its disk goes on as the replica it was, and votes. Violates invariant 3 of
    /// `docs/design/control-safety.md`.
    VotesAfterDiskLoss,
    /// A new voter votes before its state transfer is complete. Violates invariant 4.
    VotesBeforeStateTransfer,
    /// A state transfer holds accepted values and no promises. Violates invariant 4.
    IgnoresPromises,
    /// A vote of another generation is counted. Violates invariant 1.
    IgnoresGeneration,
    /// A promise leaves out a register that the candidate lacks; its digest is that of the whole contents.
    PromiseOmitsRegister,
    /// The same with a digest that hides it from the candidate. Violates invariant 4.
    DigestHidesRegister,
    /// A state transfer has the number of the last accepted change and the contents before it. Violates invariant 4.
    SnapshotBetweenAccepts,
}

/// The address of a node.
fn node_id(number: usize) -> NodeId {
    NodeId(number as u32 + 1)
}

/// The inverse of [`node_id`].
fn node_number(node: NodeId) -> usize {
    node.0 as usize - 1
}

/// The replica on a node's disk after it was formatted this many times.
fn replica_id(number: usize, times_formatted: u64) -> ReplicaId {
    ReplicaId { node: node_id(number), disk: times_formatted }
}
