//! The transport to the backends: carries out attempts and probes on bounded sets of connections, and classifies the result of
//! each as an [`Outcome`](ivyhatch_balancer::Outcome).

mod attempt;
mod connection;
mod idle_resets;
mod pool;
mod prober;
mod response;

use std::rc::Rc;
use std::time::Duration;

use ivyhatch_balancer::BackendId;
use ivyhatch_node_settings::ConnectionSettings;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::driver::{AttemptStart, Clock, Node, ProbeStart, Transport};
use attempt::run_attempt;
use pool::ConnectionPool;
use prober::Prober;

/// How often stale idle connections are closed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// How many connections to backends may be open at a time.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionBudget {
    /// The most connections for requests.
    pub requests: usize,
    /// The most connections for probes; one is always allowed.
    pub probes: usize,
}

/// Carries out attempts over a pool of connections, and probes over connections of their own. Cheap to clone.
#[derive(Clone)]
pub struct BackendTransport {
    pool: Rc<ConnectionPool>,
    prober: Rc<Prober>,
}

impl BackendTransport {
    /// A transport without connections.
    pub fn new(settings: ConnectionSettings, clock: Clock, budget: ConnectionBudget) -> Self {
        Self {
            pool: Rc::new(ConnectionPool::new(settings, clock, budget.requests)),
            prober: Rc::new(Prober::new(settings, clock, budget.probes)),
        }
    }

    /// Periodically closes connections that have been idle for too long; never returns.
    pub async fn close_stale_connections(self) {
        loop {
            sleep(SWEEP_INTERVAL).await;
            self.pool.drop_stale();
            self.prober.drop_stale();
            self.pool.idle_resets().decay();
        }
    }
}

impl Transport for BackendTransport {
    fn start_attempt(&self, node: &Node, attempt: AttemptStart) {
        let (pool, node) = (self.pool.clone(), node.clone());
        spawn_local(async move { run_attempt(&pool, node, attempt).await });
    }

    fn close_idle_connections(&self, backend: BackendId) {
        self.pool.close_idle(backend);
        self.prober.close_idle(backend);
    }

    fn start_probe(&self, node: &Node, probe: ProbeStart) {
        self.prober.start(node, probe);
    }
}

#[cfg(test)]
#[path = "upstream_tests.rs"]
mod tests;
