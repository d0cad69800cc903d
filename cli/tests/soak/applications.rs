//! Applications that take locks and numbers, and put, read and watch cells at the control nodes. Each reuses its connection until a call has
//! no definite outcome. The simulation's oracle checks the outcomes.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use ivyhatch_protocol::Nanos;
use ivyhatch_protocol::coordination::{Call, CallOutcome, CellEvent, NotStarted, Refusal, Reply};
use ivyhatch_simulation::oracle::{CallAttempt, CoordinationOracle};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};

use super::recorder::Recorder;
use crate::system_common::calls::Client;
use crate::system_common::{CONTROL_HOSTS, CONTROL_PORT, TestCluster};

/// Longest wait for a response, in addition to the time that a watch waits for events. After it a caller connects again to a random node.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a put without a definite outcome is sent again.
const PUT_RETRY_TIME: Duration = Duration::from_secs(6);
/// How long a control node waits for an event before it answers a watch.
const WATCH_WAIT_MS: u64 = 800;
/// Longest pause between two calls of an application.
const MAX_PAUSE: Duration = Duration::from_millis(150);
/// How long a watch can continue from a revision: the default in the settings.
const HISTORY_RETENTION: Duration = Duration::from_secs(20);
const LOCK_NAMES: [&str; 2] = ["l0", "l1"];
const NUMBER_NAMES: [&str; 2] = ["n0", "n1"];
const CELL_NAMES: [&str; 4] = ["g.a", "g.b", "h.a", "h.b"];
const CELL_GROUPS: [&str; 2] = ["g.", "h."];
/// Times for which locks are requested.
const HOLD_TIMES_MS: [u64; 4] = [150, 500, 1200, 2500];
/// Kinds of the applications of a run, one entry for each.
const APPLICATION_KINDS: [ApplicationKind; 10] = [
    ApplicationKind::Locks,
    ApplicationKind::Locks,
    ApplicationKind::Locks,
    ApplicationKind::Locks,
    ApplicationKind::Numbers,
    ApplicationKind::Numbers,
    ApplicationKind::Cells,
    ApplicationKind::Cells,
    ApplicationKind::Watch,
    ApplicationKind::Watch,
];

/// What an application does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ApplicationKind {
    Locks,
    Numbers,
    Cells,
    Watch,
}

/// The running applications, and the checks of their calls.
pub struct Applications {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

struct Shared {
    cluster: Arc<TestCluster>,
    recorder: Arc<Recorder>,
    oracle: Mutex<CoordinationOracle>,
    /// Origin of the times that the oracle gets.
    started_at: Instant,
    definite: AtomicU64,
    indefinite: AtomicU64,
    stop: AtomicBool,
}

impl Applications {
    /// Starts a thread for each application.
    pub fn start(cluster: &Arc<TestCluster>, recorder: &Arc<Recorder>, seed: u64) -> Self {
        let shared = Arc::new(Shared {
            cluster: cluster.clone(),
            recorder: recorder.clone(),
            oracle: Mutex::new(CoordinationOracle::new(HISTORY_RETENTION.as_nanos() as Nanos)),
            started_at: Instant::now(),
            definite: AtomicU64::new(0),
            indefinite: AtomicU64::new(0),
            stop: AtomicBool::new(false),
        });
        let start = |(number, kind)| {
            let rng = StdRng::seed_from_u64((!seed << 8) + number as u64);
            let (connection, held_lock) = (None, None);
            let application = Application {
                number,
                kind,
                rng,
                shared: shared.clone(),
                connection,
                held_lock,
                watched_revision: 0,
                put_count: 0,
            };
            thread::spawn(move || application.run())
        };
        let threads = APPLICATION_KINDS.into_iter().enumerate().map(start).collect();
        Self { shared, threads }
    }

    /// Numbers of calls with a definite outcome and of other calls, since the last call of this function.
    pub fn take_counts(&self) -> (u64, u64) {
        (self.shared.definite.swap(0, Ordering::SeqCst), self.shared.indefinite.swap(0, Ordering::SeqCst))
    }

    /// Stops all applications and checks the complete history of their calls.
    pub fn stop(self) {
        self.shared.stop.store(true, Ordering::SeqCst);
        self.threads.into_iter().for_each(|thread| thread.join().expect("application threads do not panic"));
        self.shared.check_oracle(|oracle| oracle.check_history());
    }
}

impl Shared {
    /// Time since the start of the run.
    fn now(&self) -> Nanos {
        // Never 0: to the oracle that is a time before all recorded events.
        self.started_at.elapsed().as_nanos() as Nanos + 1
    }

    /// Runs a check of the oracle and reports its failure as a violation.
    fn check_oracle(
        &self,
        check: impl FnOnce(&mut CoordinationOracle) -> Result<(), ivyhatch_simulation::oracle::CheckFailure>,
    ) {
        if let Err((invariant, text)) = check(&mut self.oracle.lock().unwrap()) {
            self.recorder.report(format!("COORDINATION: {invariant}: {text}"));
        }
    }
}

/// A lock that an application holds.
struct HeldLock {
    name: &'static str,
    /// Fencing token of the acquisition.
    fence: u64,
    /// When the lock expires at the earliest, counted from the sending of the call.
    expires_at: Instant,
}

struct Application {
    /// Index in [`APPLICATION_KINDS`], which names the caller to the oracle.
    number: usize,
    kind: ApplicationKind,
    rng: StdRng,
    shared: Arc<Shared>,
    /// The connection that the next call reuses, and the host of its control node.
    connection: Option<(u8, Client)>,
    held_lock: Option<HeldLock>,
    /// Revision from which the next watch continues; 0 at first and after a rejected watch.
    watched_revision: u64,
    put_count: u64,
}

impl Application {
    fn run(mut self) {
        while !self.shared.stop.load(Ordering::SeqCst) {
            match self.kind {
                ApplicationKind::Locks => self.use_lock(),
                ApplicationKind::Numbers => {
                    let name = (*NUMBER_NAMES.choose(&mut self.rng).unwrap()).to_owned();
                    self.call(&Call::NextNumber { name }, None);
                }
                ApplicationKind::Cells => self.use_cell(),
                ApplicationKind::Watch => self.watch(),
            }
            if self.kind != ApplicationKind::Watch {
                thread::park_timeout(MAX_PAUSE.mul_f64(self.rng.random_range(0.0..1.0)));
            }
        }
    }

    /// Acquires a lock, or renews or releases the lock that the application holds.
    fn use_lock(&mut self) {
        let holder = format!("a{}", self.number);
        let hold_ms = *HOLD_TIMES_MS.choose(&mut self.rng).unwrap();
        self.held_lock.take_if(|held_lock| Instant::now() >= held_lock.expires_at);
        let sent_at = Instant::now();
        let new_expiry = sent_at + Duration::from_millis(hold_ms);
        let Some(HeldLock { name, fence, .. }) = self.held_lock else {
            let name = *LOCK_NAMES.choose(&mut self.rng).unwrap();
            let call = Call::AcquireLock { name: name.to_owned(), holder, hold_ms };
            if let Some(CallOutcome::Applied(Reply::LockAcquired { fence })) = self.call(&call, None) {
                self.held_lock = Some(HeldLock { name, fence, expires_at: new_expiry });
            }
            return;
        };
        let name = name.to_owned();
        if self.rng.random_bool(0.5) {
            self.held_lock = None;
            self.call(&Call::ReleaseLock { name, holder, fence }, None);
            return;
        }
        let outcome = self.call(&Call::RenewLock { name, holder, fence, hold_ms }, None);
        self.held_lock.take_if(|held_lock| Instant::now() >= held_lock.expires_at);
        match outcome {
            Some(CallOutcome::Applied(_)) => {
                if let Some(held_lock) = &mut self.held_lock {
                    held_lock.expires_at = held_lock.expires_at.max(new_expiry);
                }
            }
            Some(_) => self.held_lock = None,
            None => {}
        }
    }

    /// Reads a cell and puts a new value, in most cases only if the cell has not changed since.
    fn use_cell(&mut self) {
        let name = (*CELL_NAMES.choose(&mut self.rng).unwrap()).to_owned();
        let read = self.call(&Call::ReadCell { name: name.clone() }, None);
        let current_revision = match read {
            Some(CallOutcome::Applied(Reply::Cell { revision, .. })) => revision,
            Some(CallOutcome::Refused(Refusal::NoSuchCell)) => 0,
            _ => return,
        };
        self.put_count += 1;
        let value = format!("{}-{}", self.number, self.put_count);
        let expected_revision = self.rng.random_bool(0.7).then_some(current_revision);
        let call = Call::PutCell { name, value, expected_revision };
        let first_sent_at = self.shared.now();
        let deadline = Instant::now() + PUT_RETRY_TIME;
        // The put is sent again unchanged until its outcome is definite.
        while self.call(&call, Some(first_sent_at)).is_none()
            && Instant::now() < deadline
            && !self.shared.stop.load(Ordering::SeqCst)
        {
            thread::park_timeout(Duration::from_millis(40));
        }
    }

    /// Waits for events of a group of cells, from the last revision that the application has seen.
    fn watch(&mut self) {
        let group = CELL_GROUPS[self.number % CELL_GROUPS.len()].to_owned();
        let call = Call::WatchGroup { group, after: self.watched_revision, wait_ms: WATCH_WAIT_MS };
        match self.call(&call, None) {
            Some(CallOutcome::Applied(Reply::Events { revision, .. })) => self.watched_revision = revision,
            Some(_) => self.watched_revision = 0,
            None => thread::park_timeout(Duration::from_millis(40)),
        }
        if self.watched_revision == 0 {
            thread::park_timeout(Duration::from_millis(40));
        }
    }

    /// Makes one attempt of a call, and has the oracle check its outcome. `None` if the call was not started or its outcome is unknown.
    fn call(&mut self, call: &Call, first_sent_at: Option<Nanos>) -> Option<CallOutcome> {
        let sent_at = self.shared.now();
        let first_sent_at = first_sent_at.unwrap_or(sent_at);
        let attempt = CallAttempt { caller: self.number, call: call.clone(), sent_at, first_sent_at };
        self.shared.oracle.lock().unwrap().attempt_sent(&attempt);
        let outcome = self.round_trip(call).unwrap_or(CallOutcome::Unknown);
        let now = self.shared.now();
        self.shared.check_oracle(|oracle| oracle.outcome_received(now, &attempt, &outcome));
        let is_definite = !matches!(outcome, CallOutcome::Unknown | CallOutcome::NotStarted(_));
        let counter = if is_definite { &self.shared.definite } else { &self.shared.indefinite };
        counter.fetch_add(1, Ordering::SeqCst);
        if !is_definite {
            // The next attempt connects to a random node.
            self.connection = None;
        }
        is_definite.then_some(outcome)
    }

    /// Sends a call and reads its response. `None` if no complete response arrives in time.
    fn round_trip(&mut self, call: &Call) -> Option<CallOutcome> {
        let (host, mut client) = match self.connection.take() {
            Some(open) => open,
            None => {
                let host = *CONTROL_HOSTS.choose(&mut self.rng).unwrap();
                let Some(client) = Client::try_connect(self.shared.cluster.address(host, CONTROL_PORT))
                else {
                    return Some(CallOutcome::NotStarted(NotStarted::NoQuorum));
                };
                (host, client)
            }
        };
        client.set_read_timeout(CALL_TIMEOUT + Duration::from_millis(call.wait_ms()));
        client.try_write(&request(call))?;
        let head = client.try_read_head()?;
        let body = client.read_body(&head).ok()?;
        self.connection = Some((host, client));
        let body = serde_json::from_slice(&body).unwrap_or(Value::Null);
        Some(parse_outcome(call, head.status, &body))
    }
}

/// The bytes of the HTTP request for a call.
fn request(call: &Call) -> Vec<u8> {
    let (method, path, body) = match call {
        Call::AcquireLock { name, holder, hold_ms } => {
            ("POST", format!("locks/{name}"), json!({"holder": holder, "hold_ms": hold_ms}))
        }
        Call::RenewLock { name, holder, fence, hold_ms } => {
            ("PUT", format!("locks/{name}"), json!({"holder": holder, "fence": fence, "hold_ms": hold_ms}))
        }
        Call::ReleaseLock { name, holder, fence } => {
            ("DELETE", format!("locks/{name}"), json!({"holder": holder, "fence": fence}))
        }
        Call::NextNumber { name } => ("POST", format!("numbers/{name}"), json!({})),
        Call::PutCell { name, value, expected_revision } => {
            let mut body = json!({ "value": value });
            if let Some(expected) = expected_revision {
                body["enabled"] = json!(expected); // wire name
            }
            ("PUT", format!("cells/{name}"), body)
        }
        Call::ReadCell { name } => ("GET", format!("cells/{name}"), Value::Null),
        Call::WatchGroup { group, after, wait_ms } => {
            ("GET", format!("watch/{group}?after={after}&wait_ms={wait_ms}"), Value::Null)
        }
    };
    let body = if body.is_null() { String::new() } else { body.to_string() };
    let length = body.len();
    format!("{method} /-/{path} HTTP/1.1\r\nHost: control\r\nContent-Length: {length}\r\n\r\n{body}")
        .into_bytes()
}

/// The outcome of a call according to its HTTP response.
fn parse_outcome(call: &Call, status: u16, body: &Value) -> CallOutcome {
    let number = |field: &str| body[field].as_u64().unwrap_or_default();
    let refused = CallOutcome::Refused;
    match (status, call) {
        (200, call) => CallOutcome::Applied(parse_reply(call, body)),
        (409, Call::AcquireLock { .. }) => refused(Refusal::LockHeld),
        (409, _) => refused(Refusal::LockLost),
        (412, _) => refused(Refusal::RevisionConflict { revision: number("rev") }),
        (404, Call::ReadCell { .. }) => refused(Refusal::NoSuchCell),
        (410, _) => refused(Refusal::HistoryExpired { revision: number("rev") }),
        (400, Call::WatchGroup { .. }) => refused(Refusal::RevisionAhead { revision: 0 }),
        (429, _) => CallOutcome::NotStarted(NotStarted::Overloaded),
        (503, _) => CallOutcome::NotStarted(NotStarted::NoQuorum),
        _ => CallOutcome::Unknown,
    }
}

/// The reply to an applied call, from the body of its response.
fn parse_reply(call: &Call, body: &Value) -> Reply {
    let number = |value: &Value| value.as_u64().unwrap_or_default();
    let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
    let event = |event: &Value| CellEvent {
        name: text(&event["name"]),
        value: text(&event["value"]),
        revision: number(&event["rev"]),
    };
    match call {
        Call::AcquireLock { .. } => Reply::LockAcquired { fence: number(&body["fence"]) },
        Call::RenewLock { .. } => Reply::LockRenewed,
        Call::ReleaseLock { .. } => Reply::LockReleased,
        Call::NextNumber { .. } => Reply::Number { value: number(&body["value"]) },
        Call::PutCell { .. } => Reply::CellPut { revision: number(&body["rev"]) },
        Call::ReadCell { .. } => Reply::Cell { value: text(&body["value"]), revision: number(&body["rev"]) },
        Call::WatchGroup { .. } => {
            let events = body["events"].as_array().into_iter().flatten().map(event).collect();
            Reply::Events { events, revision: number(&body["rev"]) }
        }
    }
}
