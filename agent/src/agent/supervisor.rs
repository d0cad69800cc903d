//! Supervision of the instances: feeds process events and operators' commands to the state machine of each instance, and carries out
//! the outputs of the state machine.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use ivyhatch_admin_protocol::call;
use serde_json::{Value, json};
use tokio::process::Command;
use tokio::time::{Instant, sleep_until};

use crate::lifecycle::{Input, Nanos, Output};
use crate::log_file::rotate_if_large;
use crate::process::Process;

use super::options::AgentOptions;
use super::supervised_instance::SupervisedInstance;

/// Number of polls of a node within the silence timeout; fewer or more where the poll interval is clamped.
const POLLS_PER_SILENCE_TIMEOUT: u64 = 6;
const MIN_POLL_INTERVAL_MS: u64 = 20;
const MAX_POLL_INTERVAL_MS: u64 = 1000;
/// Keeps the loop of an instance from spinning when a deadline has already passed.
const MIN_SLEEP: Duration = Duration::from_millis(1);

/// All instances of an agent.
pub(super) struct Supervisor {
    pub(super) options: AgentOptions,
    pub(super) instances: BTreeMap<String, Rc<SupervisedInstance>>,
    started_at: Instant,
    poll_interval: Duration,
}

impl Supervisor {
    pub(super) fn new(options: AgentOptions, instances: BTreeMap<String, Rc<SupervisedInstance>>) -> Self {
        let poll_ms = options.config.agent.silent_ms / POLLS_PER_SILENCE_TIMEOUT;
        let poll_ms = poll_ms.clamp(MIN_POLL_INTERVAL_MS, MAX_POLL_INTERVAL_MS);
        let poll_interval = Duration::from_millis(poll_ms);
        Self { options, instances, started_at: Instant::now(), poll_interval }
    }

    /// Time since the agent's start: the clock of all state machines.
    pub(super) fn now(&self) -> Nanos {
        self.started_at.elapsed().as_nanos() as Nanos
    }

    /// Supervises one instance until the agent ends.
    pub(super) async fn supervise(self: Rc<Self>, instance: Rc<SupervisedInstance>) {
        let mut process = self.adopt(&instance).await;
        let mut poll_at = Instant::now();
        self.feed(&instance, &mut process, Input::Tick).await;
        loop {
            let wake_at = self.next_wake_up(&instance, poll_at);
            tokio::select! {
                () = wait_for_exit(&mut process) => {}
                () = instance.input_added() => {}
                () = sleep_until(wake_at) => {}
            }
            if let Some(exit) = process.as_mut().and_then(Process::exit) {
                process = None;
                instance.record_exit();
                self.feed(&instance, &mut process, Input::Exited(exit)).await;
            }
            let inputs: Vec<Input> = instance.take_inputs();
            for input in inputs {
                self.feed(&instance, &mut process, input).await;
            }
            if process.is_some() && Instant::now() >= poll_at {
                self.poll_node(&instance, &mut process).await;
            }
            if Instant::now() >= poll_at {
                poll_at = Instant::now() + self.poll_interval;
                rotate_if_large(&instance.files.log);
            }
            self.feed(&instance, &mut process, Input::Tick).await;
        }
    }

    fn next_wake_up(&self, instance: &SupervisedInstance, poll_at: Instant) -> Instant {
        let deadline = instance.next_deadline();
        let deadline = deadline
            .map_or(Instant::now() + self.poll_interval, |at| self.started_at + Duration::from_nanos(at));
        deadline.min(poll_at).max(Instant::now() + MIN_SLEEP)
    }

    /// Adopts the process that an earlier agent has started, if it still runs: by the record that the earlier agent has stored, or by
    /// the PID that the node reports on its socket.
    async fn adopt(&self, instance: &SupervisedInstance) -> Option<Process> {
        let state = self.ask_node(instance, "state").await;
        let process = Process::find(&instance.files).or_else(|| {
            let pid = state.as_ref()?["pid"].as_i64()?;
            Process::adopt(i32::try_from(pid).ok()?, &instance.files)
        })?;
        instance.record_adoption(process.pid());
        tracing::info!(instance = instance.config.name, pid = process.pid(), "adopted a running process");
        let is_draining = state.as_ref().is_some_and(|state| state["phase"] == "draining");
        let mut adopted = Some(process);
        let input = Input::Adopted { is_ready: state.is_some(), is_draining };
        self.feed(instance, &mut adopted, input).await;
        adopted
    }

    /// Polls the node for its state. A response that is not a state, or is that of another process, is ignored.
    async fn poll_node(&self, instance: &SupervisedInstance, process: &mut Option<Process>) {
        let Some(state) = self.ask_node(instance, "state").await else { return };
        if !instance.is_own_state(&state) {
            return;
        }
        let phase = state["phase"].as_str().unwrap_or_default().to_owned();
        let has_drained = state["drained"] == json!(true);
        instance.record_node_state(state);
        match phase.as_str() {
            "serving" => self.feed(instance, process, Input::Reported { is_draining: false }).await,
            "draining" => {
                self.feed(instance, process, Input::Reported { is_draining: true }).await;
                if has_drained {
                    self.feed(instance, process, Input::Drained).await;
                }
            }
            _ => {}
        }
    }

    /// Sends a request without arguments to the instance's node. `None` if the call fails or exceeds the poll interval.
    async fn ask_node(&self, instance: &SupervisedInstance, operation: &str) -> Option<Value> {
        call(&instance.files.socket, &json!({ "op": operation }), self.poll_interval).await.ok()
    }

    /// Feeds an input to the instance's state machine and carries out the outputs. An output may result in a further input, which is fed
    /// in turn.
    async fn feed(&self, instance: &SupervisedInstance, process: &mut Option<Process>, input: Input) {
        let mut next_input = Some(input);
        while let Some(input) = next_input.take() {
            for output in instance.handle(self.now(), input) {
                let following = self.carry_out(instance, process, output).await;
                next_input = following.or(next_input);
            }
        }
    }

    async fn carry_out(
        &self,
        instance: &SupervisedInstance,
        process: &mut Option<Process>,
        output: Output,
    ) -> Option<Input> {
        match output {
            Output::Start => return Some(self.start(instance, process)),
            // A failed request is not retried here: the state machine repeats it when the node reports a state that does not match.
            Output::Drain => drop(self.ask_node(instance, "drain").await),
            Output::Undrain => drop(self.ask_node(instance, "undrain").await),
            Output::Terminate => process.iter().for_each(Process::terminate),
            Output::Kill => process.iter().for_each(Process::kill),
        }
        None
    }

    fn start(&self, instance: &SupervisedInstance, process: &mut Option<Process>) -> Input {
        let mut command = Command::new(&self.options.program);
        command.args(["node", "--instance", &instance.config.name, "--config"]).arg(&self.options.file);
        command.arg("--control").arg(&instance.files.socket);
        match Process::start(command, &instance.files) {
            Ok(started) => {
                instance.record_start(started.pid());
                *process = Some(started);
                Input::Started
            }
            Err(error) => Input::StartFailed(format!("can't be started: {error}")),
        }
    }
}

async fn wait_for_exit(process: &mut Option<Process>) {
    match process {
        Some(process) => process.wait().await,
        None => std::future::pending().await,
    }
}
