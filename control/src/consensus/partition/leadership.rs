//! A leader's record of its voters: which changes each has acknowledged, and when an acknowledgement is overdue.

use std::collections::{BTreeMap, BTreeSet};

use ivyhatch_protocol::ids::{Ballot, NodeId};
use ivyhatch_protocol::peer::majority;
use ivyhatch_protocol::{MILLISECOND, Nanos};

/// The shortest wait for an acknowledgement before a resend: a few round trips and the sync of a slow disk.
pub(super) const MIN_RETRY_INTERVAL: Nanos = 300 * MILLISECOND;
/// The longest wait for an acknowledgement before a resend.
const MAX_RETRY_INTERVAL: Nanos = 2400 * MILLISECOND;
/// The wait is the smoothed acknowledgement time plus this many times its mean deviation (RFC 6298, section 2).
const DEVIATION_FACTOR: u64 = 4;
/// A new measurement has 1 / `SMOOTHING_DIVISOR` of the weight in the smoothed time, and twice that in its mean deviation (RFC 6298,
/// section 2).
const SMOOTHING_DIVISOR: u64 = 8;

/// Measures how long a voter takes to acknowledge, and derives the wait before a resend (RFC 6298).
#[derive(Clone, Copy, Debug, Default)]
struct AcknowledgementTimer {
    smoothed: Option<Nanos>,
    deviation: Nanos,
    /// How often the wait has been doubled since the last acknowledgement (exponential backoff).
    doublings: u32,
}

impl AcknowledgementTimer {
    fn record(&mut self, measured: Nanos) {
        self.doublings = 0;
        let Some(smoothed) = self.smoothed else {
            (self.smoothed, self.deviation) = (Some(measured), measured / 2);
            return;
        };
        let difference = smoothed.abs_diff(measured);
        self.deviation =
            (self.deviation * (SMOOTHING_DIVISOR / 2 - 1) + difference) / (SMOOTHING_DIVISOR / 2);
        self.smoothed = Some((smoothed * (SMOOTHING_DIVISOR - 1) + measured) / SMOOTHING_DIVISOR);
    }

    fn wait(&self) -> Nanos {
        let measured = self.smoothed.map_or(0, |smoothed| smoothed + DEVIATION_FACTOR * self.deviation);
        let wait = measured.clamp(MIN_RETRY_INTERVAL, MAX_RETRY_INTERVAL);
        (wait << self.doublings).min(MAX_RETRY_INTERVAL)
    }
}

/// What a voter was sent, and what it has acknowledged.
#[derive(Clone, Debug, Default)]
pub(super) struct Progress {
    /// The last change that the voter has acknowledged under this ballot.
    matched: Option<u64>,
    /// The last change that the voter is known to have committed; `None` if the voter needs the complete contents.
    committed: Option<u64>,
    /// The last change that was sent to the voter under this ballot.
    sent: Option<u64>,
    sent_at: Nanos,
    was_sent_again: bool,
    timer: AcknowledgementTimer,
}

impl Progress {
    /// The progress of a voter that is known to have committed this change, and was sent nothing yet.
    pub(super) fn new(committed: Option<u64>) -> Self {
        Self { committed, ..Self::default() }
    }

    /// The change up to which the voter's contents will equal the leader's if everything sent arrives in order.
    fn expected(&self) -> Option<u64> {
        self.sent.or(self.acknowledged())
    }

    /// The change up to which the voter's contents are known to equal the leader's.
    fn acknowledged(&self) -> Option<u64> {
        self.matched.max(self.committed)
    }

    /// Records that all changes up to `sequence` are sent now. Returns the change up to which the voter is expected to have them.
    pub(super) fn send(&mut self, now: Nanos, sequence: u64) -> Option<u64> {
        let base = self.expected();
        // With several changes in flight, the acknowledgement of the first is measured and waited for.
        if self.sent.is_none() || self.sent == self.matched {
            (self.sent_at, self.was_sent_again) = (now, false);
        }
        self.sent = Some(sequence);
        base
    }

    /// Records that the voter has acknowledged all changes up to `sequence`.
    pub(super) fn acknowledge(&mut self, now: Nanos, sequence: u64) {
        if self.matched >= Some(sequence) {
            return;
        }
        self.matched = Some(sequence);
        self.timer.doublings = 0;
        if !self.was_sent_again {
            self.timer.record(now.saturating_sub(self.sent_at));
        }
        // The wait for changes that are still in flight starts anew.
        (self.sent_at, self.was_sent_again) = (now, false);
    }

    /// Whether the voter was sent changes that it has not acknowledged, and the acknowledgement is overdue.
    fn is_overdue(&self, now: Nanos) -> bool {
        self.sent > self.matched && now >= self.sent_at + self.timer.wait()
    }

    /// Records that all unacknowledged changes are sent again now, and doubles the wait. Returns the change after which they begin.
    pub(super) fn send_again(&mut self, now: Nanos) -> Option<u64> {
        (self.sent_at, self.was_sent_again) = (now, true);
        self.timer.doublings = (self.timer.doublings + 1).min(MAX_RETRY_INTERVAL.ilog2());
        self.acknowledged()
    }

    /// Records a voter's report that it could not accept the changes up to `sequence`, as it lacks earlier ones. Returns whether to send
    /// the missing changes now: not if more changes were sent since, as the voter will report those as well, and not right after a resend.
    pub(super) fn on_behind(&mut self, now: Nanos, sequence: u64, committed: Option<u64>) -> bool {
        if self.sent != Some(sequence) {
            return false;
        }
        (self.matched, self.committed) = (None, committed);
        if self.was_sent_again && now < self.sent_at + MIN_RETRY_INTERVAL {
            return false;
        }
        (self.sent_at, self.was_sent_again) = (now, true);
        true
    }
}

/// The leadership of a partition under one ballot.
#[derive(Clone, Debug)]
pub(super) struct Leadership {
    pub(super) ballot: Ballot,
    /// The last change of earlier leaders. This leader may propose changes once that one is committed.
    pub(super) recovered: u64,
    progress: BTreeMap<NodeId, Progress>,
    /// The voters that have confirmed the ballot, by the number of each confirmation in flight.
    pub(super) confirmations: BTreeMap<u64, BTreeSet<NodeId>>,
}

impl Leadership {
    pub(super) fn new(ballot: Ballot, recovered: u64, progress: BTreeMap<NodeId, Progress>) -> Self {
        Self { ballot, recovered, progress, confirmations: BTreeMap::new() }
    }

    pub(super) fn progress_mut(&mut self, voter: NodeId) -> Option<&mut Progress> {
        self.progress.get_mut(&voter)
    }

    pub(super) fn voters(&self) -> impl Iterator<Item = NodeId> {
        self.progress.keys().copied()
    }

    /// The voters with overdue acknowledgements.
    pub(super) fn overdue(&self, now: Nanos) -> Vec<NodeId> {
        let overdue = self.progress.iter().filter(|(_, progress)| progress.is_overdue(now));
        overdue.map(|(voter, _)| *voter).collect()
    }

    /// The last change that a quorum has acknowledged.
    pub(super) fn quorum_sequence(&self) -> Option<u64> {
        let mut matched: Vec<_> = self.progress.values().map(|progress| progress.matched).collect();
        matched.sort_unstable_by(|one, other| other.cmp(one));
        matched.get(majority(matched.len()) - 1).copied().flatten()
    }
}
