//! One instance's life, as the agent sees it. Events come in with a time, actions go out; the caller has the process, the
//! clock and the timers. At no time is a second process asked for while there may be a first one.

use std::collections::VecDeque;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use serde::{Deserialize, Serialize};

/// A time in nanoseconds, on a clock that knows nothing of the calendar. One that steps back counts as standing still.
pub type Nanos = u64;

/// What was asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Wanted {
    /// It serves.
    Running,
    /// It is there and takes nothing new.
    Drained,
    /// It is not there.
    Stopped,
}

/// Where it stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// No process, and none wanted.
    Stopped,
    /// A process that does not serve yet.
    Starting,
    /// It serves.
    Ready,
    /// It takes nothing new; `Drained` may have been reported since.
    Draining,
    /// It was told to end.
    Stopping,
    /// No process; it is started again after a while.
    BackingOff,
    /// No process; it crashed too often, and is started again only when somebody asks.
    Crashed,
    /// A process that says nothing any more.
    Unresponsive,
}

/// The agent's times and counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Patience {
    /// A process that starts serves by then, or is ended.
    pub ready: Nanos,
    /// One that drains before it stops is told to end by then.
    pub drain: Nanos,
    /// One that was told to end is killed after that.
    pub stop: Nanos,
    /// One that says nothing for so long is unresponsive; after twice that it is killed.
    pub silent: Nanos,
    /// Waits before a start after a crash: the first one, doubled with each crash up to the longest.
    pub first_wait: Nanos,
    /// See `first_wait`.
    pub longest_wait: Nanos,
    /// So many crashes within the span are a loop.
    pub crashes: usize,
    /// See `crashes`.
    pub crash_span: Nanos,
}

/// What the instance is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Somebody wants this of it.
    Wants(Wanted),
    /// Somebody wants a new process, also where a crash loop has ended all starts.
    Restarts,
    /// Its process is there.
    Started,
    /// There could be no process: why.
    NotStarted(String),
    /// An earlier agent's process was found: whether it serves, or drains.
    Adopted {
        /// It has said that it serves.
        ready: bool,
        /// It takes nothing new.
        draining: bool,
    },
    /// The process says that it is there and ready, and whether it drains. What it was told may have been lost on a process
    /// that hung, so it is told again where what it says does not agree with it.
    Said {
        /// It takes nothing new.
        draining: bool,
    },
    /// The process says that it drains and that nothing is open any more.
    Drained,
    /// The process has ended: how.
    Ended(String),
    /// Time has passed, perhaps up to `wake`.
    Tick,
}

/// What the caller does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Starts a process; `Started` or `NotStarted` tells.
    Start,
    /// Tells it to take nothing new.
    Drain,
    /// Tells it to take again.
    Undrain,
    /// Tells it to end.
    Terminate,
    /// Ends it.
    Kill,
}

/// The machine.
#[derive(Clone, Debug)]
pub struct Instance {
    patience: Patience,
    wanted: Wanted,
    phase: Phase,
    reason: String,
    since: Nanos,
    now: Nanos,
    /// There is a process, or one was asked for.
    process: bool,
    /// Whether the process drains, by its own word.
    draining: bool,
    drained: bool,
    /// When one that drains before it ends is told to end.
    drain_by: Nanos,
    /// Last time that it said something.
    heard: Nanos,
    /// When something is due by itself.
    wake: Option<Nanos>,
    /// A crash that we brought about ourselves: why.
    ended_for: Option<String>,
    crashes: VecDeque<Nanos>,
    /// Crashes in a row, for the wait.
    in_a_row: u32,
    restarts: bool,
    random: ChaCha8Rng,
}

impl Instance {
    /// One without a process, which is wanted so. `seed` is for the jitter of its waits.
    pub fn new(patience: Patience, wanted: Wanted, seed: u64, now: Nanos) -> Self {
        Self {
            patience,
            wanted,
            phase: Phase::Stopped,
            reason: "not started yet".into(),
            since: now,
            now,
            process: false,
            draining: false,
            drained: false,
            drain_by: now,
            heard: now,
            wake: (wanted != Wanted::Stopped).then_some(now),
            ended_for: None,
            crashes: VecDeque::new(),
            in_a_row: 0,
            restarts: false,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Where it stands.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Why, in one line.
    pub fn reason(&self) -> &str {
        &self.reason
    }

    /// Since when.
    pub fn since(&self) -> Nanos {
        self.since
    }

    /// What was asked for.
    pub fn wanted(&self) -> Wanted {
        self.wanted
    }

    /// Whether there is, or may be, a process.
    pub fn has_process(&self) -> bool {
        self.process
    }

    /// Whether it drains and nothing is open any more.
    pub fn is_drained(&self) -> bool {
        self.phase == Phase::Draining && self.drained
    }

    /// When `Tick` is due at the latest; none while nothing is due by itself.
    pub fn wake(&self) -> Option<Nanos> {
        self.wake
    }

    /// Takes an event in.
    pub fn handle(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>) {
        self.now = now.max(self.now);
        match event {
            Event::Wants(wanted) => self.wants(wanted, actions),
            Event::Restarts => self.restart(actions),
            Event::Started => self.started(),
            Event::NotStarted(why) => self.ended(why, actions),
            Event::Adopted { ready, draining } => self.adopted(ready, draining, actions),
            Event::Said { draining } => self.said(draining, actions),
            Event::Drained => {
                self.heard = self.now;
                if self.phase == Phase::Draining {
                    self.drained = true;
                    self.drain_or_end(actions);
                }
            }
            Event::Ended(how) => self.ended(how, actions),
            Event::Tick => {}
        }
        self.due(actions);
    }

    fn enter(&mut self, phase: Phase, reason: impl Into<String>, wake: Option<Nanos>) {
        if self.phase != phase {
            self.since = self.now;
        }
        (self.phase, self.reason) = (phase, reason.into());
        self.wake = wake.map(|after| self.now.saturating_add(after));
    }

    fn wants(&mut self, wanted: Wanted, actions: &mut Vec<Action>) {
        let before = std::mem::replace(&mut self.wanted, wanted);
        match (self.phase, wanted) {
            (Phase::Stopped | Phase::BackingOff | Phase::Crashed, Wanted::Stopped) => {
                self.enter(Phase::Stopped, "asked to stop", None);
            }
            (Phase::Stopped, _) if before != wanted => self.begin("asked to run", actions),
            // Who asks anew wants it tried anew, and not given up at the first crash.
            (Phase::Crashed, _) => {
                self.forget_crashes();
                self.begin("asked to run", actions);
            }
            // Nobody is served by one that starts: there is nothing to drain.
            (Phase::Starting | Phase::Unresponsive, Wanted::Stopped) => {
                self.terminate("asked to stop", actions)
            }
            (Phase::Ready, Wanted::Drained | Wanted::Stopped) => self.drain("asked to drain", actions),
            (Phase::Draining, Wanted::Stopped) => self.drain_or_end(actions),
            (Phase::Draining, Wanted::Running) => {
                actions.push(Action::Undrain);
                self.heard = self.now;
                self.enter(Phase::Ready, "asked to take again", Some(self.patience.silent));
            }
            _ => {}
        }
    }

    fn restart(&mut self, actions: &mut Vec<Action>) {
        self.forget_crashes();
        self.restarts = true;
        match self.phase {
            Phase::Stopped | Phase::BackingOff | Phase::Crashed if self.wanted != Wanted::Stopped => {
                self.begin("asked to restart", actions);
            }
            Phase::Ready => self.drain("asked to restart", actions),
            Phase::Draining => self.drain_or_end(actions),
            Phase::Starting | Phase::Unresponsive => self.terminate("asked to restart", actions),
            _ => self.restarts = false,
        }
    }

    fn forget_crashes(&mut self) {
        self.in_a_row = 0;
        self.crashes.clear();
    }

    /// Asks for a process. Only ever called where there is none.
    fn begin(&mut self, why: &str, actions: &mut Vec<Action>) {
        debug_assert!(!self.process, "a second process");
        (self.process, self.draining, self.drained, self.restarts) = (true, false, false, false);
        self.ended_for = None;
        self.enter(Phase::Starting, why, Some(self.patience.ready));
        actions.push(Action::Start);
    }

    fn started(&mut self) {
        self.heard = self.now;
    }

    fn adopted(&mut self, ready: bool, draining: bool, actions: &mut Vec<Action>) {
        (self.process, self.heard, self.draining) = (true, self.now, draining);
        match (ready, draining) {
            (false, _) => self.enter(Phase::Starting, "found while it starts", Some(self.patience.ready)),
            (true, false) => self.enter(Phase::Ready, "found in service", Some(self.patience.silent)),
            (true, true) => {
                self.drain_by = self.now.saturating_add(self.patience.drain);
                self.enter(Phase::Draining, "found while it drains", Some(self.patience.silent));
            }
        }
        let wanted = self.wanted;
        self.wants(wanted, actions);
    }

    fn said(&mut self, draining: bool, actions: &mut Vec<Action>) {
        (self.heard, self.draining) = (self.now, draining);
        self.drained &= draining;
        match self.phase {
            Phase::Starting | Phase::Unresponsive => {
                self.enter(Phase::Ready, "it serves", Some(self.patience.silent));
                let wanted = self.wanted;
                self.wants(wanted, actions);
            }
            Phase::Ready => self.wake = Some(self.now.saturating_add(self.patience.silent)),
            Phase::Draining if !draining => actions.push(Action::Drain),
            _ => {}
        }
        if self.phase == Phase::Ready && draining {
            actions.push(Action::Undrain);
        }
    }

    fn drain(&mut self, why: &str, actions: &mut Vec<Action>) {
        if !self.draining {
            self.drained = false;
            actions.push(Action::Drain);
        }
        self.drain_by = self.now.saturating_add(self.patience.drain);
        self.enter(Phase::Draining, why, Some(self.patience.silent.min(self.patience.drain)));
    }

    /// One that drains goes on so, or is told to end where nothing is open any more and it is not wanted.
    fn drain_or_end(&mut self, actions: &mut Vec<Action>) {
        let leaves = self.restarts || self.wanted == Wanted::Stopped;
        match (leaves, self.drained) {
            (true, true) => self.terminate("drained", actions),
            (true, false) => {
                self.drain_by = self.now.saturating_add(self.patience.drain);
                self.wake = Some(self.drain_by.min(self.heard.saturating_add(self.patience.silent)));
            }
            (false, true) => self.enter(Phase::Draining, "drained", Some(self.patience.silent)),
            (false, false) => {}
        }
    }

    fn terminate(&mut self, why: &str, actions: &mut Vec<Action>) {
        actions.push(Action::Terminate);
        self.enter(Phase::Stopping, why, Some(self.patience.stop));
    }

    fn kill(&mut self, why: String, actions: &mut Vec<Action>) {
        actions.push(Action::Kill);
        // Killed again and again until it is told that the process has ended: a kill may be lost, and none is left behind.
        self.wake = Some(self.now.saturating_add(self.patience.stop));
        self.reason.clone_from(&why);
        self.ended_for = Some(why);
    }

    /// What is due by itself.
    fn due(&mut self, actions: &mut Vec<Action>) {
        let Some(wake) = self.wake else { return };
        if wake > self.now {
            return;
        }
        let ms = |nanos: Nanos| nanos / 1_000_000;
        match self.phase {
            Phase::Stopped if self.wanted != Wanted::Stopped => self.begin("wanted", actions),
            Phase::BackingOff => self.begin("starts again", actions),
            Phase::Starting => {
                let why = format!("not ready within {} ms", ms(self.patience.ready));
                self.kill(why, actions);
            }
            Phase::Stopping => {
                let why = format!("did not end within {} ms", ms(self.patience.stop));
                self.kill(why, actions);
            }
            // One that hangs has nothing that it could finish.
            Phase::Draining if self.restarts || self.wanted == Wanted::Stopped => {
                let silent_at = self.heard.saturating_add(self.patience.silent);
                if self.now >= self.drain_by {
                    self.terminate("the time to drain is up", actions);
                } else if self.now >= silent_at {
                    self.terminate("said nothing while it drained", actions);
                } else {
                    self.wake = Some(self.drain_by.min(silent_at));
                }
            }
            Phase::Ready | Phase::Draining => {
                let quiet = self.now.saturating_sub(self.heard);
                if quiet < self.patience.silent {
                    self.wake = Some(self.heard.saturating_add(self.patience.silent));
                } else {
                    let why = format!("said nothing for {} ms", ms(quiet));
                    self.enter(Phase::Unresponsive, why, Some(2 * self.patience.silent));
                }
            }
            Phase::Unresponsive => {
                let why = format!("said nothing for {} ms", ms(self.now.saturating_sub(self.heard)));
                self.kill(why, actions);
            }
            Phase::Stopped | Phase::Crashed => self.wake = None,
        }
    }

    fn ended(&mut self, how: String, actions: &mut Vec<Action>) {
        if !std::mem::replace(&mut self.process, false) {
            return;
        }
        let how = self.ended_for.take().unwrap_or(how);
        let meant = self.phase == Phase::Stopping;
        let restarts = std::mem::replace(&mut self.restarts, false);
        if self.wanted == Wanted::Stopped {
            return self.enter(Phase::Stopped, how, None);
        }
        if meant {
            // Asked to end for a restart, or wanted again meanwhile.
            return self.begin(if restarts { "asked to restart" } else { "asked to run" }, actions);
        }
        // A long life in service makes up for the crashes before.
        if self.phase != Phase::Starting && self.now.saturating_sub(self.since) >= self.patience.crash_span {
            self.in_a_row = 0;
        }
        self.crashes.push_back(self.now);
        while self.crashes.front().is_some_and(|at| self.now.saturating_sub(*at) > self.patience.crash_span) {
            self.crashes.pop_front();
        }
        if self.crashes.len() >= self.patience.crashes {
            let reason = format!("{} crashes in a row within the span; the last: {how}", self.crashes.len());
            return self.enter(Phase::Crashed, reason, None);
        }
        let doubled = self.patience.first_wait.saturating_mul(1 << self.in_a_row.min(30));
        let wait = doubled.min(self.patience.longest_wait);
        // Half to all of it: twenty nodes that died of one cause must not come back as one.
        let wait = wait / 2 + (wait as f64 * 0.5 * self.random.random::<f64>()) as Nanos;
        self.in_a_row += 1;
        self.enter(Phase::BackingOff, how, Some(wait));
    }
}
