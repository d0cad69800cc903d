//! The queue of requests that wait for a backend, in the orders in which they are looked for: by value, by
//! latency target, and by expiry. Decides nothing.

use std::collections::BTreeSet;
use std::ops::Bound;

use crate::api::{Nanos, RequestId};

/// A point in time at which a queued request is due, the order of its insertion, and the request.
type Due = (Nanos, u64, RequestId);

/// Requests of one value for each unit of work: a class's requests within their tenants' quotas, or over
/// them.
#[derive(Clone, Copy)]
pub(crate) struct Band {
    pub(crate) class: usize,
    pub(crate) over_quota: bool,
}

impl Band {
    /// All bands of this many classes.
    pub(crate) fn all(classes: usize) -> impl Iterator<Item = Self> {
        (0..classes).flat_map(|class| [false, true].map(|over_quota| Self { class, over_quota }))
    }

    fn index(self) -> usize {
        2 * self.class + usize::from(self.over_quota)
    }
}

/// Requests that are given up equally long before their latency targets: a class's first attempts, or its
/// retries.
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

/// Where a queued request stands in the orders; needed to remove it.
#[derive(Clone, Copy)]
pub(crate) struct QueueEntry {
    pub(crate) band: Band,
    pub(crate) target_group: TargetGroup,
    /// The request's latency target.
    pub(crate) target_at: Nanos,
    /// When the request leaves the queue in any case.
    pub(crate) expires_at: Nanos,
    sequence: u64,
}

impl QueueEntry {
    /// An entry that has not been inserted.
    pub(crate) fn new(band: Band, target_group: TargetGroup, target_at: Nanos, expires_at: Nanos) -> Self {
        Self { band, target_group, target_at, expires_at, sequence: 0 }
    }
}

/// Queued requests. Insertion, removal, and finding the first of an order cost the logarithm of their
/// number; nothing walks them all.
pub(crate) struct PendingQueue {
    next_sequence: u64,
    by_band: Vec<BTreeSet<RequestId>>,
    by_target: Vec<BTreeSet<Due>>,
    by_expiry: BTreeSet<Due>,
}

impl PendingQueue {
    /// An empty queue for requests of this many classes.
    pub(crate) fn new(classes: usize) -> Self {
        let by_band = vec![BTreeSet::new(); 2 * classes];
        let by_target = vec![BTreeSet::new(); 2 * classes];
        Self { next_sequence: 0, by_band, by_target, by_expiry: BTreeSet::new() }
    }

    /// Makes room for one more class.
    pub(crate) fn add_class(&mut self) {
        self.by_band.extend([BTreeSet::new(), BTreeSet::new()]);
        self.by_target.extend([BTreeSet::new(), BTreeSet::new()]);
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.by_expiry.is_empty()
    }

    /// Inserts a request; returns its entry, which [`PendingQueue::remove`] takes.
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

    /// The first request of a band, by identifier, or the first after `after`.
    pub(crate) fn next_in_band(&self, band: Band, after: Option<RequestId>) -> Option<RequestId> {
        let from = after.map_or(Bound::Unbounded, Bound::Excluded);
        self.by_band[band.index()].range((from, Bound::Unbounded)).next().copied()
    }

    /// Adds the requests of a group whose latency target is at `by` or earlier, in the order of insertion.
    pub(crate) fn collect_targets_by(
        &self,
        group: TargetGroup,
        by: Nanos,
        due: &mut BTreeSet<(u64, RequestId)>,
    ) {
        collect_by(&self.by_target[group.index()], by, due);
    }

    /// Adds the requests that expire at `by` or earlier, in the order of insertion.
    pub(crate) fn collect_expired_by(&self, by: Nanos, due: &mut BTreeSet<(u64, RequestId)>) {
        collect_by(&self.by_expiry, by, due);
    }
}

fn collect_by(order: &BTreeSet<Due>, by: Nanos, due: &mut BTreeSet<(u64, RequestId)>) {
    let first = order.iter().take_while(|(at, ..)| *at <= by);
    due.extend(first.map(|&(_, sequence, id)| (sequence, id)));
}
