//! The handle on the driver through which the server, the transport and the discovery client use it.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ivyhatch_balancer::{
    BackendId, BackendSnapshot, Event, Idempotency, ListScope, Nanos, Outcome, RequestId, Settings,
    SettingsError,
};
use ivyhatch_node_settings::NameTable;
use tokio::sync::{Notify, oneshot};
use tokio::time::sleep_until;

use super::attempts::{AttemptKey, AttemptResult, AttemptStart};
use super::backend_directory::BackendRecord;
use super::clock::Clock;
use super::dispatch::{Driver, Outputs};
use super::health_checks::{ProbeKey, ProbeStart};
use super::request_table::ReplyCounts;
use super::requests::{ClientRequest, Reply};

/// Carries out on the network what the balancer asks for.
pub trait Transport {
    /// Starts an attempt; its result comes back by [`Node::attempt_ended`], exactly once.
    fn start_attempt(&self, node: &Node, attempt: AttemptStart);
    /// Closes the idle connections to a backend that has left, moved or restarted.
    fn close_idle_connections(&self, backend: BackendId);
    /// Starts a probe; its result comes back by [`Node::probe_ended`], exactly once.
    fn start_probe(&self, node: &Node, probe: ProbeStart);
}

/// A handle on the driver. Cheap to clone; no borrow of the driver outlives a call.
#[derive(Clone)]
pub struct Node {
    pub(super) driver: Rc<RefCell<Driver>>,
    transport: Rc<dyn Transport>,
    timer_changed: Rc<Notify>,
    clock: Clock,
}

/// A backend as it is shown to operators.
pub struct BackendView {
    /// Its name in discovery's list.
    pub uid: String,
    /// Its zone's name.
    pub zone: String,
    /// Where it listens.
    pub endpoint: SocketAddr,
    /// Whether it drains.
    pub draining: bool,
    /// What the balancer knows of it.
    pub snapshot: BackendSnapshot,
}

/// The node's open requests and backends as they are shown to operators.
pub struct NodeView {
    /// How many requests are open.
    pub open_requests: usize,
    /// Each backend.
    pub backends: Vec<BackendView>,
}

/// What the settings say of a class of requests.
#[derive(Clone, Copy, Debug)]
pub struct RequestClass {
    /// Its number.
    pub number: u32,
    /// The longest that its clients wait.
    pub deadline: Nanos,
    /// Whether its requests may be repeated.
    pub idempotency: Idempotency,
}

/// The settings list no such tenant.
#[derive(Debug, thiserror::Error)]
#[error("unknown tenant")]
pub struct UnknownTenant;

impl Node {
    /// A node with no backends yet. The error names the setting that the balancer rejects.
    pub fn new(
        settings: Settings,
        names: NameTable,
        seed: u64,
        clock: Clock,
        transport: Rc<dyn Transport>,
    ) -> Result<Self, SettingsError> {
        let driver = Rc::new(RefCell::new(Driver::new(settings, names, seed, clock)?));
        let node = Self { driver, transport, timer_changed: Rc::default(), clock };
        node.call(|driver, outputs| driver.handle(Event::Start, outputs));
        Ok(node)
    }

    /// How many requests have had which final reply.
    pub fn reply_counts(&self) -> ReplyCounts {
        self.driver.borrow().requests.reply_counts()
    }

    /// The open requests and the backends, for operators.
    pub fn view(&self) -> NodeView {
        let driver = self.driver.borrow();
        let names = driver.backends.names_by_id();
        let view = |snapshot: BackendSnapshot| {
            let zone = driver.backends.names().zone_name(snapshot.zone).unwrap_or("?");
            Some(BackendView {
                uid: names.get(&snapshot.backend)?.to_string(),
                zone: zone.to_owned(),
                endpoint: driver.backends.endpoint(snapshot.backend)?,
                draining: driver.backends.is_draining(snapshot.backend)?,
                snapshot,
            })
        };
        let snapshots = driver.balancer.backend_snapshots(self.clock.now());
        NodeView {
            open_requests: driver.balancer.open_requests(),
            backends: snapshots.into_iter().filter_map(view).collect(),
        }
    }

    /// The node's clock.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// A class by name, or none where the settings do not list it.
    pub fn class(&self, name: &str) -> Option<RequestClass> {
        let driver = self.driver.borrow();
        let number = driver.backends.names().class(name)?;
        let class = driver.settings.classes.get(number as usize)?;
        Some(RequestClass { number, deadline: class.deadline, idempotency: class.idempotency })
    }

    /// A tenant's number; none on a site without tenants.
    ///
    /// # Errors
    /// [`UnknownTenant`] for a name that the settings of a site with tenants do not list.
    pub fn tenant(&self, name: Option<&str>) -> Result<Option<u32>, UnknownTenant> {
        let driver = self.driver.borrow();
        if driver.settings.tenant_quotas.is_empty() {
            return Ok(None);
        }
        driver.backends.names().tenant(name).map(Some).ok_or(UnknownTenant)
    }

    /// The longest that any client waits.
    pub fn longest_deadline(&self) -> Duration {
        let driver = self.driver.borrow();
        Duration::from_nanos(driver.settings.classes.iter().map(|class| class.deadline).max().unwrap_or(0))
    }

    /// Accepts a request; the reply comes through what is returned. Dropping that first means that the client has
    /// disconnected. None where its id is in use: forwarded, it would count as another attempt of that request.
    pub fn submit(&self, request: ClientRequest) -> Option<PendingReply> {
        let (sender, reply) = oneshot::channel();
        let request = self.call(|driver, outputs| driver.submit(request, sender, outputs))?;
        Some(PendingReply { node: self.clone(), request, reply })
    }

    /// Whether an attempt may still be written: a connect can outlast its request, the window in which an earlier attempt's
    /// idempotency key is recognised, or the grace of a backend that has begun to drain.
    pub fn may_write(&self, key: AttemptKey) -> bool {
        let driver = self.driver.borrow();
        let now = driver.clock.now();
        // Half the grace: the drain was announced before the list was read here, and the bytes take a while to arrive
        // (docs/incidents/narrow-moments.md).
        let grace = driver.settings.rules.drain_grace / 2;
        driver.requests.may_write(key, now) && driver.backends.may_write_to(key.backend, now, grace)
    }

    /// Whether a backend is in service, and at this address.
    pub fn serves_at(&self, backend: BackendId, endpoint: SocketAddr) -> bool {
        let backends = &self.driver.borrow().backends;
        backends.endpoint(backend) == Some(endpoint) && backends.is_draining(backend) == Some(false)
    }

    /// Takes the result of an attempt.
    pub fn attempt_ended(&self, key: AttemptKey, result: AttemptResult) {
        self.call(|driver, outputs| driver.attempt_ended(key, result, outputs));
    }

    /// Takes the result of a probe.
    pub fn probe_ended(&self, key: ProbeKey, result: AttemptResult) {
        self.call(|driver, outputs| driver.probe_ended(key, result, outputs));
    }

    /// A probe that the balancer asked for is not made.
    fn skip_probe(&self, backend: BackendId) {
        self.call(|driver, outputs| driver.cancel_probe(backend, outputs));
    }

    /// Cancels all probes and makes no more: a node that shuts down has nothing to decide by their reports.
    pub fn stop_probing(&self) {
        self.call(Driver::stop_probing);
    }

    /// Applies a list of backends from discovery.
    pub fn apply_list(&self, scope: ListScope, list: Vec<BackendRecord>) {
        self.call(|driver, outputs| driver.apply_list(scope, list, outputs));
    }

    /// A call to discovery has failed.
    pub fn discovery_failed(&self) {
        self.call(|driver, outputs| driver.handle(Event::DiscoveryFailed, outputs));
    }

    /// Whether the balancer wants the full list next; the call resets it.
    pub fn take_full_list_wanted(&self) -> bool {
        std::mem::take(&mut self.driver.borrow_mut().full_list_wanted)
    }

    /// Runs the timers; never returns.
    pub async fn run_timers(&self) {
        loop {
            let next = self.driver.borrow().timers.next_at();
            match next {
                None => self.timer_changed.notified().await,
                Some(at) => {
                    tokio::select! {
                        () = sleep_until(self.clock.instant(at)) => {}
                        () = self.timer_changed.notified() => {}
                    }
                }
            }
            self.call(Driver::fire_timers);
        }
    }

    /// One call into the driver; its outputs are carried out once the borrow has ended.
    fn call<T>(&self, call: impl FnOnce(&mut Driver, &mut Outputs) -> T) -> T {
        let mut outputs = Outputs::default();
        let result = call(&mut self.driver.borrow_mut(), &mut outputs);
        for backend in outputs.close_connections_to {
            self.transport.close_idle_connections(backend);
        }
        for attempt in outputs.attempts {
            self.transport.start_attempt(self, attempt);
        }
        for probe in outputs.probes {
            self.transport.start_probe(self, probe);
        }
        for backend in outputs.skipped_probes {
            self.skip_probe(backend);
        }
        for key in outputs.unsendable_attempts {
            self.attempt_ended(key, AttemptResult::without_response(Outcome::NotSent));
        }
        if outputs.rearm_timer {
            self.timer_changed.notify_one();
        }
        result
    }
}

/// A request that is owed its reply.
pub struct PendingReply {
    node: Node,
    request: RequestId,
    reply: oneshot::Receiver<Reply>,
}

impl PendingReply {
    /// The final reply.
    pub async fn reply(mut self) -> Reply {
        // The sender is dropped unused only if the request has vanished, of which nothing can be promised.
        (&mut self.reply).await.unwrap_or(Reply::Failed)
    }
}

impl Drop for PendingReply {
    /// A client that disconnects takes its connection's task with it, and so this: the one place that notices.
    fn drop(&mut self) {
        let request = self.request;
        self.node.call(|driver, outputs| driver.client_disconnected(request, outputs));
    }
}
