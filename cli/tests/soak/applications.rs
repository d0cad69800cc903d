//! Applications that take locks and numbers, put, read and watch cells at the control nodes, on connections that they keep until the process
//! at the other end is gone. The simulation's oracle checks what they see.

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

/// A caller turns to another node after this long without an answer, beside what a watch waits for.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// A put without a clear answer is sent again for this long.
const PUT_RETRIES: Duration = Duration::from_secs(6);
const WATCH_WAIT_MS: u64 = 800;
const LONGEST_PAUSE: Duration = Duration::from_millis(150);
/// For how long a watch may go on from a revision: the default of the settings.
const HISTORY: Duration = Duration::from_secs(20);
const LOCKS: [&str; 2] = ["l0", "l1"];
const NUMBERS: [&str; 2] = ["n0", "n1"];
const CELLS: [&str; 4] = ["g.a", "g.b", "h.a", "h.b"];
const GROUPS: [&str; 2] = ["g.", "h."];
const HOLDS_MS: [u64; 4] = [150, 500, 1200, 2500];
const KINDS: [Kind; 10] = [
    Kind::Locks,
    Kind::Locks,
    Kind::Locks,
    Kind::Locks,
    Kind::Numbers,
    Kind::Numbers,
    Kind::Cells,
    Kind::Cells,
    Kind::Watch,
    Kind::Watch,
];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Locks,
    Numbers,
    Cells,
    Watch,
}

/// The calls of a run, and what has to hold of them.
pub struct Applications {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

struct Shared {
    cluster: Arc<TestCluster>,
    recorder: Arc<Recorder>,
    oracle: Mutex<CoordinationOracle>,
    epoch: Instant,
    clear: AtomicU64,
    unclear: AtomicU64,
    stop: AtomicBool,
}

impl Applications {
    /// Starts all callers.
    pub fn start(cluster: &Arc<TestCluster>, recorder: &Arc<Recorder>, seed: u64) -> Self {
        let shared = Arc::new(Shared {
            cluster: cluster.clone(),
            recorder: recorder.clone(),
            oracle: Mutex::new(CoordinationOracle::new(HISTORY.as_nanos() as Nanos)),
            epoch: Instant::now(),
            clear: AtomicU64::new(0),
            unclear: AtomicU64::new(0),
            stop: AtomicBool::new(false),
        });
        let start = |(number, kind)| {
            let random = StdRng::seed_from_u64((!seed << 8) + number as u64);
            let (connection, held) = (None, None);
            let application = Application {
                number,
                kind,
                random,
                shared: shared.clone(),
                connection,
                held,
                watched: 0,
                puts: 0,
            };
            thread::spawn(move || application.run())
        };
        let threads = KINDS.into_iter().enumerate().map(start).collect();
        Self { shared, threads }
    }

    /// The numbers of calls with a clear answer, and without, since the last time.
    pub fn take_counts(&self) -> (u64, u64) {
        (self.shared.clear.swap(0, Ordering::SeqCst), self.shared.unclear.swap(0, Ordering::SeqCst))
    }

    /// Ends all callers, and checks the whole history.
    pub fn stop(self) {
        self.shared.stop.store(true, Ordering::SeqCst);
        self.threads.into_iter().for_each(|thread| thread.join().expect("an application ends"));
        self.shared.check(|oracle| oracle.check_history());
    }
}

impl Shared {
    fn now(&self) -> Nanos {
        // Never 0: that is before all that is known.
        self.epoch.elapsed().as_nanos() as Nanos + 1
    }

    fn check(
        &self,
        check: impl FnOnce(&mut CoordinationOracle) -> Result<(), ivyhatch_simulation::oracle::CheckFailure>,
    ) {
        if let Err((invariant, text)) = check(&mut self.oracle.lock().unwrap()) {
            self.recorder.report(format!("COORDINATION: {invariant}: {text}"));
        }
    }
}

struct Held {
    name: &'static str,
    fence: u64,
    ends_at: Instant,
}

struct Application {
    number: usize,
    kind: Kind,
    random: StdRng,
    shared: Arc<Shared>,
    connection: Option<(u8, Client)>,
    held: Option<Held>,
    watched: u64,
    puts: u64,
}

impl Application {
    fn run(mut self) {
        while !self.shared.stop.load(Ordering::SeqCst) {
            match self.kind {
                Kind::Locks => self.use_lock(),
                Kind::Numbers => {
                    let name = (*NUMBERS.choose(&mut self.random).unwrap()).to_owned();
                    self.call(&Call::NextNumber { name }, None);
                }
                Kind::Cells => self.use_cell(),
                Kind::Watch => self.watch(),
            }
            if self.kind != Kind::Watch {
                thread::park_timeout(LONGEST_PAUSE.mul_f64(self.random.random_range(0.0..1.0)));
            }
        }
    }

    fn use_lock(&mut self) {
        let holder = format!("a{}", self.number);
        let hold_ms = *HOLDS_MS.choose(&mut self.random).unwrap();
        self.held.take_if(|held| Instant::now() >= held.ends_at);
        let sent_at = Instant::now();
        let until = sent_at + Duration::from_millis(hold_ms);
        let Some(Held { name, fence, .. }) = self.held else {
            let name = *LOCKS.choose(&mut self.random).unwrap();
            let call = Call::AcquireLock { name: name.to_owned(), holder, hold_ms };
            if let Some(CallOutcome::Applied(Reply::LockAcquired { fence })) = self.call(&call, None) {
                self.held = Some(Held { name, fence, ends_at: until });
            }
            return;
        };
        let name = name.to_owned();
        if self.random.random_bool(0.5) {
            self.held = None;
            self.call(&Call::ReleaseLock { name, holder, fence }, None);
            return;
        }
        let outcome = self.call(&Call::RenewLock { name, holder, fence, hold_ms }, None);
        self.held.take_if(|held| Instant::now() >= held.ends_at);
        match outcome {
            Some(CallOutcome::Applied(_)) => {
                if let Some(held) = &mut self.held {
                    held.ends_at = held.ends_at.max(until);
                }
            }
            Some(_) => self.held = None,
            None => {}
        }
    }

    fn use_cell(&mut self) {
        let name = (*CELLS.choose(&mut self.random).unwrap()).to_owned();
        let read = self.call(&Call::ReadCell { name: name.clone() }, None);
        let known = match read {
            Some(CallOutcome::Applied(Reply::Cell { revision, .. })) => revision,
            Some(CallOutcome::Refused(Refusal::NoSuchCell)) => 0,
            _ => return,
        };
        self.puts += 1;
        let value = format!("{}-{}", self.number, self.puts);
        let expected_revision = self.random.random_bool(0.7).then_some(known);
        let call = Call::PutCell { name, value, expected_revision };
        let first_sent_at = self.shared.now();
        let end = Instant::now() + PUT_RETRIES;
        // Sent again unchanged until the answer is clear.
        while self.call(&call, Some(first_sent_at)).is_none()
            && Instant::now() < end
            && !self.shared.stop.load(Ordering::SeqCst)
        {
            thread::park_timeout(Duration::from_millis(40));
        }
    }

    fn watch(&mut self) {
        let group = GROUPS[self.number % GROUPS.len()].to_owned();
        let call = Call::WatchGroup { group, after: self.watched, wait_ms: WATCH_WAIT_MS };
        match self.call(&call, None) {
            Some(CallOutcome::Applied(Reply::Events { revision, .. })) => self.watched = revision,
            Some(_) => self.watched = 0,
            None => thread::park_timeout(Duration::from_millis(40)),
        }
        if self.watched == 0 {
            thread::park_timeout(Duration::from_millis(40));
        }
    }

    /// Makes one try of a call; `None` without a clear answer that something was decided.
    fn call(&mut self, call: &Call, first_sent_at: Option<Nanos>) -> Option<CallOutcome> {
        let sent_at = self.shared.now();
        let first_sent_at = first_sent_at.unwrap_or(sent_at);
        let sent = CallAttempt { caller: self.number, call: call.clone(), sent_at, first_sent_at };
        self.shared.oracle.lock().unwrap().attempt_sent(&sent);
        let outcome = self.round_trip(call).unwrap_or(CallOutcome::Unknown);
        let now = self.shared.now();
        self.shared.check(|oracle| oracle.outcome_received(now, &sent, &outcome));
        let is_clear = !matches!(outcome, CallOutcome::Unknown | CallOutcome::NotStarted(_));
        let counter = if is_clear { &self.shared.clear } else { &self.shared.unclear };
        counter.fetch_add(1, Ordering::SeqCst);
        if !is_clear {
            // It turns to another node.
            self.connection = None;
        }
        is_clear.then_some(outcome)
    }

    fn round_trip(&mut self, call: &Call) -> Option<CallOutcome> {
        let (host, mut client) = match self.connection.take() {
            Some(kept) => kept,
            None => {
                let host = *CONTROL_HOSTS.choose(&mut self.random).unwrap();
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
        Some(outcome_of(call, head.status, &body))
    }
}

/// The bytes of a call.
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

/// What an answer says of a call.
fn outcome_of(call: &Call, status: u16, body: &Value) -> CallOutcome {
    let number = |field: &str| body[field].as_u64().unwrap_or_default();
    let refused = CallOutcome::Refused;
    match (status, call) {
        (200, call) => CallOutcome::Applied(reply_of(call, body)),
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

fn reply_of(call: &Call, body: &Value) -> Reply {
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
