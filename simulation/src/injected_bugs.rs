//! Bugs that are injected to verify that the randomized search detects them. The simulation alters the inputs of a node, which
//! include its stored state, or its outputs; the code of the nodes is unchanged.

use serde::{Deserialize, Serialize};

/// A bug of a node or a watch client. Recorded runs contain the serialized name, which must not change.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, strum::Display, strum::EnumIter,
)]
#[strum(serialize_all = "snake_case")]
pub enum InjectedBug {
    /// A node treats a write as durable before its sync has completed.
    AcknowledgesBeforeSync,
    /// A node that has lost its disk keeps its replica id and votes.
    #[serde(rename = "VotesAfterWipe")] // wire name
    #[strum(serialize = "votes_after_wipe")] // wire name
    VotesAfterDiskLoss,
    /// A leader responds without the confirmation of a quorum.
    SkipsConfirmation,
    /// A replica accepts a proposal under a lower ballot than it has promised.
    #[serde(rename = "AcceptsLowerEpoch")] // wire name
    #[strum(serialize = "accepts_lower_epoch")] // wire name
    AcceptsLowerBallot,
    /// A watch client applies a change that does not start at its own sequence number.
    AppliesOverGap,
    /// A change is applied on top of the current revision, even if its base is another revision.
    IgnoresBase,
    /// A new voter votes before a quorum has transferred its state.
    #[serde(rename = "CountsBeforeState")] // wire name
    #[strum(serialize = "counts_before_state")] // wire name
    VotesBeforeStateTransfer,
    /// A message of an older membership generation is counted.
    #[serde(rename = "OldGenerationCounts")] // wire name
    #[strum(serialize = "old_generation_counts")] // wire name
    CountsOldGeneration,
    /// The membership is changed without a quorum, so two conflicting changes can be decided concurrently.
    #[serde(rename = "ChangesMembershipAlone")] // wire name
    #[strum(serialize = "changes_membership_alone")] // wire name
    ChangesMembershipWithoutQuorum,
    /// A candidate counts every prepare that it sends as promised, with no value accepted before.
    LeadsWithoutElection,
    /// A retry is not recognised and is handled as a new request.
    #[serde(rename = "TakesResentForNew")] // wire name
    #[strum(serialize = "takes_resent_for_new")] // wire name
    TreatsRetryAsNew,
    /// A lock is released before its holder's lease has expired.
    FreesLocksEarly,
    /// All holders are treated as the same holder.
    TakesHoldersForOne,
    /// A put takes effect even if its expected revision does not match.
    IgnoresExpectedRevision,
    /// Some puts are applied to another cell.
    PutsToOtherCell,
    /// Some watches start one revision later than the requested one, so an event is missed.
    WatchesFromLater,
    /// A call with an unknown outcome, which may have taken effect, is reported as not started.
    DeniesUnknownCalls,
    /// Some puts take effect but are reported as a conflict.
    DeniesPuts,
    /// The renewal of a lost lock is reported as successful.
    RenewsLostLocks,
    /// A lock that another caller holds is granted.
    GrantsHeldLocks,
    /// The same fencing token is issued more than once.
    RepeatsFences,
    /// The same sequence number is issued more than once.
    RepeatsNumbers,
    /// A watch response with several events omits the first one.
    SkipsEvents,
    /// A conflict names a wrong revision, which may belong to another cell.
    NamesForeignRevisions,
    /// Reads of cells return values from a stale cache.
    ReadsFromCache,
}
