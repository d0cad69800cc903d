//! Bugs that are injected on purpose, to show that a hunt finds them. The simulation alters what passes between a node and its
//! environment; the code of the nodes stays as it is.

use serde::{Deserialize, Serialize};

/// A bug of a node or a watch client. Recorded runs name it by its stored name.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, strum::Display, strum::EnumIter,
)]
#[strum(serialize_all = "snake_case")]
pub enum InjectedBug {
    /// A node takes a write for durable before its sync has completed.
    AcknowledgesBeforeSync,
    /// A node that has lost its disk goes on as the replica it was, and votes.
    #[serde(rename = "VotesAfterWipe")] // wire name
    #[strum(serialize = "votes_after_wipe")] // wire name
    VotesAfterDiskLoss,
    /// A leader answers without the confirmation of a quorum.
    SkipsConfirmation,
    /// A replica accepts a proposal under a lower ballot than it has promised.
    #[serde(rename = "AcceptsLowerEpoch")] // wire name
    #[strum(serialize = "accepts_lower_epoch")] // wire name
    AcceptsLowerBallot,
    /// A watch client applies a change that does not start at its own sequence number.
    AppliesOverGap,
    /// A change is applied on top of the current revision whatever its base.
    IgnoresBase,
    /// A new voter votes before it has the state that a quorum handed over.
    #[serde(rename = "CountsBeforeState")] // wire name
    #[strum(serialize = "counts_before_state")] // wire name
    VotesBeforeStateTransfer,
    /// A message of an older membership generation is counted.
    #[serde(rename = "OldGenerationCounts")] // wire name
    #[strum(serialize = "old_generation_counts")] // wire name
    CountsOldGeneration,
    /// The membership is changed without a quorum, so that two changes can be decided at once.
    #[serde(rename = "ChangesMembershipAlone")] // wire name
    #[strum(serialize = "changes_membership_alone")] // wire name
    ChangesMembershipWithoutQuorum,
    /// A candidate takes every prepare for promised, with nothing accepted before.
    LeadsWithoutElection,
    /// A retried request is not recognised and counts as a new one.
    #[serde(rename = "TakesResentForNew")] // wire name
    #[strum(serialize = "takes_resent_for_new")] // wire name
    TreatsRetryAsNew,
    /// A lock is free before its holder's time has run out.
    FreesLocksEarly,
    /// All holders are taken for one.
    TakesHoldersForOne,
    /// A put takes effect whatever revision it expects.
    IgnoresExpectedRevision,
    /// Some puts go to another cell.
    PutsToOtherCell,
    /// A watch begins behind the revision that it names.
    WatchesFromLater,
    /// A call that may have taken effect ends as not started.
    DeniesUnknownCalls,
    /// Some puts take effect and end as a conflict.
    DeniesPuts,
    /// A lock that is lost is renewed.
    RenewsLostLocks,
    /// A lock that another holds is given out.
    GrantsHeldLocks,
    /// Fencing tokens repeat.
    RepeatsFences,
    /// Numbers repeat.
    RepeatsNumbers,
    /// A watch is not shown the first of several puts.
    SkipsEvents,
    /// A conflict names a revision that the cell never had.
    NamesForeignRevisions,
    /// Cells are read from a cache that falls behind.
    ReadsFromCache,
}
