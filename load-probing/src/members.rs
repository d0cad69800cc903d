//! One server's probing.

use crate::Nanos;

/// What a fresh figure of a server would change, the least first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Interest {
    /// Next to nothing.
    #[default]
    Idle,
    /// It is in a zone that requests go to, far from any line.
    Watched,
    /// It is in a zone whose figure is about to decide something.
    Near,
    /// It is cold, suspect, back from an ejection, or nothing at all is known of it.
    Urgent,
}

impl Interest {
    /// All, the least first.
    pub const ALL: [Self; 4] = [Self::Idle, Self::Watched, Self::Near, Self::Urgent];
}

/// How a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// An answer with a usable figure.
    Figure,
    /// An answer, but no usable figure.
    Empty,
    /// No answer: refused, broken, or not in time.
    Unreached,
    /// Withdrawn by the embedder; tells nothing.
    Withdrawn,
}

/// Failures lengthen a wait up to here, or to the ordinary one where that is longer: a zone that was cut for some
/// seconds should not stay unseen for long after.
const LONGEST: Nanos = 4_000_000_000;

#[derive(Clone, Debug)]
pub(crate) struct Member {
    /// Which life of the server: another one has none of this one's figures.
    pub(crate) incarnation: Nanos,
    pub(crate) group: u32,
    /// From when on what is asked is asked of this life.
    pub(crate) since: Nanos,
    pub(crate) interest: Interest,
    /// When a figure came last.
    pub(crate) told: Option<Nanos>,
    /// When it was tried last, or joined: the turn counts from there.
    pub(crate) tried: Nanos,
    pub(crate) unreached: u32,
    /// Its next turn.
    pub(crate) due: Nanos,
}

impl Member {
    /// The wait between two probes: `period`, doubled for each probe in a row that reached nothing, so that a zone
    /// that is cut takes little of the budget.
    pub(crate) fn wait(&self, period: Nanos) -> Nanos {
        period.saturating_mul(1 << self.unreached.min(16)).min(LONGEST.max(period))
    }
}
