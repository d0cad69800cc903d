//! The request table and the balancers of all services.
//!
//! [`Dispatcher`] is a handle on the single [`state::DispatcherState`], which owns the balancers, the route table, the requests in
//! progress and the timers. Its inputs are events of clients, servers and the control plane; its outputs are the balancers' decisions:
//! attempts to start or cancel, and responses to send. This module makes no decisions of its own. All calls are made in the process's
//! single thread, and no borrow of the state is held after a call returns.
//!
//! The number of requests in progress is bounded by the limit of client connections; the number of connections to servers is bounded by
//! the upstream's pool.

mod balancer_actions;
mod pending_request;
mod requests;
mod responses;
mod retry_usage_log;
mod server_list;
mod service;
mod services;
mod state;

#[cfg(test)]
mod retry_budget_tests;

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use ivyhatch_balancer::{BackendState, Outcome, RequestId};
use ivyhatch_node::connection_limits::{ConnectionLimiter, ConnectionTimeouts};
use ivyhatch_protocol::Nanos;
use ivyhatch_protocol::configuration::{RequestLimits, Route};
use ivyhatch_protocol::load_exchange::ServerLoad;
use ivyhatch_protocol::settings::Settings;
use ivyhatch_protocol::watch::Server;
use ivyhatch_routing::load_report::LoadReport;
use ivyhatch_routing::route_table::PreparedChange;
use ivyhatch_routing::router_share::RouterShare;
use ivyhatch_routing::watch_client::EvacuationState;
use tokio::sync::{Notify, oneshot};
use tokio::time::{sleep_until, timeout};

use super::attempt::{AttemptId, AttemptObserver, AttemptOutcome};
use super::client_response::{ClientResponse, ResponseHead, StreamSender};
use super::upstream::Upstream;
use crate::clock::Clock;
pub use requests::IncomingRequest;
use state::{DispatcherState, Outputs};

/// Lower bound of the client connections' timeouts that the configuration sets, in milliseconds.
const MIN_CONNECTION_TIMEOUT_MS: f64 = 100.0;
/// Upper bound of the client connections' timeouts that the configuration sets, in milliseconds.
const MAX_CONNECTION_TIMEOUT_MS: f64 = 600_000.0;

/// A handle on the dispatcher's state. Cheap to clone.
#[derive(Clone)]
pub struct Dispatcher {
    state: Rc<RefCell<DispatcherState>>,
    upstream: Rc<Upstream>,
    connections: Rc<ConnectionLimiter>,
    /// Notified when a timer is set that is due before all other timers.
    earlier_timer: Rc<Notify>,
    became_ready: Rc<Notify>,
    clock: Clock,
}

/// Keeps a request alive while its client waits. Dropping the guard cancels the request unless the request has ended.
pub struct RequestGuard {
    dispatcher: Dispatcher,
    request: RequestId,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let request = self.request;
        self.dispatcher.update(|state, outputs| state.client_disconnected(request, outputs));
    }
}

impl Dispatcher {
    /// Creates a dispatcher without routes and servers. It is not ready until [`Self::become_ready`] is called.
    pub fn new(
        settings: &Settings,
        clock: Clock,
        upstream: Rc<Upstream>,
        connections: Rc<ConnectionLimiter>,
    ) -> Self {
        let state = Rc::new(RefCell::new(DispatcherState::new(settings, clock)));
        let (earlier_timer, became_ready) = (Rc::default(), Rc::default());
        Self { state, upstream, connections, earlier_timer, became_ready, clock }
    }

    /// The current time, in nanoseconds of the process's [`Clock`].
    pub fn now(&self) -> Nanos {
        self.clock.now()
    }

    /// Whether requests are accepted, because a configuration and a server list are known.
    pub fn is_ready(&self) -> bool {
        self.state.borrow().is_ready
    }

    /// Accepts requests from now on. Returns whether the dispatcher was not ready before.
    pub fn become_ready(&self) -> bool {
        let was_ready = std::mem::replace(&mut self.state.borrow_mut().is_ready, true);
        if !was_ready {
            self.became_ready.notify_waiters();
        }
        !was_ready
    }

    /// Waits until the dispatcher is ready, but no longer than `limit`. Returns whether the dispatcher is ready.
    pub async fn wait_until_ready(&self, limit: Duration) -> bool {
        if !self.is_ready() {
            let _ = timeout(limit, self.became_ready.notified()).await;
        }
        self.is_ready()
    }

    /// The number of requests that have no response yet, or whose stream has not ended.
    pub fn requests_in_progress(&self) -> usize {
        self.state.borrow().requests.values().filter(|request| !request.has_ended).count()
    }

    /// The route that matches a request's host and path; `None` if there is none.
    pub fn route(&self, host: &str, path: &str) -> Option<Rc<Route>> {
        self.state.borrow().route_table.find(host, path).cloned()
    }

    /// The limits on requests that the configuration sets.
    pub fn limits(&self) -> RequestLimits {
        self.state.borrow().route_table.limits()
    }

    /// Applies a change of the configuration. Invalid items are logged and left out.
    pub fn configure(&self, change: PreparedChange) {
        let invalid_items = self.state.borrow_mut().configure(change);
        for error in invalid_items {
            log::error!("event=configuration_item_invalid error={:?}", error.to_string());
        }
        let limits = self.limits();
        let duration = |milliseconds: f64| {
            let milliseconds = milliseconds.clamp(MIN_CONNECTION_TIMEOUT_MS, MAX_CONNECTION_TIMEOUT_MS);
            Duration::from_millis(milliseconds as u64)
        };
        self.connections.set_timeouts(ConnectionTimeouts {
            request_read: duration(limits.header_timeout_ms),
            idle: duration(limits.idle_timeout_ms),
        });
    }

    /// Replaces the server list; `evacuation` returns the evacuation state of a zone.
    pub fn set_servers(&self, servers: Vec<Server>, evacuation: impl Fn(&str) -> EvacuationState) {
        self.update(|state, outputs| state.set_servers(servers, evacuation, outputs));
    }

    /// Sets whether the control nodes that the router watches reach a quorum. Without a quorum, the evacuations and the number of routers
    /// may be stale. The change affects evacuations from the next call of [`Self::set_servers`] on.
    pub fn set_quorum_reachable(&self, is_quorum_reachable: bool) {
        self.state.borrow_mut().set_quorum_reachable(is_quorum_reachable);
    }

    /// Sets the number of routers that share the servers' capacity, and this router's index among them.
    pub fn set_router_share(&self, share: RouterShare) {
        self.state.borrow_mut().set_router_share(share);
    }

    /// The load that this router has placed on model servers, to be sent to the other routers.
    pub fn local_loads(&self) -> Vec<ServerLoad> {
        let state = self.state.borrow();
        state.services.values().flat_map(|service| service.placement.borrow().local_loads()).collect()
    }

    /// Records the load that all other routers have placed on model servers.
    pub fn record_other_routers_loads(&self, loads: Vec<ServerLoad>) {
        let now = self.clock.now();
        let loads: HashMap<u32, ServerLoad> = loads.into_iter().map(|load| (load.server, load)).collect();
        for service in self.state.borrow().services.values() {
            service.placement.borrow_mut().record_peer_loads(now, &loads);
        }
    }

    /// Submits a request. Returns `None` if a request with the same ID is in progress. Dropping the guard cancels the request.
    pub fn submit(
        &self,
        incoming: IncomingRequest,
    ) -> Option<(RequestGuard, oneshot::Receiver<ClientResponse>)> {
        let (sender, response) = oneshot::channel();
        self.state.borrow().record_idle_connections(|server| self.upstream.has_idle_connection(server));
        let request = self.update(|state, outputs| state.submit(incoming, sender, outputs))?;
        Some((RequestGuard { dispatcher: self.clone(), request }, response))
    }

    /// Fires timers when they are due; never returns.
    pub async fn run_timers(&self) {
        loop {
            let next_at = self.state.borrow().next_timer_at();
            match next_at {
                None => self.earlier_timer.notified().await,
                Some(at) => {
                    tokio::select! {
                        () = sleep_until(self.clock.instant(at)) => {}
                        () = self.earlier_timer.notified() => {}
                    }
                }
            }
            self.update(DispatcherState::fire_timers);
        }
    }

    /// Calls `call` on the state, and then executes its outputs. The state is no longer borrowed by then, as executing an output may call
    /// `update` again.
    fn update<T>(&self, call: impl FnOnce(&mut DispatcherState, &mut Outputs) -> T) -> T {
        let mut outputs = Outputs::default();
        let result = call(&mut self.state.borrow_mut(), &mut outputs);
        for server in outputs.drained_servers {
            self.upstream.drop_idle_connections(server);
        }
        for attempt in outputs.attempts {
            self.upstream.start_attempt(self, attempt);
        }
        for attempt in outputs.unsendable_attempts {
            self.attempt_finished(attempt, AttemptOutcome::without_response(Outcome::NotSent));
        }
        if outputs.has_earlier_timer {
            self.earlier_timer.notify_one();
        }
        result
    }
}

impl AttemptObserver for Dispatcher {
    fn may_send(&self, attempt: AttemptId) -> bool {
        let state = self.state.borrow();
        let now = state.clock.now();
        let request = state.requests.get(&attempt.request);
        let is_awaited = request.is_some_and(|request| !request.has_ended && now < request.not_after);
        let service = state.services.get(&attempt.server.service);
        let server = service.and_then(|service| service.servers.get(&attempt.server.backend));
        is_awaited && server.is_some_and(|server| server.state == BackendState::InService)
    }

    fn response_started(
        &self,
        attempt: AttemptId,
        head: ResponseHead,
        load: Option<LoadReport>,
    ) -> Option<StreamSender> {
        self.update(|state, outputs| state.response_started(attempt, head, load, outputs))
    }

    fn events_forwarded(&self, attempt: AttemptId, last_event_id: Option<u64>) {
        let mut state = self.state.borrow_mut();
        if let (Some(request), Some(id)) = (state.requests.get_mut(&attempt.request), last_event_id) {
            request.last_event_id = Some(id);
        }
    }

    fn attempt_finished(&self, attempt: AttemptId, outcome: AttemptOutcome) {
        self.update(|state, outputs| state.attempt_finished(attempt, outcome, outputs));
    }
}
