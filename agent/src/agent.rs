//! The agent: keeps each instance as it is wanted, and answers on its socket.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use ivyhatch_admin_protocol::{ConnectionLimits, call, listen, serve};
use ivyhatch_config::{Config, Instance as Told};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::process::Command;
use tokio::sync::{Notify, Semaphore};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant as Clock, sleep_until};

use crate::instance::{Action, Event, Instance, Nanos, Patience, Phase, Wanted};
use crate::process::{Places, Process, cut_back, last_lines};
use crate::store::{Change, Command as Asked, Outcome, Store, StoreError};

/// Commands over a large fleet ask for each instance by itself, all at once.
const LIMITS: ConnectionLimits = ConnectionLimits {
    max_line_bytes: 1 << 20,
    idle_timeout: Duration::from_secs(30),
    max_connections: Semaphore::MAX_PERMITS,
};

/// How an agent runs.
#[derive(Clone, Debug)]
pub struct Options {
    /// The configuration.
    pub config: Config,
    /// Its file: nodes read it themselves.
    pub file: PathBuf,
    /// The program that runs a node by `node --config FILE --instance NAME --control SOCKET`.
    pub program: PathBuf,
    /// Where the agent is asked.
    pub socket: PathBuf,
}

/// Why there can be no agent.
#[derive(Debug, thiserror::Error)]
pub enum AgentError {
    /// A file or socket.
    #[error("{what}: {error}")]
    System {
        /// Which.
        what: String,
        /// What the system said.
        error: std::io::Error,
    },
    /// The record of what was asked.
    #[error(transparent)]
    Store(#[from] StoreError),
}

fn system(what: &Path) -> impl FnOnce(std::io::Error) -> AgentError {
    let what = what.display().to_string();
    move |error| AgentError::System { what, error }
}

/// What the agent shows of an instance.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Shown {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Words that commands select by.
    pub labels: BTreeMap<String, String>,
    /// What is wanted of it.
    pub wanted: Wanted,
    /// Where it stands.
    pub phase: Phase,
    /// Why.
    pub reason: String,
    /// For how long, in milliseconds.
    pub since_ms: u64,
    /// It drains, and nothing is open any more.
    pub drained: bool,
    /// Its process.
    pub pid: Option<i32>,
    /// How often a process was started since the agent was.
    pub starts: u64,
    /// What the node said last of itself, and how long ago that is in milliseconds.
    pub said: Option<(Value, u64)>,
}

/// What the agent shows.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Status {
    /// The fleet's name.
    pub fleet: String,
    /// The agent's process.
    pub pid: u32,
    /// Commands that were taken so far.
    pub revision: u64,
    /// Its instances.
    pub instances: Vec<Shown>,
}

#[derive(Deserialize)]
#[serde(tag = "op", rename_all = "snake_case", deny_unknown_fields)]
enum Ask {
    /// Of one instance, or of all.
    Status {
        instance: Option<String>,
    },
    Apply {
        id: String,
        by: String,
        against: u64,
        changes: Vec<Change>,
    },
    Restart {
        instance: String,
        by: String,
    },
    Audit {
        from: u64,
    },
    Logs {
        instance: String,
        lines: usize,
    },
}

struct Kept {
    told: Told,
    places: Places,
    machine: RefCell<Instance>,
    pid: Cell<Option<i32>>,
    starts: Cell<u64>,
    said: RefCell<Option<(Value, Clock)>>,
    /// Events that came from elsewhere.
    events: RefCell<Vec<Event>>,
    nudge: Notify,
}

struct Agent {
    options: Options,
    store: Store,
    kept: BTreeMap<String, Rc<Kept>>,
    began: Clock,
}

/// Runs an agent until it is dropped. Its nodes go on when it ends, and the next agent finds them.
///
/// # Errors
/// Where its files or its socket can't be had, or another agent has them.
pub async fn run(options: Options) -> Result<(), AgentError> {
    LocalSet::new().run_until(run_local(options)).await
}

async fn run_local(options: Options) -> Result<(), AgentError> {
    let state = options.config.agent.state.clone();
    for folder in ["run", "log"] {
        let folder = state.join(folder);
        std::fs::create_dir_all(&folder).map_err(system(&folder))?;
    }
    // Also the lock: two agents on one state would start everything twice.
    let store = Store::open(&state.join("asked.redb"))?;
    let desired = store.desired()?;
    let listener = listen(&options.socket).map_err(system(&options.socket))?;
    let ms = |ms: u64| ms * 1_000_000;
    let agent = &options.config.agent;
    let patience = Patience {
        ready: ms(agent.ready_ms),
        drain: ms(agent.drain_ms),
        stop: ms(agent.stop_ms),
        silent: ms(agent.silent_ms),
        first_wait: ms(agent.first_wait_ms),
        longest_wait: ms(agent.longest_wait_ms),
        crashes: agent.crashes as usize,
        crash_span: ms(agent.crashes_ms),
    };
    let mut seeds: ChaCha8Rng = ChaCha8Rng::seed_from_u64(rand_seed());
    let kept = |told: &Told| {
        let default = if told.enabled { Wanted::Running } else { Wanted::Stopped };
        let wanted = desired.instances.get(&told.name).map_or(default, |entry| entry.wanted);
        let kept = Kept {
            told: told.clone(),
            places: Places::of(&state, &told.name),
            machine: RefCell::new(Instance::new(patience, wanted, seeds.random(), 0)),
            pid: Cell::default(),
            starts: Cell::default(),
            said: RefCell::default(),
            events: RefCell::default(),
            nudge: Notify::new(),
        };
        (told.name.clone(), Rc::new(kept))
    };
    let kept = options.config.instances.iter().map(kept).collect();
    let agent = Rc::new(Agent { store, kept, began: Clock::now(), options });
    for name in desired.instances.keys().filter(|name| !agent.kept.contains_key(*name)) {
        tracing::warn!(instance = name, "commands speak of an instance that the configuration does not have");
    }
    for kept in agent.kept.values() {
        spawn_local(agent.clone().keep(kept.clone()));
    }
    tracing::info!("keeps {} instances; asked at {}", agent.kept.len(), agent.options.socket.display());
    serve(listener, LIMITS, move |ask| agent.answer(ask)).await;
    Ok(())
}

/// Jitter need not be the same again, and two agents' must differ.
fn rand_seed() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |now| now.as_nanos() as u64);
    now ^ (u64::from(std::process::id()) << 32)
}

impl Agent {
    fn now(&self) -> Nanos {
        self.began.elapsed().as_nanos() as Nanos
    }

    /// Keeps one instance for as long as the agent lives.
    async fn keep(self: Rc<Self>, kept: Rc<Kept>) {
        let poll = Duration::from_millis((self.options.config.agent.silent_ms / 6).clamp(20, 1000));
        let mut process = self.find(&kept, poll).await;
        let mut asks_at = Clock::now();
        self.give(&kept, &mut process, Event::Tick, poll).await;
        loop {
            let wake = kept.machine.borrow().wake();
            let wake = wake.map_or(Clock::now() + poll, |wake| self.began + Duration::from_nanos(wake));
            let next = wake.min(asks_at).max(Clock::now() + Duration::from_millis(1));
            tokio::select! {
                () = end(&mut process) => {}
                () = kept.nudge.notified() => {}
                () = sleep_until(next) => {}
            }
            let how = process.as_mut().and_then(Process::ended);
            if let Some(how) = how {
                process = None;
                kept.pid.set(None);
                kept.said.take();
                self.give(&kept, &mut process, Event::Ended(how), poll).await;
            }
            let events: Vec<Event> = kept.events.take();
            for event in events {
                self.give(&kept, &mut process, event, poll).await;
            }
            if process.is_some() && Clock::now() >= asks_at {
                self.listen_to(&kept, &mut process, poll).await;
            }
            if Clock::now() >= asks_at {
                asks_at = Clock::now() + poll;
                cut_back(&kept.places.log);
            }
            self.give(&kept, &mut process, Event::Tick, poll).await;
        }
    }

    /// A process of an earlier agent's: by what that one wrote down, or by who answers at the node's socket.
    async fn find(&self, kept: &Kept, within: Duration) -> Option<Process> {
        let state = call(&kept.places.socket, &json!({"op": "state"}), within).await.ok();
        let process = Process::find(&kept.places).or_else(|| {
            let pid = state.as_ref()?["pid"].as_i64()?;
            Process::adopt(i32::try_from(pid).ok()?, &kept.places)
        })?;
        kept.pid.set(Some(process.pid()));
        let draining = state.as_ref().is_some_and(|state| state["phase"] == "draining");
        tracing::info!(instance = kept.told.name, pid = process.pid(), "found running");
        let mut found = Some(process);
        self.give(kept, &mut found, Event::Adopted { ready: state.is_some(), draining }, within).await;
        found
    }

    /// Asks the node how it is.
    async fn listen_to(&self, kept: &Kept, process: &mut Option<Process>, within: Duration) {
        let Ok(state) = call(&kept.places.socket, &json!({"op": "state"}), within).await else { return };
        // What is no state, or another node's, says nothing of this one.
        let phase = state["phase"].as_str().map(str::to_owned);
        if state["name"] != kept.told.name || state["pid"].as_i64() != kept.pid.get().map(i64::from) {
            return;
        }
        let drained = state["drained"] == json!(true);
        *kept.said.borrow_mut() = Some((state, Clock::now()));
        match phase.as_deref() {
            Some("serving") => self.give(kept, process, Event::Said { draining: false }, within).await,
            Some("draining") => {
                self.give(kept, process, Event::Said { draining: true }, within).await;
                if drained {
                    self.give(kept, process, Event::Drained, within).await;
                }
            }
            _ => {}
        }
    }

    async fn give(&self, kept: &Kept, process: &mut Option<Process>, event: Event, within: Duration) {
        let mut event = Some(event);
        while let Some(next) = event.take() {
            let mut actions = Vec::new();
            let before = kept.machine.borrow().phase();
            kept.machine.borrow_mut().handle(self.now(), next, &mut actions);
            {
                let machine = kept.machine.borrow();
                if machine.phase() != before {
                    let (name, reason) = (&kept.told.name, machine.reason());
                    tracing::info!(instance = name, "{:?}: {reason}", machine.phase());
                }
            }
            for action in actions {
                match action {
                    Action::Start => match self.start(kept) {
                        Ok(started) => {
                            kept.pid.set(Some(started.pid()));
                            kept.starts.set(kept.starts.get() + 1);
                            *process = Some(started);
                            event = Some(Event::Started);
                        }
                        Err(error) => event = Some(Event::NotStarted(format!("can't be started: {error}"))),
                    },
                    Action::Drain => drop(call(&kept.places.socket, &json!({"op": "drain"}), within).await),
                    Action::Undrain => {
                        drop(call(&kept.places.socket, &json!({"op": "undrain"}), within).await)
                    }
                    Action::Terminate => process.iter().for_each(Process::terminate),
                    Action::Kill => process.iter().for_each(Process::kill),
                }
            }
        }
    }

    fn start(&self, kept: &Kept) -> std::io::Result<Process> {
        let mut command = Command::new(&self.options.program);
        command.args(["node", "--instance", &kept.told.name, "--config"]).arg(&self.options.file);
        command.arg("--control").arg(&kept.places.socket);
        Process::start(command, &kept.places)
    }

    fn answer(&self, ask: Ask) -> Value {
        let answer = match ask {
            Ask::Status { instance } => self.status(instance.as_deref()).map(|status| json!(status)),
            Ask::Apply { id, by, against, changes } => self.apply(id, by, against, changes),
            Ask::Restart { instance, by } => Ok(self.restart(&instance, &by)),
            Ask::Logs { instance, lines } => Ok(self.logs(&instance, lines)),
            Ask::Audit { from } => self.store.audit(from).map(|lines| json!({ "audit": lines })),
        };
        answer.unwrap_or_else(|error| json!({"error": error.to_string()}))
    }

    fn apply(&self, id: String, by: String, against: u64, changes: Vec<Change>) -> Result<Value, StoreError> {
        if let Some(change) = changes.iter().find(|change| !self.kept.contains_key(&change.instance)) {
            return Ok(json!({"error": format!("there is no instance {:?} here", change.instance)}));
        }
        let at_unix_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |now| now.as_millis() as u64);
        let asked = Asked { id, by, against, changes, at_unix_ms };
        let outcome = self.store.apply(&asked)?;
        let (command, by) = (&asked.id, &asked.by);
        tracing::info!(command, by, "{outcome:?}");
        if matches!(outcome, Outcome::Done { .. }) {
            // From the record, and not from this command: one that came again may have been overtaken since.
            for Change { instance, .. } in &asked.changes {
                let (Some(kept), Some(entry)) = (self.kept.get(instance), self.store.entry(instance)?) else {
                    continue;
                };
                kept.events.borrow_mut().push(Event::Wants(entry.wanted));
                kept.nudge.notify_one();
            }
        }
        Ok(json!(outcome))
    }

    fn restart(&self, instance: &str, by: &str) -> Value {
        let Some(kept) = self.kept.get(instance) else {
            return json!({"error": format!("there is no instance {instance:?} here")});
        };
        tracing::info!(instance, by, "asked to restart");
        kept.events.borrow_mut().push(Event::Restarts);
        kept.nudge.notify_one();
        json!({"done": {"starts": kept.starts.get(), "pid": kept.pid.get()}})
    }

    fn logs(&self, instance: &str, lines: usize) -> Value {
        let Some(kept) = self.kept.get(instance) else {
            return json!({"error": format!("there is no instance {instance:?} here")});
        };
        json!({"lines": last_lines(&kept.places.log, lines.min(10_000))})
    }

    fn status(&self, of: Option<&str>) -> Result<Status, StoreError> {
        let now = self.now();
        let shown = |kept: &Rc<Kept>| {
            let machine = kept.machine.borrow();
            let said = kept.said.borrow();
            Shown {
                name: kept.told.name.clone(),
                zone: kept.told.zone.clone(),
                labels: kept.told.labels.clone(),
                wanted: machine.wanted(),
                phase: machine.phase(),
                reason: machine.reason().to_owned(),
                since_ms: now.saturating_sub(machine.since()) / 1_000_000,
                drained: machine.is_drained(),
                pid: kept.pid.get(),
                starts: kept.starts.get(),
                said: said.as_ref().map(|(state, at)| (state.clone(), at.elapsed().as_millis() as u64)),
            }
        };
        let revision = self.store.revision()?;
        let meant = |kept: &&Rc<Kept>| of.is_none_or(|name| kept.told.name == name);
        let instances = self.kept.values().filter(meant).map(shown).collect();
        Ok(Status {
            fleet: self.options.config.fleet.name.clone(),
            pid: std::process::id(),
            revision,
            instances,
        })
    }
}

async fn end(process: &mut Option<Process>) {
    match process {
        Some(process) => process.end().await,
        None => std::future::pending().await,
    }
}
