//! The control socket: a Unix socket over which operators on the same machine show the node's state and drain the node. Each
//! command is one line with a JSON object, and so is each response. Disabled if no path is given.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ivyhatch_admin_protocol::ConnectionLimits;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::net::UnixListener;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use crate::client_listener::DrainPhase;
use crate::driver::{BackendView, Node};

const LIMITS: ConnectionLimits =
    ConnectionLimits { max_line_bytes: 4096, idle_timeout: Duration::from_secs(10), max_connections: 8 };
const NANOS_PER_MILLISECOND: u64 = 1_000_000;
/// A backend with less than its full share of capacity is in slow start.
const FULL_CAPACITY: f64 = 1.0;

#[derive(Deserialize)]
#[serde(tag = "op", rename_all = "snake_case", deny_unknown_fields)]
enum Command {
    /// Shows the state of the node and a summary of each zone.
    State {},
    /// Shows each backend, with what the balancer knows of its load.
    Servers {},
    /// Drains the node until an undrain: readiness fails and each response closes its connection, so that clients move to other
    /// nodes.
    Drain {},
    /// Ends a drain.
    Undrain {},
}

/// Executes the commands of the control socket.
pub struct ControlSocket {
    name: String,
    listen: SocketAddr,
    node: Node,
    phase: watch::Sender<DrainPhase>,
    /// Whether the process is shutting down, which can't be undone.
    shutting_down: Cell<bool>,
    /// The delay between the start of a drain and the closing of idle connections.
    idle_close_delay: Duration,
    /// Counts drains and undrains, so that the timer of an earlier drain is recognised as stale.
    drain_generation: Cell<u32>,
    started_at: Instant,
}

impl ControlSocket {
    /// A control socket for `node`, which serves clients at `listen`. Commands change `phase`; `idle_close_delay` after the
    /// start of a drain idle connections are closed.
    pub fn new(
        name: String,
        listen: SocketAddr,
        node: Node,
        phase: watch::Sender<DrainPhase>,
        idle_close_delay: Duration,
    ) -> Rc<Self> {
        Rc::new(Self {
            name,
            listen,
            node,
            phase,
            shutting_down: Cell::new(false),
            idle_close_delay,
            drain_generation: Cell::new(0),
            started_at: Instant::now(),
        })
    }

    /// Serves commands; never returns.
    pub async fn run(self: Rc<Self>, listener: UnixListener) {
        ivyhatch_admin_protocol::serve(listener, LIMITS, move |command| self.execute(command)).await;
    }

    /// Rejects all further drains and undrains.
    pub fn start_shutdown(&self) {
        self.shutting_down.set(true);
    }

    fn execute(self: &Rc<Self>, command: Command) -> Value {
        match command {
            Command::State {} => self.state(),
            Command::Servers {} => {
                let backends = self.node.view().backends;
                json!({"servers": backends.iter().map(server_json).collect::<Vec<_>>()})
            }
            Command::Drain {} if self.shutting_down.get() => json!({"error": "the node ends"}),
            Command::Drain {} => {
                self.drain();
                self.state()
            }
            Command::Undrain {} if self.shutting_down.get() => {
                json!({"error": "the node ends, and that can't be taken back"})
            }
            Command::Undrain {} => {
                self.undrain();
                self.state()
            }
        }
    }

    /// Starts a drain. As at a shutdown, idle connections are closed after a delay. Connections are still accepted, and those
    /// accepted during the drain serve one request each.
    fn drain(self: &Rc<Self>) {
        let drain_started = self.phase.send_if_modified(|phase| {
            let was_serving = *phase == DrainPhase::Serving;
            if was_serving {
                *phase = DrainPhase::Draining;
            }
            was_serving
        });
        if !drain_started {
            return;
        }
        tracing::info!("{} draining", self.name);
        let generation = self.drain_generation.get().wrapping_add(1);
        self.drain_generation.set(generation);
        let control = self.clone();
        spawn_local(async move {
            sleep(control.idle_close_delay).await;
            if control.drain_generation.get() == generation && !control.shutting_down.get() {
                control.enter(DrainPhase::ClosingIdle);
            }
        });
    }

    fn undrain(&self) {
        if self.enter(DrainPhase::Serving) {
            self.drain_generation.set(self.drain_generation.get().wrapping_add(1));
            tracing::info!("{} undrained", self.name);
        }
    }

    /// Sets the phase. Returns whether the phase has changed.
    fn enter(&self, phase: DrainPhase) -> bool {
        self.phase.send_if_modified(|current| std::mem::replace(current, phase) != phase)
    }

    fn state(&self) -> Value {
        let view = self.node.view();
        let phase = *self.phase.borrow();
        let counts = self.node.reply_counts();
        let phase_name = match (self.shutting_down.get(), phase) {
            (true, _) => "stopping",
            (false, DrainPhase::Serving) => "serving",
            (false, _) => "draining",
        };
        // The node is drained once idle connections have been closed and no request is open.
        let drained = phase_name == "draining" && phase == DrainPhase::ClosingIdle && view.open_requests == 0;
        json!({"name": self.name, "pid": std::process::id(), "version": env!("CARGO_PKG_VERSION"),
            "listen": self.listen.to_string(), "phase": phase_name, "drained": drained,
            "open": view.open_requests,
            "answers": {"served": counts.served, "refused": counts.rejected, "failed": counts.failed},
            "up_ms": self.started_at.elapsed().as_millis() as u64, "zones": zones_json(&view.backends)})
    }
}

fn zones_json(backends: &[BackendView]) -> Vec<Value> {
    let mut zones: BTreeMap<&str, Vec<&BackendView>> = BTreeMap::new();
    for backend in backends {
        zones.entry(&backend.zone).or_default().push(backend);
    }
    zones.into_iter().map(|(name, backends)| zone_json(name, &backends)).collect()
}

fn zone_json(name: &str, backends: &[&BackendView]) -> Value {
    let reported: Vec<(f64, u64)> =
        backends.iter().filter_map(|backend| backend.snapshot.utilisation).collect();
    let mean = reported.iter().map(|(value, _)| value).sum::<f64>() / reported.len().max(1) as f64;
    let oldest = reported.iter().map(|(_, age)| age / NANOS_PER_MILLISECOND).max();
    let count =
        |matches: fn(&BackendView) -> bool| backends.iter().filter(|backend| matches(backend)).count();
    json!({"zone": name, "servers": backends.len(), "draining": count(|backend| backend.draining),
        "ejected": count(|backend| backend.snapshot.ejected),
        "cold": count(|backend| backend.snapshot.capacity_share < FULL_CAPACITY),
        "in_flight": backends.iter().map(|backend| backend.snapshot.in_flight).sum::<u32>(),
        "utilisation": (!reported.is_empty()).then_some(mean), "oldest_report_ms": oldest})
}

fn server_json(backend: &BackendView) -> Value {
    let snapshot = &backend.snapshot;
    json!({"uid": backend.uid, "zone": backend.zone, "endpoint": backend.endpoint.to_string(),
        "draining": backend.draining, "in_flight": snapshot.in_flight,
        "utilisation": snapshot.utilisation.map(|(value, _)| value),
        "report_age_ms": snapshot.utilisation.map(|(_, age)| age / NANOS_PER_MILLISECOND),
        "slowness": snapshot.slowness, "ejected": snapshot.ejected, "warm": snapshot.capacity_share})
}
