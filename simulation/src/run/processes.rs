//! The lifecycle of control nodes' processes and machines: start, end of suspension, shutdown, disk loss and removal.

use std::collections::BTreeSet;

use ivyhatch_control::storage::durable_state::FormattedReplica;
use ivyhatch_control::{ControlPlane, NodeConfig};
use ivyhatch_protocol::ids::NodeId;
use ivyhatch_protocol::{MILLISECOND, Nanos, SECOND};

use super::event::Event;
use super::machine::{LostReplica, ObservedState, may_vote};
use super::{CELL_HISTORY, SEED_COUNT, Simulation, ZONE_COUNT, address};
use crate::disk::BlockOutcome;
use crate::injected_bugs::InjectedBug;
use crate::random::{Stream, keyed_random};
use crate::workload::zone_name;

/// The maximum time for which a process that shuts down waits for its successor.
const SHUTDOWN_GRACE: Nanos = 6_500 * MILLISECOND;
/// The interval at which the server list's leader reads the list from the platform.
const SERVER_LIST_INTERVAL: Nanos = 500 * MILLISECOND;
/// The offset between the steady clocks of consecutive machines.
const CLOCK_OFFSET: Nanos = 100 * SECOND;

/// How a process ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProcessEnd {
    /// The process is killed; the operating system closes its connections, so peers detect the end promptly.
    Killed,
    /// The machine loses power; peers detect the end only by timeouts.
    PowerLost,
}

impl Simulation<'_> {
    /// The time of a machine's own steady clock.
    pub(super) fn clock_of(&self, machine: usize) -> Nanos {
        self.now + (machine as u64 + 1) * CLOCK_OFFSET
    }

    /// The random id of a machine's current process.
    pub(super) fn process_id(&self, machine: usize) -> u64 {
        let incarnation = self.machines[machine].incarnation;
        keyed_random(self.plan.seed, Stream::ProcessId, [machine as u64, incarnation, 0])
    }

    /// The seeds in a machine's settings: the first control nodes that held the slots when the machine was added.
    fn seeds_of(&self, machine: usize) -> Vec<NodeId> {
        let seeds = self.seeds.get(&machine).unwrap_or(&self.slots);
        seeds.iter().take(SEED_COUNT).map(|seed| address(*seed)).collect()
    }

    pub(super) fn start_node(&mut self, machine: usize) {
        if self.machines[machine].is_running() || self.machines[machine].is_removed {
            return;
        }
        let now = self.clock_of(machine);
        let this = &mut self.machines[machine];
        this.incarnation += 1;
        let incarnation = this.incarnation;
        // The first process on each initial member takes part in the first start of the system.
        let first_start = incarnation == 1 && machine < self.plan.members;
        let mut stored = this.disk.stored().clone();
        let needs_state = !first_start && !may_vote(&stored);
        this.state_sources = needs_state.then(BTreeSet::new);
        if let (Some(InjectedBug::VotesAfterDiskLoss), Some(lost)) =
            (self.injected_bug, this.lost_replica.take())
        {
            stored.replica = Some(FormattedReplica { id: lost.replica, first_start: false });
            stored.membership = lost.membership;
            stored.joined = lost.joined_generation;
        }
        let config = self.node_config(machine, first_start);
        let this = &mut self.machines[machine];
        this.node = Some(ControlPlane::new(config, stored, now));
        this.observed = ObservedState::default();
        this.suspended_until = 0;
        this.last_accept = None;
        this.wanted_peers.clear();
        this.connected_peers.clear();
        this.deferred_events.clear();
        if !first_start {
            self.last_core_event = self.now;
        }
        self.record(|| {
            format!("node {machine} starts, incarnation {incarnation}, needs state transfer: {needs_state}")
        });
        self.schedule_after(0, Event::NodeTick { machine, incarnation });
        self.observe_node(machine);
    }

    fn node_config(&self, machine: usize, first_start: bool) -> NodeConfig {
        NodeConfig {
            node: address(machine),
            zone: zone_name(self.machines[machine].zone),
            incarnation: self.process_id(machine),
            has_disk: true,
            first_start,
            seeds: self.seeds_of(machine),
            zones: (0..ZONE_COUNT).map(zone_name).collect(),
            server_list_interval: SERVER_LIST_INTERVAL,
            drain_timeout: SHUTDOWN_GRACE,
            has_coordination: self.plan.callers > 0,
            cell_history: CELL_HISTORY,
        }
    }

    /// Ends a process. The block in progress becomes durable in a third of the cases, unless the disk is full.
    pub(super) fn stop_node(&mut self, machine: usize, end: ProcessEnd) {
        if !self.machines[machine].is_running() {
            return;
        }
        self.record(|| format!("node {machine} ends: {end:?}"));
        let block_is_written = self.random_below(3) == 0;
        let this = &mut self.machines[machine];
        this.node = None;
        this.deferred_events.clear();
        this.suspended_until = 0;
        let is_durable = block_is_written && this.full_disk_faults == 0;
        this.disk.crash(if is_durable { BlockOutcome::Durable } else { BlockOutcome::Lost });
        for other in &mut self.machines {
            other.connected_peers.remove(&machine);
        }
        self.machines[machine].connected_peers.clear();
        self.last_core_event = self.now;
        self.end_sessions_with(machine, end);
    }

    /// Handles the completed shutdown of a process: the platform removes its machine.
    pub(super) fn shutdown_complete(&mut self, machine: usize) {
        let incarnation = self.machines[machine].incarnation;
        self.schedule_after(0, Event::MachineRemoved { machine, incarnation });
    }

    /// Permanently removes a machine and its disk.
    pub(super) fn remove_machine(&mut self, machine: usize) {
        self.stop_node(machine, ProcessEnd::PowerLost);
        self.machines[machine].disk.wipe();
        self.machines[machine].is_removed = true;
    }

    /// Replaces the disk of a machine with an empty one.
    pub(super) fn wipe_disk(&mut self, machine: usize) {
        let this = &mut self.machines[machine];
        let stored = this.disk.stored();
        this.lost_replica = stored.replica.map(|formatted| LostReplica {
            replica: formatted.id,
            membership: stored.membership.clone(),
            joined_generation: stored.joined,
        });
        this.disk.wipe();
        this.require_state_transfer();
    }

    /// Ends a suspension, unless an overlapping one lasts longer. The process then handles the deferred events in order of arrival.
    pub(super) fn resume_node(&mut self, machine: usize) {
        let now = self.now;
        let this = &mut self.machines[machine];
        if this.suspended_until == 0 || now < this.suspended_until {
            return;
        }
        this.suspended_until = 0;
        self.last_core_event = now;
        self.record(|| format!("node {machine} resumes"));
        for event in std::mem::take(&mut self.machines[machine].deferred_events) {
            self.schedule_after(0, event);
        }
    }

    /// Whether a machine's process handles an event now. If the process is suspended, the event is deferred and the result is false. If
    /// the process is not running or is not the given incarnation, the event is dropped.
    pub(super) fn accepts_event(
        &mut self,
        machine: usize,
        incarnation: Option<u64>,
        event: impl FnOnce() -> Event,
    ) -> bool {
        let now = self.now;
        let this = &mut self.machines[machine];
        if !this.is_running() || incarnation.is_some_and(|expected| expected != this.incarnation) {
            return false;
        }
        if this.suspended_until > 0 {
            debug_assert!(
                now <= this.suspended_until,
                "a process is suspended beyond the end of its suspension"
            );
            this.deferred_events.push(event());
            return false;
        }
        true
    }
}
