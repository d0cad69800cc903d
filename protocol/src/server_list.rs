//! The versioned list of servers, as built by its reader and replicated by all other nodes.
//!
//! One control node at a time, the holder of a singleton role, reads the list from the platform and numbers
//! its versions under its ballot. The ballot fences the list: an update with a lower ballot than that of the
//! replica comes from a replaced reader and is discarded.

use std::collections::{BTreeMap, VecDeque};

use crate::ids::Ballot;
use crate::watch::{Server, ServerListChange, ServerListPosition, ServerListUpdate};
use crate::{MILLISECOND, Nanos};

/// The maximum number of past changes that are kept. A replica that is behind by more changes receives the whole
/// list.
const MAX_HISTORY_LENGTH: usize = 64;
/// A time that differs from its earlier value by no more than this counts as unchanged: the platform reports
/// remaining durations, and the time that it takes to read them varies.
const TIME_TOLERANCE: Nanos = 400 * MILLISECOND;

/// A server, with its times on this node's clock.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Entry {
    server: Server,
    warm_at: Nanos,
    stops_at: Option<Nanos>,
}

impl Entry {
    fn new(server: Server, now: Nanos) -> Self {
        let after = |ms: u32| now + Nanos::from(ms) * MILLISECOND;
        Self {
            warm_at: after(server.warm_up_remaining_ms),
            stops_at: server.lifetime_remaining_ms.map(after),
            server,
        }
    }

    /// The server, with its remaining durations as of `now`.
    fn server_at(&self, now: Nanos) -> Server {
        let remaining_ms = |at: Nanos| (at.saturating_sub(now) / MILLISECOND) as u32;
        Server {
            warm_up_remaining_ms: remaining_ms(self.warm_at),
            lifetime_remaining_ms: self.stops_at.map(remaining_ms),
            ..self.server.clone()
        }
    }

    /// Whether the entries differ so little that replicas need no update from `self` to `other`.
    fn is_equivalent(&self, other: &Self, now: Nanos) -> bool {
        let is_close = |one: Nanos, two: Nanos| one.max(now).abs_diff(two.max(now)) <= TIME_TOLERANCE;
        let without_times = |entry: &Self| Server {
            warm_up_remaining_ms: 0,
            lifetime_remaining_ms: None,
            ..entry.server.clone()
        };
        without_times(self) == without_times(other)
            && is_close(self.warm_at, other.warm_at)
            && self.stops_at.is_some() == other.stops_at.is_some()
    }
}

type Entries = BTreeMap<String, Entry>;

fn entries_by_id(servers: Vec<Server>, now: Nanos) -> Entries {
    servers.into_iter().map(|server| (server.id.clone(), Entry::new(server, now))).collect()
}

/// One change of the list, as the ids of the affected servers.
#[derive(Clone, Debug)]
struct HistoryEntry {
    /// The version before the change.
    from: ServerListPosition,
    upsert: Vec<String>,
    removed: Vec<String>,
}

/// The result of [`ServerList::apply_update`] and [`ServerList::apply_change`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub enum ListUpdateOutcome {
    /// The update was applied: the replica has the version that the update leads to.
    Applied,
    /// The update is not newer than the replica, and was discarded.
    Stale,
    /// The update is a change of a version that the replica does not have, and was discarded. The caller has to
    /// request the whole list from the sender.
    Gap,
}

/// A replica of the server list, with the latest changes of the list.
#[derive(Debug, Default)]
pub struct ServerList {
    position: ServerListPosition,
    entries: Entries,
    /// Consecutive changes, the last of which led to `position`.
    history: VecDeque<HistoryEntry>,
}

impl ServerList {
    /// The version of this replica.
    pub fn position(&self) -> ServerListPosition {
        self.position
    }

    /// The servers in order of their ids, with their remaining durations as of `now`.
    pub fn servers(&self, now: Nanos) -> impl Iterator<Item = Server> + '_ {
        self.entries.values().map(move |entry| entry.server_at(now))
    }

    /// The id and the zone of each server, in order of the ids.
    pub fn ids_and_zones(&self) -> impl Iterator<Item = (&str, &str)> {
        self.entries.iter().map(|(id, entry)| (id.as_str(), entry.server.zone.as_str()))
    }

    /// The number of servers.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no servers.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Replaces the list by the one that this node has read from the platform, as the reader with this
    /// ballot. Returns the change for all other nodes; `None` if nothing has changed, or a reader with a
    /// higher ballot has taken over.
    pub fn apply_platform_list(
        &mut self,
        now: Nanos,
        ballot: Ballot,
        servers: Vec<Server>,
    ) -> Option<ServerListChange> {
        let before = self.position;
        if ballot < before.ballot {
            return None;
        }
        let mut entries = entries_by_id(servers, now);
        // Lists under the default ballot were read by each node for its own use, and differ from node to node.
        if before.number == 0 || before.ballot == Ballot::default() {
            self.reset(ServerListPosition { ballot, number: 1 }, entries);
            return Some(self.full_list(now));
        }
        let change = self.changes_to(&entries, now);
        let is_new_reader = ballot != before.ballot;
        if change.is_none() && !is_new_reader {
            return None;
        }
        let no_change = HistoryEntry { from: before, upsert: Vec::new(), removed: Vec::new() };
        let change = change.unwrap_or(no_change);
        let changed = change.upsert.iter().filter_map(|id| entries.remove_entry(id));
        self.entries.extend(changed);
        self.entries.retain(|id, _| !change.removed.contains(id));
        let number = if is_new_reader { 1 } else { before.number + 1 };
        self.position = ServerListPosition { ballot, number };
        self.push_history(change);
        Some(self.changes_since(now, before))
    }

    /// The change from this list to the new entries; `None` if they are equivalent.
    fn changes_to(&self, new: &Entries, now: Nanos) -> Option<HistoryEntry> {
        let differs = |(id, entry): &(&String, &Entry)| {
            self.entries.get(*id).is_none_or(|known| !known.is_equivalent(entry, now))
        };
        let upsert: Vec<String> = new.iter().filter(differs).map(|(id, _)| id.clone()).collect();
        let removed: Vec<String> = self.entries.keys().filter(|id| !new.contains_key(*id)).cloned().collect();
        let is_changed = !upsert.is_empty() || !removed.is_empty();
        is_changed.then_some(HistoryEntry { from: self.position, upsert, removed })
    }

    fn reset(&mut self, position: ServerListPosition, entries: Entries) {
        self.position = position;
        self.entries = entries;
        self.history.clear();
    }

    fn push_history(&mut self, change: HistoryEntry) {
        self.history.push_back(change);
        while self.history.len() > MAX_HISTORY_LENGTH {
            self.history.pop_front();
        }
    }

    /// Applies an update received from another node.
    pub fn apply_update(&mut self, now: Nanos, update: ServerListUpdate) -> ListUpdateOutcome {
        self.apply_change(now, update.into())
    }

    /// Applies a change received from another node.
    pub fn apply_change(&mut self, now: Nanos, change: ServerListChange) -> ListUpdateOutcome {
        let ServerListChange { base, position, upsert, removed } = change;
        if position <= self.position {
            return ListUpdateOutcome::Stale;
        }
        let entries = entries_by_id(upsert, now);
        let Some(from) = base else {
            self.reset(position, entries);
            return ListUpdateOutcome::Applied;
        };
        if from != self.position {
            return ListUpdateOutcome::Gap;
        }
        let upsert = entries.keys().cloned().collect();
        self.entries.extend(entries);
        self.entries.retain(|id, _| !removed.contains(id));
        self.position = position;
        self.push_history(HistoryEntry { from, upsert, removed });
        ListUpdateOutcome::Applied
    }

    /// The whole list.
    pub fn full_list(&self, now: Nanos) -> ServerListChange {
        let upsert = self.servers(now).collect();
        ServerListChange { base: None, position: self.position, upsert, removed: Vec::new() }
    }

    /// The changes since a version, or the whole list if these changes are no longer kept.
    pub fn changes_since(&self, now: Nanos, since: ServerListPosition) -> ServerListChange {
        let Some(first) = self.history.iter().position(|change| change.from == since) else {
            return self.full_list(now);
        };
        let (mut upsert, mut removed) = (BTreeMap::new(), Vec::new());
        for change in self.history.range(first..) {
            for id in &change.upsert {
                if let Some(entry) = self.entries.get(id) {
                    upsert.insert(id.clone(), entry.server_at(now));
                }
            }
            removed.extend(change.removed.iter().filter(|id| !self.entries.contains_key(*id)).cloned());
        }
        let upsert = upsert.into_values().collect();
        ServerListChange { base: Some(since), position: self.position, upsert, removed }
    }

    /// The changes since a version of the same ballot, or the whole list, for a receiver that does not support
    /// [`ServerListChange`].
    pub fn update_since(&self, now: Nanos, since: ServerListPosition) -> ServerListUpdate {
        self.changes_since(now, since).to_update().unwrap_or_else(|| self.full_update(now))
    }

    /// The whole list, for a receiver that does not support [`ServerListChange`].
    pub fn full_update(&self, now: Nanos) -> ServerListUpdate {
        let ServerListPosition { ballot, number: to } = self.position;
        let upsert = self.servers(now).collect();
        ServerListUpdate { ballot, from: None, to, upsert, removed: Vec::new() }
    }
}
