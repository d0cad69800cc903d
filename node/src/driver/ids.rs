//! Ids that stay reserved for some time after their request has ended or their backend was removed.

use std::collections::{HashMap, HashSet, VecDeque};

use ivyhatch_balancer::Nanos;

/// A client's request id is not accepted again for this long after its request has ended: a second request with the same id may
/// be sent before the response to the first one arrives, and be received after the first one has ended.
const REQUEST_ID_RETENTION: Nanos = 1_000_000_000;
/// The most ids of ended requests that are retained: more requests end within the retention only if clients repeat requests that
/// are rejected at once.
pub(super) const MAX_RETAINED_REQUEST_IDS: usize = 4096;

/// A bounded map in which each value expires a fixed time after its insertion. If the map is full, the oldest value is evicted.
pub(super) struct ExpiringMap<V> {
    retention: Nanos,
    max_entries: usize,
    entries: HashMap<Box<str>, Entry<V>>,
    /// Keys in the order of insertion, including keys that have been removed from `entries` since.
    insertions: VecDeque<Insertion>,
}

struct Entry<V> {
    inserted_at: Nanos,
    value: V,
}

struct Insertion {
    at: Nanos,
    key: Box<str>,
}

impl<V> ExpiringMap<V> {
    pub(super) fn new(retention: Nanos, max_entries: usize) -> Self {
        Self { retention, max_entries, entries: HashMap::new(), insertions: VecDeque::new() }
    }

    pub(super) fn insert(&mut self, key: Box<str>, value: V, now: Nanos) {
        self.evict(now);
        self.insertions.push_back(Insertion { at: now, key: key.clone() });
        self.entries.insert(key, Entry { inserted_at: now, value });
    }

    /// Whether `key` has a value that has not expired.
    pub(super) fn contains(&self, key: &str, now: Nanos) -> bool {
        self.entries.get(key).is_some_and(|entry| !self.is_expired(entry.inserted_at, now))
    }

    /// Removes and returns the value of `key`; `None` if there is none or it has expired.
    pub(super) fn take(&mut self, key: &str, now: Nanos) -> Option<V> {
        let entry = self.entries.remove(key)?;
        (!self.is_expired(entry.inserted_at, now)).then_some(entry.value)
    }

    /// Number of values.
    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Number of insertions that are remembered, including those of values that were taken.
    #[cfg(test)]
    pub(super) fn remembered_insertions(&self) -> usize {
        self.insertions.len()
    }

    fn is_expired(&self, inserted_at: Nanos, now: Nanos) -> bool {
        now.saturating_sub(inserted_at) >= self.retention
    }

    /// Removes the expired values, and the oldest value if there is no room for another.
    fn evict(&mut self, now: Nanos) {
        while let Some(oldest) = self.insertions.front()
            && (self.is_expired(oldest.at, now) || self.insertions.len() >= self.max_entries)
            && let Some(Insertion { at, key }) = self.insertions.pop_front()
        {
            // A key that was taken and inserted again has a later entry in the queue as well.
            if self.entries.get(&key).is_some_and(|entry| entry.inserted_at == at) {
                self.entries.remove(&key);
            }
        }
    }
}

/// The clients' ids of requests that are open or have just ended.
pub(super) struct RequestIds {
    open: HashSet<Box<str>>,
    ended: ExpiringMap<()>,
}

impl RequestIds {
    /// Reserves an id. False if an open request has the id, or a request with the id has ended within [`REQUEST_ID_RETENTION`].
    pub(super) fn reserve(&mut self, id: &str, now: Nanos) -> bool {
        !self.ended.contains(id, now) && self.open.insert(id.into())
    }

    /// Records that the request with this id has ended; the id stays reserved for [`REQUEST_ID_RETENTION`].
    pub(super) fn release(&mut self, id: Box<str>, now: Nanos) {
        self.open.remove(&id);
        self.ended.insert(id, (), now);
    }

    /// The number of reserved ids, and how many of them are of ended requests.
    #[cfg(test)]
    pub(super) fn reserved_and_ended(&self) -> (usize, usize) {
        (self.open.len() + self.ended.len(), self.ended.remembered_insertions())
    }
}

impl Default for RequestIds {
    fn default() -> Self {
        let ended = ExpiringMap::new(REQUEST_ID_RETENTION, MAX_RETAINED_REQUEST_IDS);
        Self { open: HashSet::new(), ended }
    }
}

#[cfg(test)]
#[path = "ids_tests.rs"]
mod tests;
