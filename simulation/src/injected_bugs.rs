//! Known faults, put in on purpose by altering what goes between a node and its world. A hunt that does not find them proves
//! nothing. The code of the nodes is not touched.

use serde::{Deserialize, Serialize};

/// A known fault.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, strum::Display, strum::EnumIter,
)]
#[strum(serialize_all = "snake_case")]
pub enum InjectedBug {
    /// A node is told that a write is on the disk before it is.
    AcknowledgesBeforeSync,
    /// A node whose disk was lost takes its empty one for all that it has promised, and votes.
    VotesAfterWipe,
    /// An owner takes it for granted that all confirm its ballot.
    SkipsConfirmation,
    /// A member takes what a lower ballot sets.
    AcceptsLowerEpoch,
    /// A follower applies a change that does not follow on what it has.
    AppliesOverGap,
    /// An order is done on top of whatever is current, not of the version that it names.
    IgnoresBase,
    /// A new voter counts before it holds the state.
    CountsBeforeState,
    /// A message that was sent under an older membership counts.
    OldGenerationCounts,
    /// The membership is changed without the agreement of a quorum, so that two changes may be made at once.
    ChangesMembershipAlone,
    /// A node takes it for granted that all promise its ballot, and have accepted nothing.
    LeadsWithoutElection,
    /// An order that is sent again is not known again.
    TakesResentForNew,
}
