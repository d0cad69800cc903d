//! The highest age of the server list on healthy nodes while its reader is killed, partitioned or suspended. Clusters of three and six
//! control nodes run in virtual time; the links of a killed reader return one by one, with a range of fault durations.

use std::collections::{BTreeMap, BTreeSet};

use googletest::prelude::*;
use ivyhatch_control::server_list::reader::{MAX_CONSECUTIVE_FAILURES, READ_TIMEOUT, RETRY_INTERVAL, ReadId};
use ivyhatch_control::storage::durable_state::DurableState;
use ivyhatch_control::{ControlPlane, Input, NodeConfig, Output, Record, WriteToken};
use ivyhatch_protocol::ids::{NodeId, PartitionId, ReplicaId};
use ivyhatch_protocol::peer::{Membership, PeerMessage, Voter};
use ivyhatch_protocol::watch::Server;
use ivyhatch_protocol::{MILLISECOND, Nanos, SECOND};

/// Numbers of control nodes: one in each zone of a small deployment and of a large deployment.
const CLUSTER_SIZES: [usize; 2] = [3, 6];
const TICK: Nanos = 100 * MILLISECOND;
/// The one-way delay of a message between two nodes.
const LINK_DELAY: Nanos = 35 * MILLISECOND;
/// The time until a write is durable.
const SYNC_TIME: Nanos = 3 * MILLISECOND;
/// The time that a successful read of the platform's list takes.
const READ_TIME: Nanos = 40 * MILLISECOND;
/// The time after which a read fails on a node that can't reach the platform.
const PLATFORM_TIMEOUT: Nanos = SECOND;
const SERVER_LIST_INTERVAL: Nanos = 500 * MILLISECOND;
/// The interval at which the platform's list changes. The id of its server counts these changes, and so shows the age of a version.
const LIST_CHANGE_INTERVAL: Nanos = 50 * MILLISECOND;
const FAULT_AT: Nanos = 5 * SECOND;
const END: Nanos = 16 * SECOND;

/// The highest age of the list while the platform responds in time; derived in `docs/design/list-reader.md`.
const AGE_LIMIT: Nanos = SERVER_LIST_INTERVAL + 1600 * MILLISECOND;
/// The highest age of the list where the next reader's first read is lost.
const AGE_LIMIT_LOST_READ: Nanos = AGE_LIMIT + READ_TIMEOUT + TICK;
/// The highest age of the list where a healthy reader can't reach the platform: adds the reader's failing reads and the intervals between
/// them.
const AGE_LIMIT_NO_PLATFORM: Nanos =
    AGE_LIMIT + MAX_CONSECUTIVE_FAILURES as u64 * (PLATFORM_TIMEOUT + RETRY_INTERVAL + TICK);

#[derive(Debug)]
enum Event {
    Tick(usize, u64),
    Arrives { from: usize, to: usize, incarnation: u64, message: PeerMessage },
    Synced(usize, u64, WriteToken, Vec<Record>),
    Read(usize, u64, ReadId),
    ReadFailed(usize, u64, ReadId),
    LinkUp(usize, usize),
    LinkDown(usize, usize),
    PlatformUnreachable(usize),
    Kill(usize),
    Start(usize),
    Suspend(usize),
    Resume(usize),
}

#[derive(Default)]
struct Machine {
    node: Option<ControlPlane>,
    incarnation: u64,
    is_suspended: bool,
    deferred_events: Vec<Event>,
    disk: Vec<Record>,
}

#[derive(Default)]
struct Cluster {
    now: Nanos,
    count: u64,
    queue: BTreeMap<(Nanos, u64), Event>,
    machines: Vec<Machine>,
    links: BTreeSet<(usize, usize)>,
    /// Nodes that can't reach the platform.
    without_platform: BTreeSet<usize>,
    /// Nodes whose next read after the fault is lost.
    loses_next_read: BTreeSet<usize>,
}

fn address(machine: usize) -> NodeId {
    NodeId(machine as u32 + 1)
}

fn replica(machine: usize) -> ReplicaId {
    ReplicaId { node: address(machine), disk: 1 + machine as u64 }
}

/// The records on the disk of a voter of the first membership.
fn disk(machine: usize, size: usize) -> Vec<Record> {
    let voter = |machine| Voter { replica: replica(machine), zone: String::new(), joined_generation: 1 };
    let voters = (0..size).map(voter).collect();
    let membership = Membership { generation: 1, voters, previous: Vec::new() };
    vec![Record::Formatted { replica: replica(machine), first_start: true }, Record::Membership(membership)]
}

fn machine(node: NodeId) -> usize {
    node.0 as usize - 1
}

/// The first node in the election order of the partition that the reader's role belongs to.
fn first_reader(size: usize) -> usize {
    usize::from(PartitionId::for_key("platform-list").0) % size
}

/// All nodes but the first reader, in the election order.
fn others(size: usize) -> Vec<usize> {
    (1..size).map(|index| (first_reader(size) + index) % size).collect()
}

fn all(size: usize) -> Vec<usize> {
    (0..size).collect()
}

fn pairs(size: usize) -> impl Iterator<Item = (usize, usize)> {
    (0..size).flat_map(move |from| (0..size).map(move |to| (from, to))).filter(|(from, to)| from != to)
}

impl Cluster {
    fn new(size: usize) -> Self {
        let mut cluster = Self::default();
        cluster.machines.resize_with(size, Machine::default);
        for machine in 0..size {
            cluster.machines[machine].disk = disk(machine, size);
            cluster.at(machine as u64 * 7 * MILLISECOND, Event::Start(machine));
        }
        for (from, to) in pairs(size) {
            cluster.at(50 * MILLISECOND, Event::LinkUp(from, to));
        }
        cluster
    }

    fn at(&mut self, at: Nanos, event: Event) {
        self.count += 1;
        self.queue.insert((at, self.count), event);
    }

    fn after(&mut self, after: Nanos, event: Event) {
        self.at(self.now + after, event);
    }

    /// Schedules an outage of a link at a time, for a duration.
    fn take_link_down(&mut self, at: Nanos, from: usize, to: usize, duration: Nanos) {
        self.at(at, Event::LinkDown(from, to));
        self.at(at + duration, Event::LinkUp(from, to));
    }

    /// Runs until [`END`]. Returns the highest age of the list on any of the observers after the fault.
    fn run_and_measure_age(&mut self, observers: &[usize]) -> Nanos {
        let mut highest_age = 0;
        while let Some(((at, _), event)) = self.queue.pop_first() {
            if at > END {
                break;
            }
            if at > FAULT_AT {
                let ages = observers.iter().map(|observer| at - self.list_version_time(*observer));
                highest_age = highest_age.max(ages.max().unwrap_or(0));
            }
            self.now = at;
            self.handle_event(event);
        }
        highest_age
    }

    /// The time at which the platform published the version of the list that a node has.
    fn list_version_time(&self, machine: usize) -> Nanos {
        let node = self.machines[machine].node.as_ref().expect("observers keep running");
        let steps = node.server_list().servers(self.now).filter_map(|server| server.id.parse::<u64>().ok());
        steps.max().unwrap_or(0) * LIST_CHANGE_INTERVAL
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Start(machine) => self.start(machine),
            Event::Kill(machine) => self.machines[machine].node = None,
            Event::Suspend(machine) => self.machines[machine].is_suspended = true,
            Event::Resume(machine) => self.resume(machine),
            Event::LinkDown(from, to) => drop(self.links.remove(&(from, to))),
            Event::PlatformUnreachable(machine) => drop(self.without_platform.insert(machine)),
            Event::LinkUp(from, to) => {
                self.links.insert((from, to));
                self.handle_input(from, Input::Connected(address(to)));
            }
            Event::Tick(machine, incarnation) => {
                if self.runs(machine, incarnation, Event::Tick(machine, incarnation)) {
                    self.handle_input(machine, Input::Tick);
                    self.after(TICK, Event::Tick(machine, incarnation));
                }
            }
            Event::Arrives { from, to, incarnation, message } => {
                let copy = Event::Arrives { from, to, incarnation, message: message.clone() };
                if self.runs(to, incarnation, copy) {
                    self.handle_input(to, Input::Peer(address(from), message));
                }
            }
            Event::Synced(machine, incarnation, token, records) => {
                self.machines[machine].disk.extend(records);
                if self.runs(machine, incarnation, Event::Synced(machine, incarnation, token, Vec::new())) {
                    self.handle_input(machine, Input::Stored(token));
                }
            }
            Event::Read(machine, incarnation, read) => {
                if self.runs(machine, incarnation, Event::Read(machine, incarnation, read)) {
                    self.handle_input(machine, Input::ServerList(read, vec![self.platform_server()]));
                }
            }
            Event::ReadFailed(machine, incarnation, read) => {
                if self.runs(machine, incarnation, Event::ReadFailed(machine, incarnation, read)) {
                    self.handle_input(machine, Input::ServerListFailed(read));
                }
            }
        }
    }

    /// Starts a read of the platform's list, which succeeds, fails or is lost.
    fn start_read(&mut self, machine: usize, incarnation: u64, read: ReadId) {
        if self.now > FAULT_AT && self.loses_next_read.remove(&machine) {
            return;
        }
        if self.without_platform.contains(&machine) {
            self.after(PLATFORM_TIMEOUT, Event::ReadFailed(machine, incarnation, read));
        } else {
            self.after(READ_TIME, Event::Read(machine, incarnation, read));
        }
    }

    fn platform_server(&self) -> Server {
        Server {
            id: (self.now / LIST_CHANGE_INTERVAL).to_string(),
            service: "s".to_owned(),
            address: "10.128.0.9:8080".to_owned(),
            zone: "a".to_owned(),
            slots: 8,
            draining: false,
            warm_up_remaining_ms: 0,
            lifetime_remaining_ms: None,
        }
    }

    /// Whether this incarnation of a node runs and is not suspended. The event is deferred until a suspended incarnation resumes.
    fn runs(&mut self, machine: usize, incarnation: u64, event: Event) -> bool {
        let this = &mut self.machines[machine];
        let is_running = this.node.is_some() && this.incarnation == incarnation;
        if is_running && this.is_suspended {
            this.deferred_events.push(event);
        }
        is_running && !this.is_suspended
    }

    fn resume(&mut self, machine: usize) {
        self.machines[machine].is_suspended = false;
        for event in std::mem::take(&mut self.machines[machine].deferred_events) {
            self.after(0, event);
        }
    }

    fn start(&mut self, machine: usize) {
        let size = self.machines.len();
        let this = &mut self.machines[machine];
        this.incarnation += 1;
        let config = NodeConfig {
            node: address(machine),
            zone: String::new(),
            incarnation: this.incarnation * 10 + machine as u64,
            has_disk: true,
            first_start: false,
            seeds: (0..size.min(3)).map(address).collect(),
            zones: BTreeSet::new(),
            server_list_interval: SERVER_LIST_INTERVAL,
            drain_timeout: 0,
            has_coordination: false,
            cell_history: 20 * SECOND,
        };
        let stored: DurableState = this.disk.iter().cloned().collect();
        this.node = Some(ControlPlane::new(config, stored, self.now));
        let incarnation = this.incarnation;
        self.after(0, Event::Tick(machine, incarnation));
    }

    fn handle_input(&mut self, machine: usize, input: Input) {
        let now = self.now;
        let mut outputs = Vec::new();
        let Some(node) = self.machines[machine].node.as_mut() else { return };
        node.handle(now, input, &mut outputs);
        for output in outputs {
            self.execute(machine, output);
        }
    }

    fn execute(&mut self, from: usize, output: Output) {
        let incarnation = self.machines[from].incarnation;
        match output {
            Output::SendToAll(nodes, message) => {
                for to in nodes {
                    self.execute(from, Output::Send(to, message.clone()));
                }
            }
            Output::Send(to, message) if self.links.contains(&(from, machine(to))) => {
                let to = machine(to);
                let incarnation = self.machines[to].incarnation;
                self.after(LINK_DELAY, Event::Arrives { from, to, incarnation, message });
            }
            Output::Store(token, records) => {
                self.after(SYNC_TIME, Event::Synced(from, incarnation, token, records))
            }
            Output::ReadServerList(read) => self.start_read(from, incarnation, read),
            _ => {}
        }
    }
}

#[gtest]
fn list_is_about_as_old_as_its_interval_without_faults() {
    for size in CLUSTER_SIZES {
        let highest_age = Cluster::new(size).run_and_measure_age(&all(size));
        expect_that!(
            highest_age,
            lt(SERVER_LIST_INTERVAL + TICK + READ_TIME + LINK_DELAY + 2 * LIST_CHANGE_INTERVAL)
        );
    }
}

#[gtest]
fn list_age_is_bounded_when_the_reader_is_killed_and_its_links_return_one_by_one() {
    for size in CLUSTER_SIZES {
        let reader = first_reader(size);
        let reader_links: Vec<(usize, usize)> =
            others(size).into_iter().flat_map(|other| [(reader, other), (other, reader)]).collect();
        for duration_ms in [60, 500, 900, 2500] {
            for combination in 0..81 {
                let mut cluster = Cluster::new(size);
                let at = FAULT_AT + (combination * 13 % 100) * MILLISECOND;
                cluster.at(at, Event::Kill(reader));
                cluster.at(at + duration_ms * MILLISECOND, Event::Start(reader));
                let delays = delays(combination, reader_links.len());
                for ((from, to), delay) in reader_links.iter().zip(&delays) {
                    cluster.take_link_down(at, *from, *to, (duration_ms + delay) * MILLISECOND);
                }
                let highest_age = cluster.run_and_measure_age(&others(size));
                expect_that!(
                    highest_age,
                    lt(AGE_LIMIT),
                    "{size} nodes, killed for {duration_ms} ms, links after {delays:?}"
                );
            }
        }
    }
}

/// The delays in ms after which links return: all combinations of three delays for four links, some combinations for more links.
fn delays(combination: u64, links: usize) -> Vec<u64> {
    let digit = |index: usize| {
        let shuffled = if index < 4 { combination } else { combination * 7 + index as u64 };
        shuffled / 3_u64.pow(index as u32 % 4) % 3
    };
    (0..links).map(|index| [5, 300, 700][digit(index) as usize]).collect()
}

#[gtest]
fn list_age_is_bounded_when_the_reader_is_suspended() {
    for size in CLUSTER_SIZES {
        for duration_ms in (100..5000).step_by(130) {
            let mut cluster = Cluster::new(size);
            let at = FAULT_AT + (duration_ms % 100) * MILLISECOND;
            cluster.at(at, Event::Suspend(first_reader(size)));
            cluster.at(at + duration_ms * MILLISECOND, Event::Resume(first_reader(size)));
            let highest_age = cluster.run_and_measure_age(&others(size));
            expect_that!(highest_age, lt(AGE_LIMIT), "{size} nodes, suspended for {duration_ms} ms");
        }
    }
}

/// The directions in which messages of the reader are lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    Both,
    Outbound,
    Inbound,
}

/// Partitions the reader from other nodes for a duration, in this direction or in both.
fn partition_reader(cluster: &mut Cluster, others: &[usize], direction: Direction, duration_ms: u64) {
    let reader = first_reader(cluster.machines.len());
    for other in others {
        if direction != Direction::Inbound {
            cluster.take_link_down(FAULT_AT, reader, *other, duration_ms * MILLISECOND);
        }
        if direction != Direction::Outbound {
            cluster.take_link_down(FAULT_AT, *other, reader, duration_ms * MILLISECOND);
        }
    }
}

const DIRECTIONS: [Direction; 3] = [Direction::Both, Direction::Outbound, Direction::Inbound];

#[gtest]
fn list_age_is_bounded_when_the_reader_is_partitioned_one_way_or_both() {
    for size in CLUSTER_SIZES {
        for duration_ms in (100..5000).step_by(170) {
            for direction in DIRECTIONS {
                let mut cluster = Cluster::new(size);
                partition_reader(&mut cluster, &others(size), direction, duration_ms);
                let highest_age = cluster.run_and_measure_age(&others(size));
                expect_that!(
                    highest_age,
                    lt(AGE_LIMIT),
                    "{size} nodes, partitioned for {duration_ms} ms, {direction:?}"
                );
            }
        }
    }
}

#[gtest]
fn list_age_is_bounded_when_the_reader_is_partitioned_from_one_node() {
    for size in CLUSTER_SIZES {
        for other in others(size) {
            for duration_ms in (100..6000).step_by(170) {
                for direction in DIRECTIONS {
                    let mut cluster = Cluster::new(size);
                    partition_reader(&mut cluster, &[other], direction, duration_ms);
                    let highest_age = cluster.run_and_measure_age(&all(size));
                    expect_that!(
                        highest_age,
                        lt(AGE_LIMIT),
                        "{size} nodes, partitioned from {other} for {duration_ms} ms, {direction:?}"
                    );
                }
            }
        }
    }
}

#[gtest]
fn list_age_is_bounded_when_the_reader_is_killed_and_the_next_readers_first_read_is_lost() {
    for size in CLUSTER_SIZES {
        for other in others(size) {
            let mut cluster = Cluster::new(size);
            cluster.loses_next_read.insert(other);
            cluster.at(FAULT_AT, Event::Kill(first_reader(size)));
            expect_that!(
                cluster.run_and_measure_age(&others(size)),
                lt(AGE_LIMIT_LOST_READ),
                "{size} nodes, the first read of node {other} lost"
            );
        }
    }
}

#[gtest]
fn list_age_is_bounded_when_the_reader_can_not_reach_the_platform() {
    for size in CLUSTER_SIZES {
        for after_ms in (0..500).step_by(50) {
            let mut cluster = Cluster::new(size);
            let at = FAULT_AT + after_ms * MILLISECOND;
            cluster.at(at, Event::PlatformUnreachable(first_reader(size)));
            let highest_age = cluster.run_and_measure_age(&all(size));
            expect_that!(highest_age, lt(AGE_LIMIT_NO_PLATFORM), "{size} nodes, after {after_ms} ms");
        }
    }
}

#[gtest]
fn list_age_is_bounded_when_the_next_reader_can_not_reach_the_platform_either() {
    for size in CLUSTER_SIZES {
        let mut cluster = Cluster::new(size);
        for other in [first_reader(size), others(size)[0]] {
            cluster.at(FAULT_AT, Event::PlatformUnreachable(other));
        }
        let highest_age = cluster.run_and_measure_age(&all(size));
        expect_that!(highest_age, lt(AGE_LIMIT_NO_PLATFORM + AGE_LIMIT_NO_PLATFORM), "{size} nodes");
    }
}
