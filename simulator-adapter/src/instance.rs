//! One instance of the balancer, with the wire's names for its numbers. Instances share nothing.

use std::collections::{BTreeMap, HashMap};

use ivyhatch_balancer::{BackendId, Balancer, Member, Nanos, RequestId, SettingsError};
use ivyhatch_node_settings::{NameTable, NodeSettings};

use crate::input::ManifestEntry;

/// A request that the balancer may still refer to.
struct TrackedRequest {
    name: String,
    attempts_in_flight: u32,
    has_ended: bool,
}

/// What a message changes of a request, once the balancer has handled its event.
pub(crate) enum RequestChange {
    /// An attempt has ended, and perhaps the request with it.
    AttemptEnded { request: RequestId, request_ended: bool },
    /// The request has ended.
    Ended { request: RequestId },
}

/// An instance.
pub(crate) struct Instance {
    pub(crate) balancer: Balancer,
    pub(crate) names: NameTable,
    backend_ids: HashMap<String, BackendId>,
    backend_names: Vec<String>,
    request_ids: HashMap<String, RequestId>,
    requests: BTreeMap<RequestId, TrackedRequest>,
    next_request: u64,
}

impl Instance {
    /// An instance with these settings and this seed for its random numbers.
    ///
    /// # Errors
    /// If the balancer rejects the settings.
    pub(crate) fn new(settings: NodeSettings, seed: u64, now: Nanos) -> Result<Self, SettingsError> {
        Ok(Self {
            balancer: Balancer::new(settings.balancer, seed, now)?,
            names: settings.names,
            backend_ids: HashMap::new(),
            backend_names: Vec::new(),
            request_ids: HashMap::new(),
            requests: BTreeMap::new(),
            next_request: 0,
        })
    }

    /// The id of a backend's name, assigned at its first use.
    pub(crate) fn backend_id(&mut self, name: &str) -> BackendId {
        if let Some(&id) = self.backend_ids.get(name) {
            return id;
        }
        let id = BackendId(self.backend_names.len() as u32);
        self.backend_names.push(name.to_owned());
        self.backend_ids.insert(name.to_owned(), id);
        id
    }

    /// The name of a backend that the balancer knows from this instance.
    pub(crate) fn backend_name(&self, id: BackendId) -> &str {
        &self.backend_names[id.0 as usize]
    }

    /// A list, with this instance's ids.
    pub(crate) fn members(&mut self, entries: &[ManifestEntry]) -> Vec<Member> {
        let member = |entry: &ManifestEntry| Member {
            backend: self.backend_id(&entry.backend),
            zone: self.names.zone(&entry.zone),
            machine_kind: self.names.kind(&entry.machine_kind),
            cell: entry.cell,
            state: entry.state,
            weight: entry.weight,
            online_since: entry.online_since,
        };
        entries.iter().map(member).collect()
    }

    /// Tracks a new request. Returns its id.
    pub(crate) fn track_request(&mut self, name: &str) -> RequestId {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        self.request_ids.insert(name.to_owned(), id);
        let request = TrackedRequest { name: name.to_owned(), attempts_in_flight: 0, has_ended: false };
        self.requests.insert(id, request);
        id
    }

    /// The id of a tracked request's name.
    pub(crate) fn request_id(&self, name: &str) -> Option<RequestId> {
        self.request_ids.get(name).copied()
    }

    /// The name of a request; empty if it is not tracked any more.
    pub(crate) fn request_name(&self, id: RequestId) -> &str {
        self.requests.get(&id).map_or("", |request| &request.name)
    }

    /// The balancer has sent an attempt.
    pub(crate) fn attempt_sent(&mut self, id: RequestId) {
        self.update_request(id, |request| request.attempts_in_flight += 1);
    }

    /// A request has its final response, or needs none.
    pub(crate) fn request_ended(&mut self, id: RequestId) {
        self.update_request(id, |request| request.has_ended = true);
    }

    /// Applies what a message changes of a request.
    pub(crate) fn apply(&mut self, change: &RequestChange) {
        match *change {
            RequestChange::AttemptEnded { request, request_ended } => {
                self.update_request(request, |request| {
                    request.attempts_in_flight = request.attempts_in_flight.saturating_sub(1);
                    request.has_ended |= request_ended;
                });
            }
            RequestChange::Ended { request } => self.request_ended(request),
        }
    }

    /// Changes a request, and drops it if the balancer can't refer to it any more.
    fn update_request(&mut self, id: RequestId, change: impl FnOnce(&mut TrackedRequest)) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        change(request);
        if request.has_ended && request.attempts_in_flight == 0 {
            self.request_ids.remove(&request.name);
            self.requests.remove(&id);
        }
    }
}
