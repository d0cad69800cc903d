//! What a leader knows of the voters: how far each of them is, and when an acknowledgement is overdue.

use std::collections::{BTreeMap, BTreeSet};

use ivyhatch_protocol::ids::{Ballot, NodeId};
use ivyhatch_protocol::peer::majority;
use ivyhatch_protocol::{MILLISECOND, Nanos};

/// The shortest wait for an acknowledgement: a few round trips and the sync of a slow disk.
pub(super) const MIN_RETRY_INTERVAL: Nanos = 300 * MILLISECOND;
/// The longest wait for an acknowledgement.
const MAX_RETRY_INTERVAL: Nanos = 2400 * MILLISECOND;
/// The wait is the smoothed time of an acknowledgement and this many times its mean deviation (RFC 6298, section 2).
const DEVIATION_FACTOR: u64 = 4;
/// The weight of a new measurement in the smoothed time is one in so many, and twice that in its deviation (RFC 6298, section 2).
const SMOOTHING_DIVISOR: u64 = 8;

/// How long a voter takes to acknowledge, and for how long it is waited for (RFC 6298).
#[derive(Clone, Copy, Debug, Default)]
struct AcknowledgementTimer {
    smoothed: Option<Nanos>,
    deviation: Nanos,
    /// How often the present wait has been doubled.
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

/// How far a voter is.
#[derive(Clone, Debug, Default)]
pub(super) struct Progress {
    /// The last change that the voter has acknowledged under this ballot.
    matched: Option<u64>,
    /// The last change that the voter is known to have committed; none where it needs whole contents.
    committed: Option<u64>,
    /// The last change that was sent to it under this ballot.
    sent: Option<u64>,
    sent_at: Nanos,
    was_sent_again: bool,
    timer: AcknowledgementTimer,
}

impl Progress {
    /// A voter that is known to have committed this change, and was sent nothing.
    pub(super) fn new(committed: Option<u64>) -> Self {
        Self { committed, ..Self::default() }
    }

    /// The change up to which the voter's contents agree with the leader's, if all that was sent arrives in order.
    fn expected(&self) -> Option<u64> {
        self.sent.or(self.acknowledged())
    }

    /// The change up to which the voter's contents are known to agree with the leader's.
    fn acknowledged(&self) -> Option<u64> {
        self.matched.max(self.committed)
    }

    /// All changes up to this one are sent now. Returns the change up to which the voter has them already.
    pub(super) fn send(&mut self, now: Nanos, sequence: u64) -> Option<u64> {
        let known = self.expected();
        // Of several changes in flight the first is measured and waited for.
        if self.sent.is_none() || self.sent == self.matched {
            (self.sent_at, self.was_sent_again) = (now, false);
        }
        self.sent = Some(sequence);
        known
    }

    /// The voter has acknowledged all changes up to this one.
    pub(super) fn acknowledge(&mut self, now: Nanos, sequence: u64) {
        if self.matched >= Some(sequence) {
            return;
        }
        self.matched = Some(sequence);
        self.timer.doublings = 0;
        if !self.was_sent_again {
            self.timer.record(now.saturating_sub(self.sent_at));
        }
        // What is still in flight is waited for from now on.
        (self.sent_at, self.was_sent_again) = (now, false);
    }

    /// Whether the last change was sent, and its acknowledgement is overdue.
    fn is_overdue(&self, now: Nanos) -> bool {
        self.sent > self.matched && now >= self.sent_at + self.timer.wait()
    }

    /// All that the voter has not acknowledged is sent again. Returns the change up to which it has.
    pub(super) fn send_again(&mut self, now: Nanos) -> Option<u64> {
        (self.sent_at, self.was_sent_again) = (now, true);
        self.timer.doublings = (self.timer.doublings + 1).min(MAX_RETRY_INTERVAL.ilog2());
        self.acknowledged()
    }

    /// The voter lacks changes before those that it was sent up to `sequence`. Returns whether it is to be sent what it lacks now: not
    /// where more was sent since, as it will say so of that as well, nor right after it was sent again what it lacks.
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
    /// The last change of the leaders before. The leader is ready once it is committed.
    pub(super) recovered: u64,
    progress: BTreeMap<NodeId, Progress>,
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

    /// The voters whose acknowledgement is overdue.
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
