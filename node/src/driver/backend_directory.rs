//! The backends that discovery lists: their numbers, addresses and drain states.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use ivyhatch_balancer::{BackendId, BackendState, ListScope, Member, Nanos};
use ivyhatch_node_settings::NameTable;

use super::ids::ExpiringMap;

/// A removed backend keeps its number for this long. By the number the balancer finds the removal notice of the backend, so that no
/// older list can revoke the notice. Equals the time for which the balancer keeps a notice (`balancer/src/removal_notices.rs`).
const NUMBER_RETENTION: Nanos = 300_000_000_000;
/// The most numbers of removed backends that are retained. If more are removed within [`NUMBER_RETENTION`], the oldest are evicted.
pub(super) const MAX_RETAINED_NUMBERS: usize = 4096;
const NANOS_PER_MILLISECOND: Nanos = 1_000_000;

/// A backend in discovery's list.
pub struct BackendRecord {
    /// The backend's name, which identifies it across lists.
    pub uid: String,
    /// The address at which the backend listens.
    pub endpoint: SocketAddr,
    /// The name of the backend's zone.
    pub zone: String,
    /// The name of the backend's machine kind.
    pub machine_kind: String,
    /// The number of the backend's cell.
    pub cell: u64,
    /// Whether the backend is in service, draining or removed.
    pub state: BackendState,
    /// The backend's capacity relative to other backends.
    pub weight: f64,
    /// When the backend last started, in milliseconds of Unix time; 0 if the start is unknown or long ago.
    pub boot_ms: u64,
}

struct Backend {
    endpoint: SocketAddr,
    boot_ms: u64,
    /// When this node learned that the backend drains; `None` while the backend is in service.
    draining_since: Option<Nanos>,
}

/// The result of registering a record.
pub(super) struct Registration {
    pub(super) member: Member,
    /// Whether to close the idle connections to the backend: it drains, has moved or has restarted.
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

    /// The numbers of zones, request classes, machine kinds and tenants.
    pub(super) fn names(&self) -> &NameTable {
        &self.names
    }

    /// The names of the backends that `list` removes: those whose state is `Removed` and, unless the list has changes only, those
    /// that are missing from it.
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

    /// Adds or updates a backend. `None` for a removed backend that was not listed.
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

    /// Assigns a new number, or the retained number of a backend that was removed.
    fn assign_id(&mut self, uid: String, now: Nanos) -> BackendId {
        let id = self.departed.take(&uid, now).unwrap_or(BackendId(self.next_id));
        self.next_id = self.next_id.max(id.0 + 1);
        self.ids.insert(uid, id);
        id
    }

    /// Updates which backends drain. A full list can be older than a backend's drain or removal notice; `is_in_service` returns
    /// the balancer's decision on which of the two applies.
    pub(super) fn update_draining(&mut self, is_in_service: impl Fn(BackendId) -> bool, now: Nanos) {
        for (id, backend) in &mut self.backends {
            backend.draining_since = match is_in_service(*id) {
                true => None,
                false => backend.draining_since.or(Some(now)),
            };
        }
    }

    /// Removes a backend and retains its number. Returns the number; `None` if the backend was not listed.
    pub(super) fn remove(&mut self, uid: String, now: Nanos) -> Option<BackendId> {
        let id = self.ids.remove(&uid)?;
        self.backends.remove(&id);
        self.departed.insert(uid.into(), id, now);
        Some(id)
    }

    /// The number of a listed backend.
    pub(super) fn id(&self, uid: &str) -> Option<BackendId> {
        self.ids.get(uid).copied()
    }

    /// The names of the listed backends by number.
    pub(super) fn names_by_id(&self) -> HashMap<BackendId, &str> {
        self.ids.iter().map(|(name, id)| (*id, name.as_str())).collect()
    }

    /// The address at which a backend listens; `None` for a backend that is not listed.
    pub(super) fn endpoint(&self, id: BackendId) -> Option<SocketAddr> {
        self.backends.get(&id).map(|backend| backend.endpoint)
    }

    /// Whether a backend drains; `None` for a backend that is not listed.
    pub(super) fn is_draining(&self, id: BackendId) -> Option<bool> {
        self.backends.get(&id).map(|backend| backend.draining_since.is_some())
    }

    /// Whether a backend is listed, and either in service or draining for less than `grace`.
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

/// The number of entries in each table of the directory.
#[cfg(test)]
pub(super) struct DirectorySizes {
    pub(super) ids: usize,
    pub(super) backends: usize,
    pub(super) departed: usize,
    pub(super) departures: usize,
}
