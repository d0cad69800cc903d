//! How old the list of servers may get at those who are well while its reader is killed, cut off or frozen: three and six control
//! nodes in virtual time, with links that come back one by one, at moments that are swept over.

use std::collections::{BTreeMap, BTreeSet};

use googletest::prelude::*;
use ivyhatch_control::durable_state::DurableState;
use ivyhatch_control::server_list_reader::{MAX_CONSECUTIVE_FAILURES, READ_TIMEOUT, RETRY_INTERVAL, ReadId};
use ivyhatch_control::{ControlPlane, Input, NodeConfig, Output, Record, WriteToken};
use ivyhatch_protocol::ids::{NodeId, PartitionId, ReplicaId};
use ivyhatch_protocol::peer::{Membership, PeerMessage, Voter};
use ivyhatch_protocol::watch::Server;
use ivyhatch_protocol::{MILLISECOND, Nanos, SECOND};

/// Control nodes: one in each zone of a small deployment, and of a grown one.
const SIZES: [usize; 2] = [3, 6];
const TICK: Nanos = 100 * MILLISECOND;
const WAY: Nanos = 35 * MILLISECOND;
const SYNC: Nanos = 3 * MILLISECOND;
const CALL: Nanos = 40 * MILLISECOND;
/// A call to a platform that can't be reached fails after this.
const UNREACHED: Nanos = SECOND;
const LIST_EVERY: Nanos = 500 * MILLISECOND;
/// The platform's list changes as often as this: its age can be told from what it holds.
const STEP: Nanos = 50 * MILLISECOND;
const TROUBLE_AT: Nanos = 5 * SECOND;
const END: Nanos = 16 * SECOND;

/// The highest age of the list while the platform answers in time; `docs/design/list-reader.md` adds it up.
const BOUND: Nanos = LIST_EVERY + 1600 * MILLISECOND;
/// The same where the next reader's first call is lost.
const BOUND_LOST_CALL: Nanos = BOUND + READ_TIMEOUT + TICK;
/// The same where the reader, which is well, can't reach the platform: as many calls as it makes, and the pauses between them.
const BOUND_UNREACHED: Nanos = BOUND + MAX_CONSECUTIVE_FAILURES as u64 * (UNREACHED + RETRY_INTERVAL + TICK);

#[derive(Debug)]
enum Happening {
    Tick(usize, u64),
    Arrives { from: usize, to: usize, life: u64, message: PeerMessage },
    Synced(usize, u64, WriteToken, Vec<Record>),
    Read(usize, u64, ReadId),
    ReadFailed(usize, u64, ReadId),
    LinkUp(usize, usize),
    LinkDown(usize, usize),
    PlatformUnreached(usize),
    Kill(usize),
    Start(usize),
    Freeze(usize),
    Thaw(usize),
}

#[derive(Default)]
struct Machine {
    node: Option<ControlPlane>,
    life: u64,
    frozen: bool,
    held: Vec<Happening>,
    disk: Vec<Record>,
}

#[derive(Default)]
struct Fleet {
    now: Nanos,
    count: u64,
    queue: BTreeMap<(Nanos, u64), Happening>,
    machines: Vec<Machine>,
    links: BTreeSet<(usize, usize)>,
    /// Those who can't reach the platform.
    without_platform: BTreeSet<usize>,
    /// Those whose next call is lost.
    loses_call: BTreeSet<usize>,
}

fn address(machine: usize) -> NodeId {
    NodeId(machine as u32 + 1)
}

fn replica(machine: usize) -> ReplicaId {
    ReplicaId { node: address(machine), disk: 1 + machine as u64 }
}

/// The disk of a voter of the first membership.
fn disk(machine: usize, size: usize) -> Vec<Record> {
    let voter = |machine| Voter { replica: replica(machine), zone: String::new(), joined_generation: 1 };
    let voters = (0..size).map(voter).collect();
    let membership = Membership { generation: 1, voters, previous: Vec::new() };
    vec![Record::Formatted { replica: replica(machine), first_start: true }, Record::Membership(membership)]
}

fn machine(node: NodeId) -> usize {
    node.0 as usize - 1
}

/// The first owner of the duty's part.
fn first_reader(size: usize) -> usize {
    usize::from(PartitionId::for_key("platform-list").0) % size
}

/// All but the first owner, in their order.
fn others(size: usize) -> Vec<usize> {
    (1..size).map(|place| (first_reader(size) + place) % size).collect()
}

fn all(size: usize) -> Vec<usize> {
    (0..size).collect()
}

fn pairs(size: usize) -> impl Iterator<Item = (usize, usize)> {
    (0..size).flat_map(move |from| (0..size).map(move |to| (from, to))).filter(|(from, to)| from != to)
}

impl Fleet {
    fn new(size: usize) -> Self {
        let mut fleet = Self::default();
        fleet.machines.resize_with(size, Machine::default);
        for machine in 0..size {
            fleet.machines[machine].disk = disk(machine, size);
            fleet.at(machine as u64 * 7 * MILLISECOND, Happening::Start(machine));
        }
        for (from, to) in pairs(size) {
            fleet.at(50 * MILLISECOND, Happening::LinkUp(from, to));
        }
        fleet
    }

    fn at(&mut self, at: Nanos, happening: Happening) {
        self.count += 1;
        self.queue.insert((at, self.count), happening);
    }

    fn after(&mut self, after: Nanos, happening: Happening) {
        self.at(self.now + after, happening);
    }

    /// A link is down from then on, for so long.
    fn cut(&mut self, at: Nanos, from: usize, to: usize, for_so_long: Nanos) {
        self.at(at, Happening::LinkDown(from, to));
        self.at(at + for_so_long, Happening::LinkUp(from, to));
    }

    /// Plays to the end. Returns the highest age of the list at any of these, from the trouble on.
    fn oldest_at(&mut self, observers: &[usize]) -> Nanos {
        let mut oldest = 0;
        while let Some(((at, _), happening)) = self.queue.pop_first() {
            if at > END {
                break;
            }
            if at > TROUBLE_AT {
                let ages = observers.iter().map(|observer| at - self.shown(*observer));
                oldest = oldest.max(ages.max().unwrap_or(0));
            }
            self.now = at;
            self.happen(happening);
        }
        oldest
    }

    /// When the platform showed what a machine has.
    fn shown(&self, machine: usize) -> Nanos {
        let node = self.machines[machine].node.as_ref().expect("observers stay up");
        let steps = node.server_list().servers(self.now).filter_map(|server| server.id.parse::<u64>().ok());
        steps.max().unwrap_or(0) * STEP
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Start(machine) => self.start(machine),
            Happening::Kill(machine) => self.machines[machine].node = None,
            Happening::Freeze(machine) => self.machines[machine].frozen = true,
            Happening::Thaw(machine) => self.thaw(machine),
            Happening::LinkDown(from, to) => drop(self.links.remove(&(from, to))),
            Happening::PlatformUnreached(machine) => drop(self.without_platform.insert(machine)),
            Happening::LinkUp(from, to) => {
                self.links.insert((from, to));
                self.hear(from, Input::Connected(address(to)));
            }
            Happening::Tick(machine, life) => {
                if self.runs(machine, life, Happening::Tick(machine, life)) {
                    self.hear(machine, Input::Tick);
                    self.after(TICK, Happening::Tick(machine, life));
                }
            }
            Happening::Arrives { from, to, life, message } => {
                let copy = Happening::Arrives { from, to, life, message: message.clone() };
                if self.runs(to, life, copy) {
                    self.hear(to, Input::Peer(address(from), message));
                }
            }
            Happening::Synced(machine, life, token, records) => {
                self.machines[machine].disk.extend(records);
                if self.runs(machine, life, Happening::Synced(machine, life, token, Vec::new())) {
                    self.hear(machine, Input::Stored(token));
                }
            }
            Happening::Read(machine, life, read) => {
                if self.runs(machine, life, Happening::Read(machine, life, read)) {
                    self.hear(machine, Input::ServerList(read, vec![self.platform()]));
                }
            }
            Happening::ReadFailed(machine, life, read) => {
                if self.runs(machine, life, Happening::ReadFailed(machine, life, read)) {
                    self.hear(machine, Input::ServerListFailed(read));
                }
            }
        }
    }

    /// The platform is asked for its list.
    fn read(&mut self, machine: usize, life: u64, read: ReadId) {
        if self.now > TROUBLE_AT && self.loses_call.remove(&machine) {
            return;
        }
        if self.without_platform.contains(&machine) {
            self.after(UNREACHED, Happening::ReadFailed(machine, life, read));
        } else {
            self.after(CALL, Happening::Read(machine, life, read));
        }
    }

    fn platform(&self) -> Server {
        Server {
            id: (self.now / STEP).to_string(),
            service: "s".to_owned(),
            address: "10.128.0.9:8080".to_owned(),
            zone: "a".to_owned(),
            slots: 8,
            draining: false,
            warm_up_remaining_ms: 0,
            lifetime_remaining_ms: None,
        }
    }

    /// Whether a process of this life runs; one that is frozen hears it later.
    fn runs(&mut self, machine: usize, life: u64, happening: Happening) -> bool {
        let this = &mut self.machines[machine];
        let there = this.node.is_some() && this.life == life;
        if there && this.frozen {
            this.held.push(happening);
        }
        there && !this.frozen
    }

    fn thaw(&mut self, machine: usize) {
        self.machines[machine].frozen = false;
        for happening in std::mem::take(&mut self.machines[machine].held) {
            self.after(0, happening);
        }
    }

    fn start(&mut self, machine: usize) {
        let size = self.machines.len();
        let this = &mut self.machines[machine];
        this.life += 1;
        let identity = NodeConfig {
            node: address(machine),
            zone: String::new(),
            incarnation: this.life * 10 + machine as u64,
            has_disk: true,
            first_start: false,
            seeds: (0..size.min(3)).map(address).collect(),
            zones: BTreeSet::new(),
            server_list_interval: LIST_EVERY,
            drain_timeout: 0,
        };
        let stored: DurableState = this.disk.iter().cloned().collect();
        this.node = Some(ControlPlane::new(identity, stored, self.now));
        let life = this.life;
        self.after(0, Happening::Tick(machine, life));
    }

    fn hear(&mut self, machine: usize, input: Input) {
        let now = self.now;
        let mut outputs = Vec::new();
        let Some(node) = self.machines[machine].node.as_mut() else { return };
        node.handle(now, input, &mut outputs);
        for output in outputs {
            self.carry_out(machine, output);
        }
    }

    fn carry_out(&mut self, from: usize, output: Output) {
        let life = self.machines[from].life;
        match output {
            Output::Send(to, message) if self.links.contains(&(from, machine(to))) => {
                let to = machine(to);
                let life = self.machines[to].life;
                self.after(WAY, Happening::Arrives { from, to, life, message });
            }
            Output::Store(token, records) => self.after(SYNC, Happening::Synced(from, life, token, records)),
            Output::ReadServerList(read) => self.read(from, life, read),
            _ => {}
        }
    }
}

#[gtest]
fn nothing_happens_and_the_list_is_as_old_as_its_interval() {
    for size in SIZES {
        let oldest = Fleet::new(size).oldest_at(&all(size));
        expect_that!(oldest, lt(LIST_EVERY + TICK + CALL + WAY + 2 * STEP));
    }
}

#[gtest]
fn the_reader_is_killed_and_its_links_come_back_one_by_one() {
    for size in SIZES {
        let reader = first_reader(size);
        let ends: Vec<(usize, usize)> =
            others(size).into_iter().flat_map(|other| [(reader, other), (other, reader)]).collect();
        for for_ms in [60, 500, 900, 2500] {
            for mix in 0..81 {
                let mut fleet = Fleet::new(size);
                let at = TROUBLE_AT + (mix * 13 % 100) * MILLISECOND;
                fleet.at(at, Happening::Kill(reader));
                fleet.at(at + for_ms * MILLISECOND, Happening::Start(reader));
                let ways = delays(mix, ends.len());
                for ((from, to), delay) in ends.iter().zip(&ways) {
                    fleet.cut(at, *from, *to, (for_ms + delay) * MILLISECOND);
                }
                let oldest = fleet.oldest_at(&others(size));
                expect_that!(oldest, lt(BOUND), "of {size}, killed for {for_ms} ms, links after {ways:?}");
            }
        }
    }
}

/// After how many ms each link comes back: for four links all mixes of three delays, for more a part of them.
fn delays(mix: u64, links: usize) -> Vec<u64> {
    let digit = |place: usize| {
        let shuffled = if place < 4 { mix } else { mix * 7 + place as u64 };
        shuffled / 3_u64.pow(place as u32 % 4) % 3
    };
    (0..links).map(|place| [5, 300, 700][digit(place) as usize]).collect()
}

#[gtest]
fn the_reader_is_frozen() {
    for size in SIZES {
        for for_ms in (100..5000).step_by(130) {
            let mut fleet = Fleet::new(size);
            let at = TROUBLE_AT + (for_ms % 100) * MILLISECOND;
            fleet.at(at, Happening::Freeze(first_reader(size)));
            fleet.at(at + for_ms * MILLISECOND, Happening::Thaw(first_reader(size)));
            let oldest = fleet.oldest_at(&others(size));
            expect_that!(oldest, lt(BOUND), "of {size}, frozen for {for_ms} ms");
        }
    }
}

/// Cuts the reader off from these, outward and inward or one of the two.
fn cut_off(fleet: &mut Fleet, from: &[usize], (outward, inward): (bool, bool), for_ms: u64) {
    let reader = first_reader(fleet.machines.len());
    for other in from {
        for (from, to, is_cut) in [(reader, *other, outward), (*other, reader, inward)] {
            if is_cut {
                fleet.cut(TROUBLE_AT, from, to, for_ms * MILLISECOND);
            }
        }
    }
}

const WAYS: [(bool, bool); 3] = [(true, true), (true, false), (false, true)];

#[gtest]
fn the_reader_is_cut_off_each_way() {
    for size in SIZES {
        for for_ms in (100..5000).step_by(170) {
            for ways in WAYS {
                let mut fleet = Fleet::new(size);
                cut_off(&mut fleet, &others(size), ways, for_ms);
                let oldest = fleet.oldest_at(&others(size));
                expect_that!(
                    oldest,
                    lt(BOUND),
                    "of {size}, cut for {for_ms} ms, outward and inward {ways:?}"
                );
            }
        }
    }
}

#[gtest]
fn the_reader_is_cut_off_from_one_of_the_others() {
    for size in SIZES {
        for other in others(size) {
            for for_ms in (100..6000).step_by(170) {
                for ways in WAYS {
                    let mut fleet = Fleet::new(size);
                    cut_off(&mut fleet, &[other], ways, for_ms);
                    let oldest = fleet.oldest_at(&all(size));
                    expect_that!(oldest, lt(BOUND), "of {size}, {other} cut for {for_ms} ms, {ways:?}");
                }
            }
        }
    }
}

#[gtest]
fn the_reader_is_killed_and_the_next_ones_first_call_is_lost() {
    for size in SIZES {
        for other in others(size) {
            let mut fleet = Fleet::new(size);
            fleet.loses_call.insert(other);
            fleet.at(TROUBLE_AT, Happening::Kill(first_reader(size)));
            expect_that!(fleet.oldest_at(&others(size)), lt(BOUND_LOST_CALL), "of {size}, {other}");
        }
    }
}

#[gtest]
fn the_reader_can_not_reach_the_platform() {
    for size in SIZES {
        for after_ms in (0..500).step_by(50) {
            let mut fleet = Fleet::new(size);
            let at = TROUBLE_AT + after_ms * MILLISECOND;
            fleet.at(at, Happening::PlatformUnreached(first_reader(size)));
            let oldest = fleet.oldest_at(&all(size));
            expect_that!(oldest, lt(BOUND_UNREACHED), "of {size}, after {after_ms} ms");
        }
    }
}

#[gtest]
fn neither_can_the_second() {
    for size in SIZES {
        let mut fleet = Fleet::new(size);
        for other in [first_reader(size), others(size)[0]] {
            fleet.at(TROUBLE_AT, Happening::PlatformUnreached(other));
        }
        let oldest = fleet.oldest_at(&all(size));
        expect_that!(oldest, lt(BOUND_UNREACHED + BOUND_UNREACHED), "of {size}");
    }
}
