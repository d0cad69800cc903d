//! One instance of the balancer, with the mapping between names in messages and the balancer's numeric ids. Instances
//! share no state.

use std::collections::{BTreeMap, HashMap};

use ivyhatch_balancer::{BackendId, Balancer, Member, Nanos, RequestId, SettingsError};
use ivyhatch_node_settings::{NameTable, NodeSettings};

use crate::input::ManifestEntry;

/// A request to which the balancer may still refer: it has not ended, or an attempt is in flight.
struct TrackedRequest {
    name: String,
    attempts_in_flight: u32,
    has_ended: bool,
}

/// Change of a tracked request by a message, applied once the balancer has handled the message's event.
pub(crate) enum RequestChange {
    /// An attempt has ended; the request has ended as well if `request_ended` is set.
    AttemptEnded { request: RequestId, request_ended: bool },
    /// The request has ended.
    Ended { request: RequestId },
}

/// A balancer with its name tables and its tracked requests.
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
    /// Creates an instance. `seed` is that of the balancer's random numbers, `now` the simulated time.
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

    /// The id of the backend with this name. The first use of a name assigns the id.
    pub(crate) fn backend_id(&mut self, name: &str) -> BackendId {
        if let Some(&id) = self.backend_ids.get(name) {
            return id;
        }
        let id = BackendId(self.backend_names.len() as u32);
        self.backend_names.push(name.to_owned());
        self.backend_ids.insert(name.to_owned(), id);
        id
    }

    /// The name of a backend. Panics for an id that [`Self::backend_id`] has not assigned.
    pub(crate) fn backend_name(&self, id: BackendId) -> &str {
        &self.backend_names[id.0 as usize]
    }

    /// Converts the entries of a server list to members with this instance's ids.
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

    /// Starts tracking a request, and returns the id assigned to it.
    pub(crate) fn track_request(&mut self, name: &str) -> RequestId {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        self.request_ids.insert(name.to_owned(), id);
        let request = TrackedRequest { name: name.to_owned(), attempts_in_flight: 0, has_ended: false };
        self.requests.insert(id, request);
        id
    }

    /// The id of the tracked request with this name; `None` if the request is not tracked.
    pub(crate) fn request_id(&self, name: &str) -> Option<RequestId> {
        self.request_ids.get(name).copied()
    }

    /// The name of a request; empty if the request is no longer tracked.
    pub(crate) fn request_name(&self, id: RequestId) -> &str {
        self.requests.get(&id).map_or("", |request| &request.name)
    }

    /// Records that the balancer has sent an attempt of a request.
    pub(crate) fn attempt_sent(&mut self, id: RequestId) {
        self.update_request(id, |request| request.attempts_in_flight += 1);
    }

    /// Records that a request has its final response, or needs none any more.
    pub(crate) fn request_ended(&mut self, id: RequestId) {
        self.update_request(id, |request| request.has_ended = true);
    }

    /// Applies the change of a request that a message has caused.
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

    /// Changes a tracked request. Stops tracking a request that has ended and has no attempt in flight, as the balancer
    /// can no longer refer to it.
    fn update_request(&mut self, id: RequestId, change: impl FnOnce(&mut TrackedRequest)) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        change(request);
        if request.has_ended && request.attempts_in_flight == 0 {
            self.request_ids.remove(&request.name);
            self.requests.remove(&id);
        }
    }
}
