//! An operator who changes the configuration, one change after another and two at a time, and what must hold of that.

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
/// How long the operator sends an order before it is left unclear.
const ORDER_LIMIT: Duration = Duration::from_secs(5);
const ORDER_PAUSE: Duration = Duration::from_millis(50);

/// What became of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answer {
    Acknowledged,
    Refused,
    Unclear,
}

/// The operator, and the versions that it knows of.
pub struct Operator {
    cluster: Arc<TestCluster>,
    recorder: Arc<Recorder>,
    /// The newest version that is known to be in force.
    current: u64,
    last_revision: u64,
    pub acknowledged: usize,
}

impl Operator {
    /// Has a first configuration acknowledged.
    pub fn start(cluster: &Arc<TestCluster>, recorder: &Arc<Recorder>) -> Self {
        cluster.put_configuration(CONTROL_HOSTS[0], 0, &configuration(1));
        let (cluster, recorder) = (cluster.clone(), recorder.clone());
        Self { cluster, recorder, current: 1, last_revision: 1, acknowledged: 1 }
    }

    /// Sends changes, one after another, until the other end of `stop` is dropped.
    pub fn run(mut self, mut random: StdRng, longest_pause: Duration, stop: &Receiver<()>) -> Self {
        loop {
            let pause = longest_pause.mul_f64(random.random_range(0.0..1.0));
            if stop.recv_timeout(pause) != Err(RecvTimeoutError::Timeout) {
                return self;
            }
            self.change(&mut random);
        }
    }

    /// Sends one change, or two at once on the same version.
    fn change(&mut self, random: &mut StdRng) {
        let count = random.random_range(1..=2);
        let base = self.current;
        let orders: Vec<(u64, u8)> = (0..count)
            .map(|_| {
                self.last_revision += random.random_range(1..5);
                (self.last_revision, *CONTROL_HOSTS.choose(random).unwrap())
            })
            .collect();
        let answers = self.send_at_once(base, &orders);
        let acknowledged: Vec<u64> = answers
            .iter()
            .filter(|(_, answer)| *answer == Answer::Acknowledged)
            .map(|(revision, _)| *revision)
            .collect();
        if acknowledged.len() > 1 {
            self.recorder.report(format!("CONFIG: {acknowledged:?} were all acknowledged on {base}"));
        }
        self.acknowledged += acknowledged.len();
        match acknowledged.first() {
            Some(revision) => self.current = *revision,
            // Another order may have been taken without a clear answer.
            None => self.read_back(Duration::from_secs(3)),
        }
    }

    /// Reads the configuration; reports one that is older than what was acknowledged, or is none that was sent.
    pub fn read_back(&mut self, limit: Duration) {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            for host in CONTROL_HOSTS {
                let Some(read) = self.cluster.configuration(host) else { continue };
                let revision = read["revision"].as_u64().unwrap_or(0);
                if revision < self.current || revision > self.last_revision || read != configuration(revision)
                {
                    self.recorder
                        .report(format!("CONFIG: {} acknowledged, {host} answers {read}", self.current));
                }
                self.current = self.current.max(revision);
                return;
            }
            thread::park_timeout(ORDER_PAUSE);
        }
    }

    /// Whether the configuration can be read.
    pub fn is_readable(&self) -> bool {
        CONTROL_HOSTS.iter().any(|host| self.cluster.configuration(*host).is_some())
    }

    fn send_at_once(&self, base: u64, orders: &[(u64, u8)]) -> Vec<(u64, Answer)> {
        thread::scope(|scope| {
            let sent: Vec<_> = orders
                .iter()
                .map(|(revision, host)| (*revision, scope.spawn(|| self.send(base, *revision, *host))))
                .collect();
            sent.into_iter().map(|(revision, answer)| (revision, answer.join().unwrap())).collect()
        })
    }

    /// Sends a change to one control node after another until an answer is clear.
    fn send(&self, base: u64, revision: u64, first_host: u8) -> Answer {
        let body = configuration(revision).to_string();
        let begin = CONTROL_HOSTS.iter().position(|host| *host == first_host).unwrap_or(0);
        let end = Instant::now() + ORDER_LIMIT;
        for host in CONTROL_HOSTS.iter().cycle().skip(begin) {
            match call(self.cluster.address(*host, CONTROL_PORT), "PUT", "/-/config", Some(base), &body) {
                Some((OK, _)) => return Answer::Acknowledged,
                Some((PRECONDITION_FAILED, _)) => return Answer::Refused,
                _ if Instant::now() > end => return Answer::Unclear,
                _ => thread::park_timeout(ORDER_PAUSE),
            }
        }
        Answer::Unclear
    }
}

/// The configuration with this revision: a route to each service, and one whose timeout shows the revision.
fn configuration(revision: u64) -> Value {
    let routes: Vec<Value> = Service::ALL
        .iter()
        .map(|service| {
            let kind = service.name();
            route(kind, &json!({"route_kind": kind, "service": kind, "target_ms": 400, "timeout_ms": 5000}))
        })
        .chain([route("other", &json!({"service": "safe", "timeout_ms": 1000 + revision}))])
        .collect();
    let services = Service::ALL
        .map(|service| json!({"name": service.name(), "health_path": "/healthz", "max_conns": 400}));
    json!({"revision": revision, "routes": routes, "services": services})
}
