//! Plays a plan: an event queue in virtual time drives the real state machines, and the oracle observes them.

mod call_corruptions;
mod callers;
mod checks;
mod corruptions;
mod describe;
mod event;
mod faults;
mod machine;
mod network;
mod nodes;
mod observation;
mod operator_clients;
mod outputs;
mod processes;
mod routers;

use std::collections::{BTreeMap, BTreeSet};

use ivyhatch_protocol::coordination::CallOutcome;
use ivyhatch_protocol::ids::NodeId;
use ivyhatch_protocol::{MILLISECOND, Nanos, SECOND};

use crate::injected_bugs::InjectedBug;
use crate::oracle::{Oracle, Violation};
use crate::plan::{FaultTrigger, Plan};
use crate::random::{Stream, keyed_random};

use callers::Callers;
use event::Event;
use machine::Machine;
use network::{Direction, Links};
use operator_clients::OperatorClients;
use routers::Router;

/// The interval of the state machines' ticks.
const TICK_INTERVAL: Nanos = 100 * MILLISECOND;
/// The interval of the oracle's deadline checks.
const CHECK_INTERVAL: Nanos = 250 * MILLISECOND;
/// The core or a router counts as in contact this long after its last fault; `contact_ms` in the deployment files.
const CONTACT_AFTER: Nanos = 4 * SECOND;
/// Processes start within this time of the start of the run.
const START_SPREAD_MS: u64 = 300;
/// The address of the first machine. The other machines, then the routers, have the consecutive addresses.
const FIRST_ADDRESS: u32 = 0x0a01_0001;
/// The number of zones; machines and routers are distributed over them.
const ZONE_COUNT: usize = 3;
/// The maximum number of seeds in the settings of a node or router.
const SEED_COUNT: usize = 3;
/// The history of cells that nodes keep for watches, in addition to a safety margin. Shorter than a run, so that watches can expire.
const CELL_HISTORY: Nanos = 2 * SECOND;

/// The result of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// The first violation, if any.
    pub violation: Option<Violation>,
    /// The number of messages that were sent, including those lost on a link.
    pub messages: u64,
    /// The number of configuration changes and evacuations whose acknowledgement an operator received.
    pub acknowledged_changes: u64,
    /// A line for each event, with its time in milliseconds; empty unless the run was traced.
    pub trace: Vec<String>,
}

/// The state of a run.
struct Simulation<'a> {
    plan: &'a Plan,
    injected_bug: Option<InjectedBug>,
    now: Nanos,
    /// Scheduled events, ordered by time and then by the order in which they were scheduled.
    queue: BTreeMap<(Nanos, u64), Event>,
    scheduled_events: u64,
    machines: Vec<Machine>,
    routers: Vec<Router>,
    links: Links,
    operators: OperatorClients,
    callers: Callers,
    /// For [`InjectedBug::ReadsFromCache`]: the number of reads of each cell, and the cached outcome.
    cached_reads: BTreeMap<String, (u64, CallOutcome)>,
    oracle: Oracle,
    /// The number of random numbers drawn so far in the order of events.
    draws: u64,
    /// The number of active disk faults and unreliable-link faults; the core is not stable while there are any.
    slowing_faults: u32,
    /// When a fault of the core last began or ended, or a control node's process last started, ended or resumed.
    last_core_event: Nanos,
    /// Faults whose trigger has fired.
    triggered_faults: BTreeSet<usize>,
    /// The machine that currently holds each member slot.
    slots: Vec<usize>,
    /// The seeds of each replacement machine: the machines that held the slots when the replacement began.
    seeds: BTreeMap<usize, Vec<usize>>,
    /// The directions that each active fault partitions, by the fault's number.
    partitions: BTreeMap<usize, Vec<Direction>>,
    /// The machines whose disks each active fault affects, by the fault's number.
    faulty_disks: BTreeMap<usize, Vec<usize>>,
    /// The index of the next replacement machine.
    next_machine: usize,
    /// The trace so far; `None` if the run is not traced.
    trace: Option<Vec<String>>,
}

/// Plays a plan to its end or to the first violation.
pub fn play(plan: &Plan) -> Outcome {
    Simulation::new(plan, None, None).run()
}

/// Plays a plan with an injected bug.
pub fn play_with_bug(plan: &Plan, injected_bug: InjectedBug) -> Outcome {
    Simulation::new(plan, Some(injected_bug), None).run()
}

/// Plays a plan and records a trace of all events.
pub fn play_traced(plan: &Plan, injected_bug: Option<InjectedBug>) -> Outcome {
    Simulation::new(plan, injected_bug, Some(Vec::new())).run()
}

/// The address of a machine or router by its index among all of them.
fn address(index: usize) -> NodeId {
    NodeId(FIRST_ADDRESS + index as u32)
}

/// The inverse of [`address`].
fn index_of(node: NodeId) -> usize {
    (node.0 - FIRST_ADDRESS) as usize
}

impl<'a> Simulation<'a> {
    fn new(plan: &'a Plan, injected_bug: Option<InjectedBug>, trace: Option<Vec<String>>) -> Self {
        let (members, machines, routers) = (plan.members, plan.machine_count(), plan.routers);
        let mut simulation = Self {
            plan,
            injected_bug,
            now: 0,
            queue: BTreeMap::new(),
            scheduled_events: 0,
            machines: (0..machines).map(Machine::in_zone).collect(),
            routers: (0..routers).map(|_| Router::default()).collect(),
            links: Links::new(machines + routers),
            operators: OperatorClients::new(plan.operations.len()),
            callers: Callers::new(plan.callers),
            cached_reads: BTreeMap::new(),
            oracle: Oracle::new(CELL_HISTORY),
            draws: 0,
            slowing_faults: 0,
            last_core_event: 0,
            triggered_faults: BTreeSet::new(),
            slots: (0..members).collect(),
            seeds: BTreeMap::new(),
            partitions: BTreeMap::new(),
            faulty_disks: BTreeMap::new(),
            next_machine: members,
            trace,
        };
        simulation.schedule_plan();
        simulation
    }

    /// Schedules the starts, the operations and the faults of the plan.
    fn schedule_plan(&mut self) {
        for machine in 0..self.plan.members {
            let delay = self.random_below(START_SPREAD_MS) * MILLISECOND;
            self.schedule_after(delay, Event::NodeStarts(machine));
        }
        for router in 0..self.plan.routers {
            let delay = self.random_below(START_SPREAD_MS) * MILLISECOND;
            self.schedule_after(delay, Event::RouterStarts(router));
        }
        for (number, scheduled) in self.plan.operations.iter().enumerate() {
            self.schedule_after(scheduled.at_ms * MILLISECOND, Event::OperationDue(number));
        }
        for (number, scheduled) in self.plan.faults.iter().enumerate() {
            if let FaultTrigger::At(at_ms) = scheduled.trigger {
                self.schedule_after(at_ms * MILLISECOND, Event::FaultBegins(number));
            }
        }
        self.schedule_callers();
        self.schedule_after(CHECK_INTERVAL, Event::DeadlineCheck);
    }

    fn run(mut self) -> Outcome {
        let end = self.plan.end_ms() * MILLISECOND;
        while let Some(((at, _), event)) = self.queue.pop_first() {
            if at > end || self.oracle.violation().is_some() {
                break;
            }
            self.now = at;
            self.oracle.advance_to(at);
            self.handle_event(event);
        }
        if self.oracle.violation().is_none() {
            self.check_final_state();
        }
        Outcome {
            violation: self.oracle.violation().cloned(),
            messages: self.links.sent_messages(),
            acknowledged_changes: self.oracle.acknowledged_changes(),
            trace: self.trace.unwrap_or_default(),
        }
    }

    fn schedule_after(&mut self, delay: Nanos, event: Event) {
        self.schedule_at(self.now + delay, event);
    }

    fn schedule_at(&mut self, at: Nanos, event: Event) {
        self.scheduled_events += 1;
        self.queue.insert((at, self.scheduled_events), event);
    }

    /// Adds a line to the trace if the run is traced.
    fn record(&mut self, text: impl FnOnce() -> String) {
        let now = self.now;
        if let Some(trace) = &mut self.trace {
            trace.push(format!("{:>9.3} {}", now as f64 / MILLISECOND as f64, text()));
        }
    }

    /// A random number in `0..end`, the next in the order of events. Message delays and faults have their own streams, see [`Stream`].
    fn random_below(&mut self, end: u64) -> u64 {
        self.draws += 1;
        keyed_random(self.plan.seed, Stream::Events, [self.draws, 0, 0]) % end.max(1)
    }

    /// The virtual time in whole milliseconds.
    fn now_ms(&self) -> u64 {
        self.now / MILLISECOND
    }
}
