//! Between the sockets and the design: the sole owner of the balancers, one a service, of ids, timers and the table of requests.
//! Events go in, actions come out; what an action asks of the network is left to the upstream. Nothing is decided here, and no
//! borrow outlives one of its calls.

mod answers;
mod attempt;
mod events;
mod requests;
mod server_list;
mod services;
mod state;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use ivyhatch_balancer::{BackendState, Outcome, RequestId};
use ivyhatch_node::connection_limits::{ConnectionLimiter, ConnectionTimeouts};
use ivyhatch_protocol::configuration::{RequestLimits, Route};
use ivyhatch_protocol::settings::Settings;
use ivyhatch_protocol::watch::Server;
use ivyhatch_protocol::{MILLISECOND, Nanos};
use ivyhatch_routing::load_report::LoadReport;
use ivyhatch_routing::route_table::PreparedChange;
use ivyhatch_routing::watch_client::EvacuationState;
use tokio::sync::{Notify, oneshot};

use super::answer::{Head, Reply, Sink};
use super::upstream::Upstream;
use crate::clock::Clock;
pub use attempt::{Asked, Call, Ending, Launch, Service, Ticket};
use state::{DispatcherState, Outputs};

/// How long past a request's end the design is waited for before the request is answered all the same.
const BACKSTOP: Nanos = 15 * MILLISECOND;
/// Beyond the time for which the list calls a server cold: the list's own lag and its way here.
const COLD_MORE: Nanos = 1500 * MILLISECOND;

/// A handle on the dispatcher. Cheap to clone.
#[derive(Clone)]
pub struct Dispatcher {
    state: Rc<RefCell<DispatcherState>>,
    upstream: Rc<Upstream>,
    connections: Rc<ConnectionLimiter>,
    timer: Rc<Notify>,
    readied: Rc<Notify>,
    clock: Clock,
}

/// A request that is owed its answer. Dropping it means that its client has gone.
pub struct Waiting {
    dispatcher: Dispatcher,
    request: RequestId,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let request = self.request;
        self.dispatcher.tell(|state, outputs| state.client_gone(request, outputs));
    }
}

impl Dispatcher {
    /// One that knows no route and no server yet.
    pub fn new(
        settings: &Settings,
        clock: Clock,
        upstream: Rc<Upstream>,
        connections: Rc<ConnectionLimiter>,
    ) -> Self {
        let state = Rc::new(RefCell::new(DispatcherState::new(settings, clock)));
        Self { state, upstream, connections, timer: Rc::default(), readied: Rc::default(), clock }
    }

    /// The present.
    pub fn now(&self) -> Nanos {
        self.clock.now()
    }

    /// Whether a configuration and a list of servers are known.
    pub fn is_ready(&self) -> bool {
        self.state.borrow().ready
    }

    /// From now on requests are taken. Whether they were not before.
    pub fn become_ready(&self) -> bool {
        let first = !std::mem::replace(&mut self.state.borrow_mut().ready, true);
        if first {
            self.readied.notify_waiters();
        }
        first
    }

    /// Waits until requests are taken, for so long at most. Whether they are.
    pub async fn readied(&self, within: Duration) -> bool {
        if !self.is_ready() {
            let _ = tokio::time::timeout(within, self.readied.notified()).await;
        }
        self.is_ready()
    }

    /// Requests that are owed an answer, or whose stream is under way.
    pub fn open(&self) -> usize {
        self.state.borrow().requests.values().filter(|open| !open.ended).count()
    }

    /// The route of a request.
    pub fn route(&self, host: &str, path: &str) -> Option<Rc<Route>> {
        self.state.borrow().table.find(host, path).cloned()
    }

    /// What clients may send.
    pub fn limits(&self) -> RequestLimits {
        self.state.borrow().table.limits()
    }

    /// Takes a change of the configuration in.
    pub fn configure(&self, change: PreparedChange) {
        let unreadable = self.state.borrow_mut().configure(change);
        for error in unreadable {
            log::error!("event=unreadable_item error={:?}", error.to_string());
        }
        let limits = self.limits();
        let time = |ms: f64| Duration::from_millis(ms.clamp(100.0, 600_000.0) as u64);
        self.connections.set_timeouts(ConnectionTimeouts {
            request_read: time(limits.header_timeout_ms),
            idle: time(limits.idle_timeout_ms),
        });
    }

    /// Takes the list of servers in; `evacuation` tells whether a zone is evacuated, and how often that has changed.
    pub fn servers(&self, servers: Vec<Server>, evacuation: impl Fn(&str) -> EvacuationState) {
        self.tell(|state, outputs| state.servers(servers, evacuation, outputs));
    }

    /// Whether the router can know what is ordered now. The list of servers is to be taken in anew.
    pub fn set_quorum_reachable(&self, quorum_reachable: bool) {
        self.state.borrow_mut().quorum_reachable = quorum_reachable;
    }

    /// So many routers share the servers, and this is one's place among them.
    pub fn set_routers(&self, routers: u32, place: u32) {
        self.state.borrow_mut().set_routers(routers, place);
    }

    /// Takes a request. None where an open one has its id: passed on, it would count as another attempt of that one.
    pub fn submit(&self, asked: Asked) -> Option<(Waiting, oneshot::Receiver<Reply>)> {
        let (reply, answer) = oneshot::channel();
        let request = self.tell(|state, outputs| state.submit(asked, reply, outputs))?;
        Some((Waiting { dispatcher: self.clone(), request }, answer))
    }

    /// Whether an attempt may still be written: a connect can outlast its request, or the server's place on the list.
    pub fn may_write(&self, ticket: Ticket) -> bool {
        let state = self.state.borrow();
        let now = state.clock.now();
        let live =
            state.requests.get(&ticket.request).is_some_and(|open| !open.ended && now < open.not_after);
        let known =
            state.services.get(&ticket.service).and_then(|service| service.backends.get(&ticket.backend));
        live && known.is_some_and(|known| known.stage == BackendState::InService)
    }

    /// A stream has begun to come. Returns the way to its client; none where that has gone.
    pub fn begun(&self, ticket: Ticket, head: Head, load: Option<LoadReport>) -> Option<Sink> {
        self.tell(|state, outputs| state.begun(ticket, head, load, outputs))
    }

    /// Events have been passed on.
    pub fn passed(&self, ticket: Ticket, last: Option<u64>) {
        let mut state = self.state.borrow_mut();
        if let (Some(open), Some(last)) = (state.requests.get_mut(&ticket.request), last) {
            open.last_event = Some(last);
        }
    }

    /// Takes the end of an attempt.
    pub fn settled(&self, ticket: Ticket, ending: Ending) {
        self.tell(|state, outputs| state.settled(ticket, ending, outputs));
    }

    /// Runs the timers; never ends.
    pub async fn run_timers(&self) {
        loop {
            let next = self.state.borrow().timers.first().map(|(at, _)| *at);
            match next {
                None => self.timer.notified().await,
                Some(at) => {
                    tokio::select! {
                        () = tokio::time::sleep_until(self.clock.instant(at)) => {}
                        () = self.timer.notified() => {}
                    }
                }
            }
            self.tell(|state, outputs| state.fire(outputs));
        }
    }

    /// One call inside; what it leaves to do is done once the borrow has ended.
    fn tell<T>(&self, call: impl FnOnce(&mut DispatcherState, &mut Outputs) -> T) -> T {
        let mut outputs = Outputs::default();
        let result = call(&mut self.state.borrow_mut(), &mut outputs);
        outputs.retired.into_iter().for_each(|(service, backend)| self.upstream.retire(service, backend));
        outputs.launches.into_iter().for_each(|launch| self.upstream.launch(self, launch));
        for ticket in outputs.not_sent {
            self.settled(ticket, Ending::bare(Outcome::NotSent));
        }
        if outputs.rearm {
            self.timer.notify_one();
        }
        result
    }
}
