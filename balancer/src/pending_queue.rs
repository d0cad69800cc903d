//! The queue of requests that wait for a backend, indexed by value, by latency target and by expiry. The
//! queue makes no decisions.

use std::collections::BTreeSet;
use std::ops::Bound;

use crate::api::{Nanos, RequestId};

/// The latency target or the expiry of a queued request, its insertion sequence number, and the request.
type IndexEntry = (Nanos, u64, RequestId);

/// Requests of equal value per unit of work: those of a class that are within their tenants' quotas, or those
/// over them.
#[derive(Clone, Copy)]
pub(crate) struct Band {
    pub(crate) class: usize,
    pub(crate) over_quota: bool,
}

impl Band {
    /// All bands of `classes` classes.
    pub(crate) fn all(classes: usize) -> impl Iterator<Item = Self> {
        (0..classes).flat_map(|class| [false, true].map(|over_quota| Self { class, over_quota }))
    }

    fn index(self) -> usize {
        2 * self.class + usize::from(self.over_quota)
    }
}

/// Requests that are rejected equally long before their latency targets: the first attempts of a class, or
/// its retries.
#[derive(Clone, Copy)]
pub(crate) struct TargetGroup {
    pub(crate) class: usize,
    pub(crate) is_retry: bool,
}

impl TargetGroup {
    fn index(self) -> usize {
        2 * self.class + usize::from(self.is_retry)
    }
}

/// The keys of a queued request in the indexes; needed to remove the request.
#[derive(Clone, Copy)]
pub(crate) struct QueueEntry {
    pub(crate) band: Band,
    pub(crate) target_group: TargetGroup,
    /// The request's latency target.
    pub(crate) target_at: Nanos,
    /// When the request leaves the queue at the latest.
    pub(crate) expires_at: Nanos,
    sequence: u64,
}

impl QueueEntry {
    /// An entry that has not been inserted yet.
    pub(crate) fn new(band: Band, target_group: TargetGroup, target_at: Nanos, expires_at: Nanos) -> Self {
        Self { band, target_group, target_at, expires_at, sequence: 0 }
    }
}

/// The queued requests. Insertion, removal and finding the first request of an index take time logarithmic in
/// the number of requests; no operation iterates over all of them.
pub(crate) struct PendingQueue {
    next_sequence: u64,
    by_band: Vec<BTreeSet<RequestId>>,
    by_target: Vec<BTreeSet<IndexEntry>>,
    by_expiry: BTreeSet<IndexEntry>,
}

impl PendingQueue {
    /// An empty queue for requests of `classes` classes.
    pub(crate) fn new(classes: usize) -> Self {
        let by_band = vec![BTreeSet::new(); 2 * classes];
        let by_target = vec![BTreeSet::new(); 2 * classes];
        Self { next_sequence: 0, by_band, by_target, by_expiry: BTreeSet::new() }
    }

    /// Adds the indexes of one more class.
    pub(crate) fn add_class(&mut self) {
        self.by_band.extend([BTreeSet::new(), BTreeSet::new()]);
        self.by_target.extend([BTreeSet::new(), BTreeSet::new()]);
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.by_expiry.is_empty()
    }

    /// Inserts a request and returns its entry, which [`PendingQueue::remove`] requires.
    pub(crate) fn insert(&mut self, id: RequestId, entry: QueueEntry) -> QueueEntry {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.by_band[entry.band.index()].insert(id);
        self.by_target[entry.target_group.index()].insert((entry.target_at, sequence, id));
        self.by_expiry.insert((entry.expires_at, sequence, id));
        QueueEntry { sequence, ..entry }
    }

    pub(crate) fn remove(&mut self, id: RequestId, entry: QueueEntry) {
        self.by_band[entry.band.index()].remove(&id);
        self.by_target[entry.target_group.index()].remove(&(entry.target_at, entry.sequence, id));
        self.by_expiry.remove(&(entry.expires_at, entry.sequence, id));
    }

    /// The request of a band with the lowest identifier, or the first one after `after`.
    pub(crate) fn next_in_band(&self, band: Band, after: Option<RequestId>) -> Option<RequestId> {
        let from = after.map_or(Bound::Unbounded, Bound::Excluded);
        self.by_band[band.index()].range((from, Bound::Unbounded)).next().copied()
    }

    /// Adds to `due` the requests of a group whose latency target is at `by` or earlier; `due` sorts them by
    /// insertion.
    pub(crate) fn collect_targets_by(
        &self,
        group: TargetGroup,
        by: Nanos,
        due: &mut BTreeSet<(u64, RequestId)>,
    ) {
        collect_by(&self.by_target[group.index()], by, due);
    }

    /// Adds to `due` the requests that expire at `by` or earlier; `due` sorts them by insertion.
    pub(crate) fn collect_expired_by(&self, by: Nanos, due: &mut BTreeSet<(u64, RequestId)>) {
        collect_by(&self.by_expiry, by, due);
    }
}

fn collect_by(order: &BTreeSet<IndexEntry>, by: Nanos, due: &mut BTreeSet<(u64, RequestId)>) {
    let due_entries = order.iter().take_while(|(at, ..)| *at <= by);
    due.extend(due_entries.map(|&(_, sequence, id)| (sequence, id)));
}
