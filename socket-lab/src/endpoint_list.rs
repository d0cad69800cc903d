//! The list of servers that discovery publishes, with the revision of each change.

use ivyhatch_lab::{ListedServer, Nanos, ServerState};

/// A server's entry in the list.
#[derive(Clone, Copy)]
pub(crate) struct Endpoint {
    /// The server's number.
    pub(crate) server: usize,
    pub(crate) state: ServerState,
    pub(crate) started: Option<Nanos>,
    /// The list's revision at the last change of this entry.
    revision: u64,
}

impl Endpoint {
    /// Converts the entry to the form that the invariant checker takes.
    pub(crate) fn as_listed(&self) -> ListedServer {
        let in_service = self.state == ServerState::Serving;
        ListedServer { server: self.server as u32, in_service, started: self.started }
    }
}

/// The content of full lists during staleness faults.
struct StaleList {
    /// Number of active staleness faults.
    faults: u32,
    endpoints: Vec<Endpoint>,
}

/// The list of servers, and the state of discovery's faults.
pub(crate) struct EndpointList {
    revision: u64,
    endpoints: Vec<Endpoint>,
    /// Number of active faults that make discovery unavailable.
    pub(crate) outages: u32,
    stale: Option<StaleList>,
}

impl EndpointList {
    /// A list in which all servers are in service.
    pub(crate) fn new(servers: usize) -> Self {
        let endpoint = |server| Endpoint { server, state: ServerState::Serving, started: None, revision: 1 };
        Self { revision: 1, endpoints: (0..servers).map(endpoint).collect(), outages: 0, stale: None }
    }

    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    /// Changes one server's entry. Returns the new revision.
    pub(crate) fn update(&mut self, server: usize, state: ServerState, started: Option<Nanos>) -> u64 {
        self.revision += 1;
        self.endpoints[server] = Endpoint { server, state, started, revision: self.revision };
        self.revision
    }

    /// The full list, without servers that have no process. During a staleness fault, the list as of the fault's start.
    pub(crate) fn full(&self) -> Vec<Endpoint> {
        let endpoints = self.stale.as_ref().map_or(&self.endpoints, |stale| &stale.endpoints);
        endpoints.iter().copied().filter(|endpoint| endpoint.state != ServerState::Gone).collect()
    }

    /// The entries that have changed since a revision, servers without a process included. Staleness faults don't apply.
    pub(crate) fn changes_since(&self, revision: u64) -> Vec<Endpoint> {
        self.endpoints.iter().copied().filter(|endpoint| endpoint.revision > revision).collect()
    }

    /// Starts a staleness fault: full lists stay as they are now.
    pub(crate) fn freeze(&mut self) {
        let current = &self.endpoints;
        let stale = self.stale.get_or_insert_with(|| StaleList { faults: 0, endpoints: current.clone() });
        stale.faults += 1;
    }

    /// Ends a staleness fault. Full lists are current again once no such fault is left.
    pub(crate) fn unfreeze(&mut self) {
        if let Some(stale) = &mut self.stale {
            stale.faults -= 1;
        }
        self.stale = self.stale.take().filter(|stale| stale.faults > 0);
    }
}
