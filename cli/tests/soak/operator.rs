//! An operator that sends one or two configuration changes at a time, and checks that acknowledged changes persist.

use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, seq::IndexedRandom};
use serde_json::{Value, json};

use super::recorder::{Recorder, Service};
use crate::system_common::calls::{call, route};
use crate::system_common::{CONTROL_HOSTS, CONTROL_PORT, TestCluster};

const OK: u16 = 200;
const PRECONDITION_FAILED: u16 = 412;
/// How long the operator repeats a change before its outcome counts as unknown.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// The outcome of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChangeOutcome {
    Acknowledged,
    Rejected,
    Unknown,
}

/// The operator, and the revisions that it has sent and seen.
pub struct Operator {
    cluster: Arc<TestCluster>,
    recorder: Arc<Recorder>,
    /// Newest revision that was acknowledged or read.
    current_revision: u64,
    /// Highest revision that was sent.
    last_sent_revision: u64,
    /// Number of acknowledged changes, with the first configuration.
    pub acknowledged_count: usize,
}

impl Operator {
    /// Puts the first configuration, and waits until it is acknowledged.
    pub fn start(cluster: &Arc<TestCluster>, recorder: &Arc<Recorder>) -> Self {
        cluster.put_configuration(CONTROL_HOSTS[0], 0, &configuration(1));
        let (cluster, recorder) = (cluster.clone(), recorder.clone());
        Self { cluster, recorder, current_revision: 1, last_sent_revision: 1, acknowledged_count: 1 }
    }

    /// Sends changes until the sender of `stop` is dropped.
    pub fn run(mut self, mut rng: StdRng, max_pause: Duration, stop: &Receiver<()>) -> Self {
        loop {
            let pause = max_pause.mul_f64(rng.random_range(0.0..1.0));
            if stop.recv_timeout(pause) != Err(RecvTimeoutError::Timeout) {
                return self;
            }
            self.send_change(&mut rng);
        }
    }

    /// Sends one change, or two concurrent changes of the same revision, of which at most one may be acknowledged.
    fn send_change(&mut self, rng: &mut StdRng) {
        let count = rng.random_range(1..=2);
        let base = self.current_revision;
        let changes: Vec<(u64, u8)> = (0..count)
            .map(|_| {
                self.last_sent_revision += rng.random_range(1..5);
                (self.last_sent_revision, *CONTROL_HOSTS.choose(rng).unwrap())
            })
            .collect();
        let outcomes = self.send_concurrently(base, &changes);
        let acknowledged: Vec<u64> = outcomes
            .iter()
            .filter(|(_, outcome)| *outcome == ChangeOutcome::Acknowledged)
            .map(|(revision, _)| *revision)
            .collect();
        if acknowledged.len() > 1 {
            self.recorder.report(format!("CONFIG: {acknowledged:?} were all acknowledged on {base}"));
        }
        self.acknowledged_count += acknowledged.len();
        match acknowledged.first() {
            Some(revision) => self.current_revision = *revision,
            // A change may have been accepted although its outcome is unknown.
            None => self.verify_configuration(Duration::from_secs(3)),
        }
    }

    /// Reads the configuration from the first control node that returns one. Reports a configuration that is older than the newest acknowledged
    /// one, or that was never sent.
    pub fn verify_configuration(&mut self, timeout: Duration) {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            for host in CONTROL_HOSTS {
                let Some(configured) = self.cluster.configuration(host) else { continue };
                let revision = configured["revision"].as_u64().unwrap_or(0);
                if revision < self.current_revision
                    || revision > self.last_sent_revision
                    || configured != configuration(revision)
                {
                    self.recorder.report(format!(
                        "CONFIG: {} acknowledged, {host} answers {configured}",
                        self.current_revision
                    ));
                }
                self.current_revision = self.current_revision.max(revision);
                return;
            }
            thread::park_timeout(RETRY_DELAY);
        }
    }

    /// Whether any control node returns the configuration.
    pub fn is_readable(&self) -> bool {
        CONTROL_HOSTS.iter().any(|host| self.cluster.configuration(*host).is_some())
    }

    /// Sends changes, each with its first host, at the same time. Returns the outcome of each revision.
    fn send_concurrently(&self, base: u64, changes: &[(u64, u8)]) -> Vec<(u64, ChangeOutcome)> {
        thread::scope(|scope| {
            let threads: Vec<_> = changes
                .iter()
                .map(|(revision, host)| (*revision, scope.spawn(|| self.send(base, *revision, *host))))
                .collect();
            threads.into_iter().map(|(revision, thread)| (revision, thread.join().unwrap())).collect()
        })
    }

    /// Sends a change to one control node after another until one acknowledges or rejects it.
    fn send(&self, base: u64, revision: u64, first_host: u8) -> ChangeOutcome {
        let body = configuration(revision).to_string();
        let first_index = CONTROL_HOSTS.iter().position(|host| *host == first_host).unwrap_or(0);
        let deadline = Instant::now() + CHANGE_TIMEOUT;
        for host in CONTROL_HOSTS.iter().cycle().skip(first_index) {
            match call(self.cluster.address(*host, CONTROL_PORT), "PUT", "/-/config", Some(base), &body) {
                Some((OK, _)) => return ChangeOutcome::Acknowledged,
                Some((PRECONDITION_FAILED, _)) => return ChangeOutcome::Rejected,
                _ if Instant::now() > deadline => return ChangeOutcome::Unknown,
                _ => thread::park_timeout(RETRY_DELAY),
            }
        }
        ChangeOutcome::Unknown
    }
}

/// The configuration with this revision: a route to each service, and a route whose timeout depends on the revision.
fn configuration(revision: u64) -> Value {
    let routes: Vec<Value> = Service::ALL
        .iter()
        .map(|service| {
            let name = service.name();
            route(name, &json!({"route_kind": name, "service": name, "target_ms": 400, "timeout_ms": 5000}))
        })
        .chain([route("other", &json!({"service": "safe", "timeout_ms": 1000 + revision}))])
        .collect();
    let services = Service::ALL
        .map(|service| json!({"name": service.name(), "health_path": "/healthz", "max_conns": 400}));
    json!({"revision": revision, "routes": routes, "services": services})
}
