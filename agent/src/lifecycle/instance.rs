//! The state machine of an instance. It takes inputs with their time and returns outputs; the caller owns the process, the clock and
//! the timers. No second process is requested while a first one may exist.

use super::crash_history::{AfterCrash, CrashHistory};
use super::messages::{Input, Output};
use super::settings::{LifecycleSettings, Nanos};
use super::state::{DesiredState, Phase};

const NANOS_PER_MS: Nanos = 1_000_000;

/// The lifecycle of one instance.
#[derive(Clone, Debug)]
pub struct InstanceLifecycle {
    settings: LifecycleSettings,
    desired_state: DesiredState,
    phase: Phase,
    reason: String,
    phase_since: Nanos,
    now: Nanos,
    /// Whether a process exists, or its start has been requested.
    has_process: bool,
    /// Whether the process was draining at its last report.
    reported_draining: bool,
    has_drained: bool,
    /// When a process that drains before its exit is terminated, drained or not.
    drain_deadline: Nanos,
    last_report_at: Nanos,
    /// When the current timeout expires; `None` while no timeout is running.
    next_deadline: Option<Nanos>,
    /// Why the process was killed. Replaces the exit status as the reason of the phase after the exit.
    kill_reason: Option<String>,
    restart_requested: bool,
    crashes: CrashHistory,
}

impl InstanceLifecycle {
    /// Creates an instance without a process. `seed` is that of the jitter of its back-off.
    pub fn new(settings: LifecycleSettings, desired_state: DesiredState, seed: u64, now: Nanos) -> Self {
        Self {
            settings,
            desired_state,
            phase: Phase::Stopped,
            reason: "not started yet".into(),
            phase_since: now,
            now,
            has_process: false,
            reported_draining: false,
            has_drained: false,
            drain_deadline: now,
            last_report_at: now,
            next_deadline: (desired_state != DesiredState::Stopped).then_some(now),
            kill_reason: None,
            restart_requested: false,
            crashes: CrashHistory::new(seed),
        }
    }

    /// The current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Why the instance is in the current phase, in one line.
    pub fn reason(&self) -> &str {
        &self.reason
    }

    /// When the instance entered the current phase, on the clock of the inputs.
    pub fn phase_since(&self) -> Nanos {
        self.phase_since
    }

    /// The desired state that was set last.
    pub fn desired_state(&self) -> DesiredState {
        self.desired_state
    }

    /// Whether a process exists or may exist.
    pub fn has_process(&self) -> bool {
        self.has_process
    }

    /// Whether the process drains and has no request in flight.
    pub fn is_drained(&self) -> bool {
        self.phase == Phase::Draining && self.has_drained
    }

    /// When the next `Tick` is due; `None` while no timeout is running.
    pub fn next_deadline(&self) -> Option<Nanos> {
        self.next_deadline
    }

    /// Handles one input, and appends the resulting outputs to `outputs`; the caller has to carry them out in order.
    pub fn handle(&mut self, now: Nanos, input: Input, outputs: &mut Vec<Output>) {
        self.now = now.max(self.now);
        match input {
            Input::DesiredStateSet(desired_state) => self.set_desired_state(desired_state, outputs),
            Input::RestartRequested => self.restart(outputs),
            Input::Started => self.last_report_at = self.now,
            Input::StartFailed(reason) | Input::Exited(reason) => self.process_exited(reason, outputs),
            Input::Adopted { is_ready, is_draining } => self.adopt(is_ready, is_draining, outputs),
            Input::Reported { is_draining } => self.process_reported(is_draining, outputs),
            Input::Drained => self.process_drained(outputs),
            Input::Tick => {}
        }
        self.handle_deadline(outputs);
    }

    fn enter(&mut self, phase: Phase, reason: impl Into<String>, timeout: Option<Nanos>) {
        if self.phase != phase {
            self.phase_since = self.now;
        }
        (self.phase, self.reason) = (phase, reason.into());
        self.next_deadline = timeout.map(|timeout| self.now.saturating_add(timeout));
    }

    fn set_desired_state(&mut self, desired_state: DesiredState, outputs: &mut Vec<Output>) {
        let previous = std::mem::replace(&mut self.desired_state, desired_state);
        match (self.phase, desired_state) {
            (Phase::Stopped | Phase::BackingOff | Phase::Crashed, DesiredState::Stopped) => {
                self.enter(Phase::Stopped, "asked to stop", None);
            }
            (Phase::Stopped, _) if previous != desired_state => self.start_process("asked to run", outputs),
            // A new command gets a full series of restarts, not one that ends at the first crash.
            (Phase::Crashed, _) => {
                self.crashes.clear();
                self.start_process("asked to run", outputs);
            }
            // A process that does not serve has no requests to drain.
            (Phase::Starting | Phase::Unresponsive, DesiredState::Stopped) => {
                self.terminate("asked to stop", outputs)
            }
            (Phase::Ready, DesiredState::Drained | DesiredState::Stopped) => {
                self.drain("asked to drain", outputs)
            }
            (Phase::Draining, DesiredState::Stopped) => self.continue_draining(outputs),
            (Phase::Draining, DesiredState::Running) => {
                outputs.push(Output::Undrain);
                self.last_report_at = self.now;
                self.enter(Phase::Ready, "asked to take again", Some(self.settings.silence_timeout));
            }
            _ => {}
        }
    }

    fn restart(&mut self, outputs: &mut Vec<Output>) {
        self.crashes.clear();
        self.restart_requested = true;
        match self.phase {
            Phase::Stopped | Phase::BackingOff | Phase::Crashed
                if self.desired_state != DesiredState::Stopped =>
            {
                self.start_process("asked to restart", outputs);
            }
            Phase::Ready => self.drain("asked to restart", outputs),
            Phase::Draining => self.continue_draining(outputs),
            Phase::Starting | Phase::Unresponsive => self.terminate("asked to restart", outputs),
            _ => self.restart_requested = false,
        }
    }

    /// Requests the start of a process. Must only be called while there is none.
    fn start_process(&mut self, reason: &str, outputs: &mut Vec<Output>) {
        debug_assert!(!self.has_process, "a second process");
        self.has_process = true;
        (self.reported_draining, self.has_drained, self.restart_requested) = (false, false, false);
        self.kill_reason = None;
        self.enter(Phase::Starting, reason, Some(self.settings.ready_timeout));
        outputs.push(Output::Start);
    }

    fn adopt(&mut self, is_ready: bool, is_draining: bool, outputs: &mut Vec<Output>) {
        (self.has_process, self.last_report_at, self.reported_draining) = (true, self.now, is_draining);
        let silence_timeout = Some(self.settings.silence_timeout);
        match (is_ready, is_draining) {
            (false, _) => {
                self.enter(Phase::Starting, "found while it starts", Some(self.settings.ready_timeout))
            }
            (true, false) => self.enter(Phase::Ready, "found in service", silence_timeout),
            (true, true) => {
                self.drain_deadline = self.now.saturating_add(self.settings.drain_timeout);
                self.enter(Phase::Draining, "found while it drains", silence_timeout);
            }
        }
        self.set_desired_state(self.desired_state, outputs);
    }

    fn process_reported(&mut self, is_draining: bool, outputs: &mut Vec<Output>) {
        (self.last_report_at, self.reported_draining) = (self.now, is_draining);
        self.has_drained &= is_draining;
        match self.phase {
            Phase::Starting | Phase::Unresponsive => {
                self.enter(Phase::Ready, "it serves", Some(self.settings.silence_timeout));
                self.set_desired_state(self.desired_state, outputs);
            }
            Phase::Ready => self.next_deadline = Some(self.silence_deadline()),
            Phase::Draining if !is_draining => outputs.push(Output::Drain),
            _ => {}
        }
        if self.phase == Phase::Ready && is_draining {
            outputs.push(Output::Undrain);
        }
    }

    fn process_drained(&mut self, outputs: &mut Vec<Output>) {
        self.last_report_at = self.now;
        if self.phase == Phase::Draining {
            self.has_drained = true;
            self.continue_draining(outputs);
        }
    }

    fn drain(&mut self, reason: &str, outputs: &mut Vec<Output>) {
        if !self.reported_draining {
            self.has_drained = false;
            outputs.push(Output::Drain);
        }
        self.drain_deadline = self.now.saturating_add(self.settings.drain_timeout);
        let timeout = self.settings.silence_timeout.min(self.settings.drain_timeout);
        self.enter(Phase::Draining, reason, Some(timeout));
    }

    /// Whether the process is to exit once it has drained.
    fn exits_after_drain(&self) -> bool {
        self.restart_requested || self.desired_state == DesiredState::Stopped
    }

    /// Continues to drain, or terminates the process if it is to exit and has no request in flight.
    fn continue_draining(&mut self, outputs: &mut Vec<Output>) {
        match (self.exits_after_drain(), self.has_drained) {
            (true, true) => self.terminate("drained", outputs),
            (true, false) => {
                self.drain_deadline = self.now.saturating_add(self.settings.drain_timeout);
                self.next_deadline = Some(self.drain_deadline.min(self.silence_deadline()));
            }
            (false, true) => self.enter(Phase::Draining, "drained", Some(self.settings.silence_timeout)),
            (false, false) => {}
        }
    }

    fn terminate(&mut self, reason: &str, outputs: &mut Vec<Output>) {
        outputs.push(Output::Terminate);
        self.enter(Phase::Stopping, reason, Some(self.settings.stop_timeout));
    }

    /// Kills the process. The kill is repeated until the exit is reported: a signal may be lost, and no process may be left behind.
    fn kill(&mut self, reason: String, outputs: &mut Vec<Output>) {
        outputs.push(Output::Kill);
        self.next_deadline = Some(self.now.saturating_add(self.settings.stop_timeout));
        self.reason.clone_from(&reason);
        self.kill_reason = Some(reason);
    }

    fn silence_deadline(&self) -> Nanos {
        self.last_report_at.saturating_add(self.settings.silence_timeout)
    }

    /// Handles the timeout of the current phase, if its deadline has passed.
    fn handle_deadline(&mut self, outputs: &mut Vec<Output>) {
        if self.next_deadline.is_none_or(|deadline| deadline > self.now) {
            return;
        }
        match self.phase {
            Phase::Stopped if self.desired_state != DesiredState::Stopped => {
                self.start_process("wanted", outputs)
            }
            Phase::BackingOff => self.start_process("starts again", outputs),
            Phase::Starting => {
                let timeout_ms = self.settings.ready_timeout / NANOS_PER_MS;
                self.kill(format!("not ready within {timeout_ms} ms"), outputs);
            }
            Phase::Stopping => {
                let timeout_ms = self.settings.stop_timeout / NANOS_PER_MS;
                self.kill(format!("did not end within {timeout_ms} ms"), outputs);
            }
            Phase::Draining if self.exits_after_drain() => self.handle_drain_deadline(outputs),
            Phase::Ready | Phase::Draining => self.handle_silence_deadline(),
            Phase::Unresponsive => self.kill(self.silence_reason(), outputs),
            Phase::Stopped | Phase::Crashed => self.next_deadline = None,
        }
    }

    /// Terminates a draining process at the drain deadline, or earlier at the silence deadline: a hung process can't complete its
    /// requests.
    fn handle_drain_deadline(&mut self, outputs: &mut Vec<Output>) {
        let silence_deadline = self.silence_deadline();
        if self.now >= self.drain_deadline {
            self.terminate("the time to drain is up", outputs);
        } else if self.now >= silence_deadline {
            self.terminate("said nothing while it drained", outputs);
        } else {
            self.next_deadline = Some(self.drain_deadline.min(silence_deadline));
        }
    }

    fn handle_silence_deadline(&mut self) {
        if self.silence() < self.settings.silence_timeout {
            self.next_deadline = Some(self.silence_deadline());
        } else {
            let timeout = 2 * self.settings.silence_timeout;
            self.enter(Phase::Unresponsive, self.silence_reason(), Some(timeout));
        }
    }

    fn silence(&self) -> Nanos {
        self.now.saturating_sub(self.last_report_at)
    }

    fn silence_reason(&self) -> String {
        format!("said nothing for {} ms", self.silence() / NANOS_PER_MS)
    }

    fn process_exited(&mut self, exit: String, outputs: &mut Vec<Output>) {
        if !std::mem::replace(&mut self.has_process, false) {
            return;
        }
        let reason = self.kill_reason.take().unwrap_or(exit);
        let restart_requested = std::mem::replace(&mut self.restart_requested, false);
        if self.desired_state == DesiredState::Stopped {
            return self.enter(Phase::Stopped, reason, None);
        }
        if self.phase == Phase::Stopping {
            // The process was terminated for a restart, or the desired state has changed while the process exited.
            let reason = if restart_requested { "asked to restart" } else { "asked to run" };
            return self.start_process(reason, outputs);
        }
        self.process_crashed(reason);
    }

    fn process_crashed(&mut self, reason: String) {
        // A crash after a long time in service does not continue the back-off of earlier crashes.
        let time_in_phase = self.now.saturating_sub(self.phase_since);
        if self.phase != Phase::Starting && time_in_phase >= self.settings.crash_loop_window {
            self.crashes.reset_backoff();
        }
        match self.crashes.record(self.now, &self.settings) {
            AfterCrash::BackOff(backoff) => self.enter(Phase::BackingOff, reason, Some(backoff)),
            AfterCrash::CrashLoop { crashes } => {
                let reason = format!("{crashes} crashes in a row within the span; the last: {reason}");
                self.enter(Phase::Crashed, reason, None);
            }
        }
    }
}
