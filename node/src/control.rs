//! The control socket: what the node shows and can be told from its own machine, over a Unix socket. One JSON object a
//! line in, one out. Off where no path is given.

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
use crate::driver::{Node, Seen};

const LIMITS: ConnectionLimits =
    ConnectionLimits { max_line_bytes: 4096, idle_timeout: Duration::from_secs(10), max_connections: 8 };

#[derive(Deserialize)]
#[serde(tag = "op", rename_all = "snake_case", deny_unknown_fields)]
enum Ask {
    /// The node as a whole.
    State {},
    /// Each server.
    Servers {},
    /// Takes nothing new where that can be had elsewhere, until it is taken back.
    Drain {},
    /// Takes again.
    Undrain {},
}

/// What the socket is about.
pub struct Control {
    pub name: String,
    pub at: SocketAddr,
    pub node: Node,
    pub phase: watch::Sender<DrainPhase>,
    /// The node ends: nothing takes that back.
    pub ends: Cell<bool>,
    /// How long connections go on coming after a drain.
    pub still_takes: Duration,
    /// Counts drains, so that what is left of an earlier one is known.
    pub drains: Cell<u32>,
    pub began: Instant,
}

pub async fn run(listener: UnixListener, control: Rc<Control>) {
    ivyhatch_admin_protocol::serve(listener, LIMITS, move |ask| control.answer(ask)).await;
}

impl Control {
    fn answer(self: &Rc<Self>, ask: Ask) -> Value {
        match ask {
            Ask::State {} => self.state(),
            Ask::Servers {} => {
                let (_, servers) = self.node.figures();
                json!({"servers": servers.iter().map(server).collect::<Vec<_>>()})
            }
            Ask::Drain {} if self.ends.get() => json!({"error": "the node ends"}),
            Ask::Drain {} => {
                self.drain();
                self.state()
            }
            Ask::Undrain {} if self.ends.get() => {
                json!({"error": "the node ends, and that can't be taken back"})
            }
            Ask::Undrain {} => {
                if self.phase.send_if_modified(|phase| {
                    std::mem::replace(phase, DrainPhase::Serving) != DrainPhase::Serving
                }) {
                    self.drains.set(self.drains.get().wrapping_add(1));
                    tracing::info!("{} takes again", self.name);
                }
                self.state()
            }
        }
    }

    /// As at an end, connections go on coming for a while; then idle ones are closed. Those that come all the same are
    /// served, each once.
    fn drain(self: &Rc<Self>) {
        let begins = |phase: &mut DrainPhase| {
            *phase == DrainPhase::Serving && {
                *phase = DrainPhase::Draining;
                true
            }
        };
        if !self.phase.send_if_modified(begins) {
            return;
        }
        tracing::info!("{} drains", self.name);
        let drain = self.drains.get().wrapping_add(1);
        self.drains.set(drain);
        let control = self.clone();
        spawn_local(async move {
            sleep(control.still_takes).await;
            if control.drains.get() == drain && !control.ends.get() {
                control.phase.send_if_modified(|phase| {
                    std::mem::replace(phase, DrainPhase::ClosingIdle) != DrainPhase::ClosingIdle
                });
            }
        });
    }

    fn state(&self) -> Value {
        let (open, servers) = self.node.figures();
        let phase = *self.phase.borrow();
        let [served, refused, failed] = self.node.answers();
        let word = match (self.ends.get(), phase) {
            (true, _) => "stopping",
            (false, DrainPhase::Serving) => "serving",
            (false, _) => "draining",
        };
        // Drained once idle connections have been told to go and nothing is open.
        let drained = word == "draining" && phase == DrainPhase::ClosingIdle && open == 0;
        json!({"name": self.name, "pid": std::process::id(), "version": env!("CARGO_PKG_VERSION"),
            "listen": self.at.to_string(), "phase": word, "drained": drained, "open": open,
            "answers": {"served": served, "refused": refused, "failed": failed},
            "up_ms": self.began.elapsed().as_millis() as u64, "zones": zones(&servers)})
    }
}

fn zones(servers: &[Seen]) -> Vec<Value> {
    let mut zones: BTreeMap<&str, Vec<&Seen>> = BTreeMap::new();
    servers.iter().for_each(|server| zones.entry(&server.zone).or_default().push(server));
    let zone = |(name, servers): (&str, Vec<&Seen>)| {
        let known: Vec<(f64, u64)> = servers.iter().filter_map(|server| server.figures.utilisation).collect();
        let mean = known.iter().map(|(value, _)| value).sum::<f64>() / known.len().max(1) as f64;
        let oldest = known.iter().map(|(_, age)| age / 1_000_000).max();
        let count = |is: fn(&Seen) -> bool| servers.iter().filter(|server| is(server)).count();
        json!({"zone": name, "servers": servers.len(), "draining": count(|server| server.draining),
            "ejected": count(|server| server.figures.ejected), "cold": count(|server| server.figures.capacity_share < 1.0),
            "in_flight": servers.iter().map(|server| server.figures.in_flight).sum::<u32>(),
            "utilisation": (!known.is_empty()).then_some(mean), "oldest_report_ms": oldest})
    };
    zones.into_iter().map(zone).collect()
}

fn server(seen: &Seen) -> Value {
    let figures = &seen.figures;
    json!({"uid": seen.uid, "zone": seen.zone, "endpoint": seen.endpoint.to_string(), "draining": seen.draining,
        "in_flight": figures.in_flight, "utilisation": figures.utilisation.map(|(value, _)| value),
        "report_age_ms": figures.utilisation.map(|(_, age)| age / 1_000_000), "slowness": figures.slowness,
        "ejected": figures.ejected, "warm": figures.capacity_share})
}
