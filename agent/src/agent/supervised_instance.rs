//! A supervised instance: its configuration, files and state machine, and the process data that its status shows.

use std::cell::{Cell, RefCell};
use std::path::Path;

use ivyhatch_config::InstanceSettings;
use serde_json::Value;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::instance_files::InstanceFiles;
use crate::lifecycle::{DesiredState, Input, InstanceLifecycle, LifecycleSettings, Nanos, Output};

use super::status::InstanceStatus;

const NANOS_PER_MS: Nanos = 1_000_000;

/// The last state that a node has reported, and the time of the report.
struct NodeState {
    state: Value,
    reported_at: Instant,
}

/// An instance under supervision. Its supervisor task and the API of the agent's socket share it.
pub(super) struct SupervisedInstance {
    pub(super) config: InstanceSettings,
    pub(super) files: InstanceFiles,
    lifecycle: RefCell<InstanceLifecycle>,
    pid: Cell<Option<i32>>,
    starts: Cell<u64>,
    node_state: RefCell<Option<NodeState>>,
    /// The state that operators have asked for last. While the supervisor waits for a response of the node, the state machine still
    /// has the previous one.
    desired_state: Cell<DesiredState>,
    /// Inputs from operators that the supervisor has not handled yet.
    pending_inputs: RefCell<Vec<Input>>,
    input_added: Notify,
}

impl SupervisedInstance {
    pub(super) fn new(
        config: InstanceSettings,
        state_folder: &Path,
        settings: LifecycleSettings,
        desired_state: DesiredState,
        seed: u64,
    ) -> Self {
        Self {
            files: InstanceFiles::new(state_folder, &config.name),
            config,
            lifecycle: RefCell::new(InstanceLifecycle::new(settings, desired_state, seed, 0)),
            pid: Cell::default(),
            starts: Cell::default(),
            node_state: RefCell::default(),
            desired_state: Cell::new(desired_state),
            pending_inputs: RefCell::default(),
            input_added: Notify::new(),
        }
    }

    /// Queues an input from an operator and wakes the supervisor.
    pub(super) fn add_input(&self, input: Input) {
        if let Input::DesiredStateSet(desired_state) = &input {
            self.desired_state.set(*desired_state);
        }
        self.pending_inputs.borrow_mut().push(input);
        self.input_added.notify_one();
    }

    pub(super) fn pid(&self) -> Option<i32> {
        self.pid.get()
    }

    pub(super) fn starts(&self) -> u64 {
        self.starts.get()
    }

    pub(super) fn status(&self, now: Nanos) -> InstanceStatus {
        let lifecycle = self.lifecycle.borrow();
        let node_state = self.node_state.borrow();
        let age_ms = |reported_at: Instant| reported_at.elapsed().as_millis() as u64;
        InstanceStatus {
            name: self.config.name.clone(),
            zone: self.config.zone.clone(),
            labels: self.config.labels.clone(),
            desired_state: self.desired_state.get(),
            phase: lifecycle.phase(),
            reason: lifecycle.reason().to_owned(),
            since_ms: now.saturating_sub(lifecycle.phase_since()) / NANOS_PER_MS,
            drained: lifecycle.is_drained(),
            pid: self.pid.get(),
            starts: self.starts.get(),
            node_state: node_state.as_ref().map(|node| (node.state.clone(), age_ms(node.reported_at))),
        }
    }

    /// Records that this agent has started a process for the instance.
    pub(super) fn record_start(&self, pid: i32) {
        self.pid.set(Some(pid));
        self.starts.set(self.starts.get() + 1);
    }

    /// Records that the process of an earlier agent has been adopted.
    pub(super) fn record_adoption(&self, pid: i32) {
        self.pid.set(Some(pid));
    }

    /// Records that the process has exited, and discards the state that its node reported.
    pub(super) fn record_exit(&self) {
        self.pid.set(None);
        self.node_state.take();
    }

    /// Stores the state that the node has reported, for the instance's status.
    pub(super) fn record_node_state(&self, state: Value) {
        *self.node_state.borrow_mut() = Some(NodeState { state, reported_at: Instant::now() });
    }

    /// Removes and returns the queued inputs, in the order in which they were added.
    pub(super) fn take_inputs(&self) -> Vec<Input> {
        self.pending_inputs.take()
    }

    /// Waits until an input is queued.
    pub(super) async fn input_added(&self) {
        self.input_added.notified().await;
    }

    /// When the next `Tick` is due, in nanoseconds since the agent's start; `None` while no timeout is running.
    pub(super) fn next_deadline(&self) -> Option<Nanos> {
        self.lifecycle.borrow().next_deadline()
    }

    /// Feeds one input to the state machine, and returns the outputs that the caller has to carry out. Logs a change of the phase.
    pub(super) fn handle(&self, now: Nanos, input: Input) -> Vec<Output> {
        let mut lifecycle = self.lifecycle.borrow_mut();
        let previous = lifecycle.phase();
        let mut outputs = Vec::new();
        lifecycle.handle(now, input, &mut outputs);
        if lifecycle.phase() != previous {
            let (name, reason) = (&self.config.name, lifecycle.reason());
            tracing::info!(instance = name, "{:?}: {reason}", lifecycle.phase());
        }
        outputs
    }

    /// Whether a state that was received on the instance's socket was reported by the instance's current process.
    pub(super) fn is_own_state(&self, state: &Value) -> bool {
        state["name"] == self.config.name && state["pid"].as_i64() == self.pid.get().map(i64::from)
    }
}

#[cfg(test)]
#[path = "supervised_instance_tests.rs"]
mod tests;
