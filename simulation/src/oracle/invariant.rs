//! The invariants that the oracle checks, and their violations.
//!
//! The serialized names occur in recorded runs, in the output of the `hunt` subcommand and in the design pages; they must not change.

use serde::{Deserialize, Serialize};

/// An invariant of the control plane. The numbers are those of `docs/design/control-safety.md`; invariants without a number are
/// defined only in `docs/design/control-simulation.md`.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, strum::Display,
)]
#[strum(serialize_all = "snake_case")]
pub enum Invariant {
    /// Invariant 5: a sequence number of a partition identifies exactly one value.
    #[serde(rename = "OneValueANumber")] // wire name
    #[strum(serialize = "one_value_a_number")] // wire name
    SingleValuePerSequence,
    /// Invariant 9: the sequence number of a node or a watch client never decreases within one incarnation.
    #[serde(rename = "NoWayBack")] // wire name
    #[strum(serialize = "no_way_back")] // wire name
    MonotonicSequence,
    /// Invariant 8: at most one change with a given base revision is applied.
    #[serde(rename = "OneWinner")] // wire name
    #[strum(serialize = "one_winner")] // wire name
    CompareAndSet,
    /// Invariant 6: an acknowledged change is never lost.
    #[serde(rename = "NothingLost")] // wire name
    #[strum(serialize = "nothing_lost")] // wire name
    Durability,
    /// Invariant 8: a rejected change is never in effect.
    #[serde(rename = "RefusedStaysOut")] // wire name
    #[strum(serialize = "refused_stays_out")] // wire name
    RejectedNeverApplied,
    /// Invariant 8: the retry of an applied change is acknowledged, not rejected.
    #[serde(rename = "TakenStaysTaken")] // wire name
    #[strum(serialize = "taken_stays_taken")] // wire name
    IdempotentRetry,
    /// An invalid configuration is neither acknowledged nor in effect.
    #[serde(rename = "InvalidStaysOut")] // wire name
    #[strum(serialize = "invalid_stays_out")] // wire name
    InvalidNeverApplied,
    /// The configuration in effect has the content that an operator sent under its revision.
    #[serde(rename = "AsSent")] // wire name
    #[strum(serialize = "as_sent")] // wire name
    ContentIntegrity,
    /// Invariant 7: a read returns no older revision than was acknowledged before it began.
    #[serde(rename = "FreshRead")] // wire name
    #[strum(serialize = "fresh_read")] // wire name
    LinearizableRead,
    /// Routers in contact have an acknowledged configuration in effect within its deadline.
    #[serde(rename = "ConfiguredInTime")] // wire name
    #[strum(serialize = "configured_in_time")] // wire name
    ConfigurationDeadline,
    /// Routers in contact have an acknowledged evacuation, or its end, in effect within its deadline. Also detects violations of
    /// invariant 10.
    #[serde(rename = "EvacuatedInTime")] // wire name
    #[strum(serialize = "evacuated_in_time")] // wire name
    EvacuationDeadline,
    /// While the core is stable, operators' requests receive a definite response within the deadline.
    #[serde(rename = "AcknowledgedInTime")] // wire name
    #[strum(serialize = "acknowledged_in_time")] // wire name
    ResponseDeadline,
    /// Invariants 1, 3 and 4: a machine that has lost its disk votes only after a quorum has transferred its state.
    #[serde(rename = "WipedIsSilent")] // wire name
    #[strum(serialize = "wiped_is_silent")] // wire name
    NoVoteAfterDiskLoss,
    /// A version number of the server list identifies exactly one list.
    #[serde(rename = "OneListANumber")] // wire name
    #[strum(serialize = "one_list_a_number")] // wire name
    SingleServerListPerNumber,
    /// Invariant 2: a generation identifies exactly one membership, which differs from the previous one in one voter.
    #[serde(rename = "OneMembershipAGeneration")] // wire name
    #[strum(serialize = "one_membership_a_generation")] // wire name
    SingleMembershipPerGeneration,
    /// Invariant 1: a replica votes only under a generation of which it is a voter.
    OnlyVotersVote,
    /// After the last fault all nodes and routers have the same state, and one node reads the server list (invariant 11).
    #[serde(rename = "Converges")] // wire name
    #[strum(serialize = "converges")] // wire name
    Convergence,
    /// At no time do two callers both hold the same lock, by the lease that each caller computes for itself.
    MutualExclusion,
    /// The fencing tokens of a lock increase from holder to holder.
    FencingOrder,
    /// The numbers issued under a name are unique, and each is higher than those received before it was requested.
    NumberOrder,
    /// The revisions of a group are unique and increase, and a put follows the revision that it expects.
    RevisionOrder,
    /// A read of a cell returns no lower revision than was known when the read was sent.
    FreshCellRead,
    /// A cell holds only values that were put to it, each under one revision.
    CellIntegrity,
    /// A put whose attempts were all rejected never takes effect.
    RejectedCallNeverApplied,
    /// A watch returns every put after the given revision, in order.
    WatchCompleteness,
    /// The type of a reply matches the type of its call.
    CallIntegrity,
    /// After the last fault, calls receive a definite outcome within a deadline.
    CallDeadline,
}

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Violation {
    /// The violated invariant.
    #[serde(rename = "rule")] // wire name
    pub invariant: Invariant,
    /// When the violation was observed, in milliseconds of virtual time.
    pub at_ms: u64,
    /// The observation that violates the invariant, for a human reader.
    #[serde(rename = "text")] // wire name
    pub description: String,
}
