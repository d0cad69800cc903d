//! The backends that discovery lists: their numbers, addresses and drains.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use ivyhatch_balancer::{BackendId, BackendState, ListScope, Member, Nanos};
use ivyhatch_node_settings::NameTable;

use super::ids::ExpiringMap;

/// A backend that has left keeps its number for this long: by the number the balancer finds the notice by which the backend left,
/// and lets no older list revoke that notice. As long as the notice is valid in the balancer (`balancer/src/removal_notices.rs`).
const NUMBER_RETENTION: Nanos = 300_000_000_000;
/// At most so many numbers are retained; a fleet replaced many times over in five minutes loses the oldest.
pub(super) const MAX_RETAINED_NUMBERS: usize = 4096;
const NANOS_PER_MILLISECOND: Nanos = 1_000_000;

/// One backend as discovery lists it.
pub struct BackendRecord {
    /// The backend's name.
    pub uid: String,
    /// Where it listens.
    pub endpoint: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its machine kind.
    pub machine_kind: String,
    /// Its cell.
    pub cell: u64,
    /// Whether it is in service.
    pub state: BackendState,
    /// Its capacity relative to the others.
    pub weight: f64,
    /// When it last started, in milliseconds of Unix time; 0 for long ago.
    pub boot_ms: u64,
}

struct Backend {
    endpoint: SocketAddr,
    boot_ms: u64,
    /// When the node learned that it drains.
    draining_since: Option<Nanos>,
}

/// What a record has changed.
pub(super) struct Registration {
    pub(super) member: Member,
    /// The backend drains, has moved or has restarted: its idle connections are of no more use.
    pub(super) close_connections: bool,
}

/// The backends by number, and their numbers by name.
pub(super) struct BackendDirectory {
    names: NameTable,
    ids: HashMap<String, BackendId>,
    backends: HashMap<BackendId, Backend>,
    departed: ExpiringMap<BackendId>,
    next_id: u32,
}

impl BackendDirectory {
    pub(super) fn new(names: NameTable) -> Self {
        Self {
            names,
            ids: HashMap::new(),
            backends: HashMap::new(),
            departed: ExpiringMap::new(NUMBER_RETENTION, MAX_RETAINED_NUMBERS),
            next_id: 0,
        }
    }

    /// The names that the settings list.
    pub(super) fn names(&self) -> &NameTable {
        &self.names
    }

    /// The names of backends that `list` removes: those whose state is `Removed`, and, by a full list, those that are missing from it.
    pub(super) fn removed_by(&self, scope: ListScope, list: &[BackendRecord]) -> Vec<String> {
        let mut removed: Vec<String> = Vec::new();
        if scope != ListScope::Changes {
            let listed: HashSet<&str> = list.iter().map(|record| record.uid.as_str()).collect();
            removed.extend(self.ids.keys().filter(|uid| !listed.contains(uid.as_str())).cloned());
        }
        let gone = list.iter().filter(|record| record.state == BackendState::Removed);
        removed.extend(gone.map(|record| record.uid.clone()));
        removed
    }

    /// Adds or updates a backend. None for a removed one that is not known.
    pub(super) fn register(&mut self, record: BackendRecord, now: Nanos) -> Option<Registration> {
        let is_removed = record.state == BackendState::Removed;
        let backend = match self.ids.get(&record.uid) {
            Some(&id) => id,
            None if is_removed => return None,
            None => self.assign_id(record.uid, now),
        };
        let draining = record.state != BackendState::InService;
        let previous = self.backends.get(&backend);
        let draining_since =
            previous.and_then(|previous| previous.draining_since).or(draining.then_some(now));
        let replaced = previous.is_some_and(|previous| {
            previous.endpoint != record.endpoint || previous.boot_ms != record.boot_ms
        });
        let current = Backend { endpoint: record.endpoint, boot_ms: record.boot_ms, draining_since };
        self.backends.insert(backend, current);
        let member = Member {
            backend,
            zone: self.names.zone(&record.zone),
            machine_kind: self.names.kind(&record.machine_kind),
            cell: record.cell,
            state: record.state,
            weight: record.weight,
            online_since: (record.boot_ms > 0).then(|| record.boot_ms.saturating_mul(NANOS_PER_MILLISECOND)),
        };
        Some(Registration { member, close_connections: draining || replaced })
    }

    /// A new number, or the one that the backend had before it left.
    fn assign_id(&mut self, uid: String, now: Nanos) -> BackendId {
        let id = self.departed.take(&uid, now).unwrap_or(BackendId(self.next_id));
        self.next_id = self.next_id.max(id.0 + 1);
        self.ids.insert(uid, id);
        id
    }

    /// Notes which backends drain. A full list can be older than the notice that a backend leaves, so `is_in_service` has the
    /// balancer's decision on which of the two holds.
    pub(super) fn update_draining(&mut self, is_in_service: impl Fn(BackendId) -> bool, now: Nanos) {
        for (id, backend) in &mut self.backends {
            backend.draining_since = match is_in_service(*id) {
                true => None,
                false => backend.draining_since.or(Some(now)),
            };
        }
    }

    /// Removes a backend and retains its number.
    pub(super) fn remove(&mut self, uid: String, now: Nanos) -> Option<BackendId> {
        let id = self.ids.remove(&uid)?;
        self.backends.remove(&id);
        self.departed.insert(uid.into(), id, now);
        Some(id)
    }

    /// The number of a backend.
    pub(super) fn id(&self, uid: &str) -> Option<BackendId> {
        self.ids.get(uid).copied()
    }

    /// The names by number.
    pub(super) fn names_by_id(&self) -> HashMap<BackendId, &str> {
        self.ids.iter().map(|(name, id)| (*id, name.as_str())).collect()
    }

    /// Where a backend listens.
    pub(super) fn endpoint(&self, id: BackendId) -> Option<SocketAddr> {
        self.backends.get(&id).map(|backend| backend.endpoint)
    }

    /// Whether a backend drains; none for one that is not listed.
    pub(super) fn is_draining(&self, id: BackendId) -> Option<bool> {
        self.backends.get(&id).map(|backend| backend.draining_since.is_some())
    }

    /// Whether a backend is listed, and has drained for less than `grace` if it drains.
    pub(super) fn may_write_to(&self, id: BackendId, now: Nanos, grace: Nanos) -> bool {
        self.backends.get(&id).is_some_and(|backend| {
            backend.draining_since.is_none_or(|since| now < since.saturating_add(grace))
        })
    }

    #[cfg(test)]
    pub(super) fn sizes(&self) -> DirectorySizes {
        DirectorySizes {
            ids: self.ids.len(),
            backends: self.backends.len(),
            departed: self.departed.len(),
            departures: self.departed.remembered_insertions(),
        }
    }
}

/// How much the directory holds.
#[cfg(test)]
pub(super) struct DirectorySizes {
    pub(super) ids: usize,
    pub(super) backends: usize,
    pub(super) departed: usize,
    pub(super) departures: usize,
}
