//! The invariants that the oracle checks, and their violations.
//!
//! The stored names stand in recorded runs, in the output of a hunt and in the design pages; they stay as they are.

use serde::{Deserialize, Serialize};

/// An invariant. The numbers are those of `docs/design/control-safety.md`; those without a number stand in
/// `docs/design/control-simulation.md` alone.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, strum::Display,
)]
#[strum(serialize_all = "snake_case")]
pub enum Invariant {
    /// Invariant 5: one sequence number of a partition stands for one value.
    #[serde(rename = "OneValueANumber")] // wire name
    #[strum(serialize = "one_value_a_number")] // wire name
    SingleValuePerSequence,
    /// Invariant 9: no node and no watch client goes back to an older sequence number within one incarnation.
    #[serde(rename = "NoWayBack")] // wire name
    #[strum(serialize = "no_way_back")] // wire name
    MonotonicSequence,
    /// Invariant 8: at most one change on top of a revision is applied.
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
    /// The configuration in effect is the one that was sent under its revision.
    #[serde(rename = "AsSent")] // wire name
    #[strum(serialize = "as_sent")] // wire name
    ContentIntegrity,
    /// Invariant 7: a read returns no older revision than was acknowledged before it began.
    #[serde(rename = "FreshRead")] // wire name
    #[strum(serialize = "fresh_read")] // wire name
    LinearizableRead,
    /// Routers in contact have an acknowledged configuration within its deadline.
    #[serde(rename = "ConfiguredInTime")] // wire name
    #[strum(serialize = "configured_in_time")] // wire name
    ConfigurationDeadline,
    /// Routers in contact have an acknowledged evacuation, or its end, within its deadline. Also shows a breach of invariant 10.
    #[serde(rename = "EvacuatedInTime")] // wire name
    #[strum(serialize = "evacuated_in_time")] // wire name
    EvacuationDeadline,
    /// While the core is stable, requests have a definite response within the deadline.
    #[serde(rename = "AcknowledgedInTime")] // wire name
    #[strum(serialize = "acknowledged_in_time")] // wire name
    ResponseDeadline,
    /// Invariants 1, 3 and 4: a machine that has lost its disk votes only after a quorum has transferred its state.
    #[serde(rename = "WipedIsSilent")] // wire name
    #[strum(serialize = "wiped_is_silent")] // wire name
    NoVoteAfterDiskLoss,
    /// One number of the server list stands for one list.
    #[serde(rename = "OneListANumber")] // wire name
    #[strum(serialize = "one_list_a_number")] // wire name
    SingleServerListPerNumber,
    /// Invariant 2: one generation stands for one membership, and differs from the one before in one voter.
    #[serde(rename = "OneMembershipAGeneration")] // wire name
    #[strum(serialize = "one_membership_a_generation")] // wire name
    SingleMembershipPerGeneration,
    /// Invariant 1: a replica votes only under a generation of which it is a voter.
    OnlyVotersVote,
    /// After the last fault all nodes and routers have the same state, and one node reads the server list (invariant 11).
    #[serde(rename = "Converges")] // wire name
    #[strum(serialize = "converges")] // wire name
    Convergence,
    /// At no moment two callers count themselves holder of one lock.
    MutualExclusion,
    /// The fencing tokens of a lock rise from holder to holder.
    FencingOrder,
    /// The numbers of a name are unique, and above those that were given before they were asked for.
    NumberOrder,
    /// The revisions of a group are unique and rise, and a put follows the revision that it expects.
    RevisionOrder,
    /// A cell is read at no lower revision than was known before.
    FreshCellRead,
    /// A cell shows only what was put to it, under one revision.
    CellIntegrity,
    /// A put whose tries were all rejected is never shown.
    RejectedCallNeverApplied,
    /// A watch shows each put after its revision, in order.
    WatchCompleteness,
    /// A reply is one to its call.
    CallIntegrity,
    /// After the last fault calls are answered.
    CallDeadline,
}

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Violation {
    /// The invariant that does not hold.
    #[serde(rename = "rule")] // wire name
    pub invariant: Invariant,
    /// When it was observed, in milliseconds of virtual time.
    pub at_ms: u64,
    /// What was observed.
    #[serde(rename = "text")] // wire name
    pub description: String,
}
