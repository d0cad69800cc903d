//! [`Node`], the handle through which the server, the transport and the discovery client use the driver.

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

/// Carries out the balancer's actions on the network.
pub trait Transport {
    /// Starts an attempt. The transport reports the attempt's result by [`Node::attempt_ended`], exactly once.
    fn start_attempt(&self, node: &Node, attempt: AttemptStart);
    /// Closes the idle connections to a backend that drains or has left, moved or restarted.
    fn close_idle_connections(&self, backend: BackendId);
    /// Starts a probe. The transport reports the probe's result by [`Node::probe_ended`], exactly once.
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

/// The state of a backend, for operators.
pub struct BackendView {
    /// The backend's name in discovery's list.
    pub uid: String,
    /// The name of the backend's zone; `?` for a zone without a name.
    pub zone: String,
    /// The address at which the backend listens.
    pub endpoint: SocketAddr,
    /// Whether the backend is draining.
    pub draining: bool,
    /// The load and health of the backend as the balancer has them.
    pub snapshot: BackendSnapshot,
}

/// The state of the node, for operators.
pub struct NodeView {
    /// How many requests the balancer has open.
    pub open_requests: usize,
    /// The state of each listed backend.
    pub backends: Vec<BackendView>,
}

/// The settings of a request class.
#[derive(Clone, Copy, Debug)]
pub struct RequestClass {
    /// The class's number in the balancer's settings.
    pub number: u32,
    /// The longest time that clients wait for a response to a request of the class.
    pub deadline: Nanos,
    /// Whether requests of the class may be sent again after an attempt that may have run.
    pub idempotency: Idempotency,
}

/// The error for a tenant that the settings do not list.
#[derive(Debug, thiserror::Error)]
#[error("unknown tenant")]
pub struct UnknownTenant;

impl Node {
    /// A node without backends. The error names the setting that the balancer rejects.
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

    /// The number of requests by their final reply.
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

    /// A request class by its name; `None` if the settings do not list the class.
    pub fn class(&self, name: &str) -> Option<RequestClass> {
        let driver = self.driver.borrow();
        let number = driver.backends.names().class(name)?;
        let class = driver.settings.classes.get(number as usize)?;
        Some(RequestClass { number, deadline: class.deadline, idempotency: class.idempotency })
    }

    /// A tenant's number; `None` if the settings list no tenants.
    ///
    /// # Errors
    /// [`UnknownTenant`] if the settings list tenants and `name` is `None` or not among them.
    pub fn tenant(&self, name: Option<&str>) -> Result<Option<u32>, UnknownTenant> {
        let driver = self.driver.borrow();
        if driver.settings.tenant_quotas.is_empty() {
            return Ok(None);
        }
        driver.backends.names().tenant(name).map(Some).ok_or(UnknownTenant)
    }

    /// The longest deadline of all request classes.
    pub fn longest_deadline(&self) -> Duration {
        let driver = self.driver.borrow();
        Duration::from_nanos(driver.settings.classes.iter().map(|class| class.deadline).max().unwrap_or(0))
    }

    /// Accepts a request and returns its pending reply. Dropping the [`PendingReply`] before the reply means that the client has
    /// disconnected. `None` if the request's id is in use: a backend would count the new request as another attempt of the
    /// request that has the id.
    pub fn submit(&self, request: ClientRequest) -> Option<PendingReply> {
        let (sender, reply) = oneshot::channel();
        let request = self.call(|driver, outputs| driver.submit(request, sender, outputs))?;
        Some(PendingReply { node: self.clone(), request, reply })
    }

    /// Whether an attempt may still be written to its connection. A connect can take longer than the request's deadline, the
    /// window in which backends recognise the idempotency key of an earlier attempt, or the drain grace of the backend.
    pub fn may_write(&self, key: AttemptKey) -> bool {
        let driver = self.driver.borrow();
        let now = driver.clock.now();
        // Half the grace: the drain was announced before this node read the list, and the request takes a while to arrive at
        // the backend (docs/incidents/narrow-moments.md).
        let grace = driver.settings.rules.drain_grace / 2;
        driver.requests.may_write(key, now) && driver.backends.may_write_to(key.backend, now, grace)
    }

    /// Whether a backend is in service at `endpoint`.
    pub fn serves_at(&self, backend: BackendId, endpoint: SocketAddr) -> bool {
        let backends = &self.driver.borrow().backends;
        backends.endpoint(backend) == Some(endpoint) && backends.is_draining(backend) == Some(false)
    }

    /// Reports the result of an attempt. A second result of the same attempt is ignored.
    pub fn attempt_ended(&self, key: AttemptKey, result: AttemptResult) {
        self.call(|driver, outputs| driver.attempt_ended(key, result, outputs));
    }

    /// Reports the result of a probe. The result of a cancelled probe is ignored.
    pub fn probe_ended(&self, key: ProbeKey, result: AttemptResult) {
        self.call(|driver, outputs| driver.probe_ended(key, result, outputs));
    }

    /// Reports to the balancer that a probe it asked for is not made.
    fn skip_probe(&self, backend: BackendId) {
        self.call(|driver, outputs| driver.cancel_probe(backend, outputs));
    }

    /// Cancels all probes and makes no more: a node that shuts down has no use for load reports.
    pub fn stop_probing(&self) {
        self.call(Driver::stop_probing);
    }

    /// Applies a list of backends from discovery.
    pub fn apply_list(&self, scope: ListScope, list: Vec<BackendRecord>) {
        self.call(|driver, outputs| driver.apply_list(scope, list, outputs));
    }

    /// Reports to the balancer that a call to discovery has failed.
    pub fn discovery_failed(&self) {
        self.call(|driver, outputs| driver.handle(Event::DiscoveryFailed, outputs));
    }

    /// Whether the balancer has requested the full list since the last call of this function.
    pub fn take_full_list_wanted(&self) -> bool {
        std::mem::take(&mut self.driver.borrow_mut().full_list_wanted)
    }

    /// Waits for each timer and handles it when it is due; never returns.
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

    /// Runs `call` on the driver, and carries out the resulting outputs after the driver's borrow has ended.
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

/// An accepted request that has no reply yet. Dropping it means that the client has disconnected.
pub struct PendingReply {
    node: Node,
    request: RequestId,
    reply: oneshot::Receiver<Reply>,
}

impl PendingReply {
    /// Waits for the final reply.
    pub async fn reply(mut self) -> Reply {
        // The sender is dropped unused only if the request has been removed without a reply; it may have run.
        (&mut self.reply).await.unwrap_or(Reply::Failed)
    }
}

impl Drop for PendingReply {
    /// When a client disconnects, its connection's task ends and drops the pending reply. This is the only place where the
    /// driver is notified of the disconnect.
    fn drop(&mut self) {
        let request = self.request;
        self.node.call(|driver, outputs| driver.client_disconnected(request, outputs));
    }
}
