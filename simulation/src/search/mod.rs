//! Exhaustive search of the interleavings of one partition among its voters, to a given depth. Every message may arrive at any time
//! or never, every write may complete late or be lost with its process, processes may crash or lose their disks, leaders may change,
//! and one replica may replace another, where each node adopts the new membership at any time.
//!
//! The partition, the records, the membership and the state transfer are the production code. A membership is decided in one step
//! instead of by consensus, because nothing depends on the decision until a node adopts it. Not modelled: duplicated messages, retries,
//! rejections (a leader that receives none continues for longer, which is the worse case), forwarding, and the confirmation of reads.

mod cluster;
mod enabled_steps;
mod explore;
mod member;
mod transitions;

use ivyhatch_protocol::ids::{NodeId, PartitionId, ReplicaId};
use ivyhatch_protocol::peer::ConsensusMessage;

pub use cluster::Cluster;
pub use explore::{Counterexample, SearchResult, search};

/// The partition whose interleavings are searched.
const PARTITION: PartitionId = PartitionId::CONFIGURATION;
/// The generation of the first membership.
const FIRST_GENERATION: u64 = 1;

/// A step of one interleaving. Nodes are numbered from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The node starts an election.
    StartElection(usize),
    /// The node, a leader that is ready, proposes a value that no other proposal has.
    Propose(usize),
    /// The message at this position of [`Cluster::messages`] arrives.
    Deliver(usize),
    /// The node's oldest pending write becomes durable.
    CompleteWrite(usize),
    /// The node's process ends and restarts with its durable state.
    Crash(usize),
    /// The node crashes and loses its disk, then restarts as another replica.
    LoseDisk(usize),
    /// The next membership is decided. Nodes adopt it in steps of their own.
    DecideMembership {
        /// The node whose voter is replaced.
        replaced: usize,
        /// The node whose current replica becomes a voter; equal to `replaced` after that node has lost its disk.
        successor: usize,
    },
    /// The node adopts the newest decided membership.
    AdoptMembership(usize),
    /// A new voter receives the state of another node, which has no pending writes.
    TransferState {
        /// The new voter.
        to: usize,
        /// The node that transfers its state.
        from: usize,
    },
}

/// A consensus message and the generation under which it was sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Envelope {
    /// The generation of the sender's membership when the message was sent.
    pub generation: u64,
    /// The consensus message.
    pub message: ConsensusMessage,
}

/// A message in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct InFlight {
    /// The sending node.
    pub from: usize,
    /// The receiving node.
    pub to: usize,
    /// The message with its generation.
    pub envelope: Envelope,
}

/// How many more steps of each limited kind an interleaving may contain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Budget {
    /// Remaining elections.
    pub elections: usize,
    /// Remaining proposals.
    pub proposals: usize,
    /// Remaining crashes and disk losses together.
    pub failures: usize,
    /// Remaining replacements of a voter.
    pub replacements: usize,
}

/// A protocol bug that tests inject to verify that the search detects it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum ProtocolBug {
    /// No bug.
    #[default]
    None,
    /// A node that has lost its disk keeps its replica id and votes. Violates invariant 3 of
    /// `docs/design/control-safety.md`.
    VotesAfterDiskLoss,
    /// A new voter votes before its state transfer is complete. Violates invariant 4.
    VotesBeforeStateTransfer,
    /// A state transfer contains accepted values but no promises. Violates invariant 4.
    IgnoresPromises,
    /// A vote under another generation is counted. Violates invariant 1.
    IgnoresGeneration,
    /// A promise omits a register that the candidate lacks, but its digest covers that register, so the candidate can detect the gap.
    PromiseOmitsRegister,
    /// A promise omits a register that the candidate lacks, and its digest does too, so the candidate cannot detect the gap. Violates
    /// invariant 4.
    DigestHidesRegister,
    /// A state transfer has the sequence number of the last accepted change but the contents before that change. Violates invariant 4.
    SnapshotBetweenAccepts,
}

/// The address of the node with this number.
fn node_id(number: usize) -> NodeId {
    NodeId(number as u32 + 1)
}

/// The inverse of [`node_id`].
fn node_number(node: NodeId) -> usize {
    node.0 as usize - 1
}

/// The id of the replica on a node's disk after the disk was formatted `times_formatted` times.
fn replica_id(number: usize, times_formatted: u64) -> ReplicaId {
    ReplicaId { node: node_id(number), disk: times_formatted }
}
