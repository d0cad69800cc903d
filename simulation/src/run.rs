//! Plays a plan: one queue of happenings in virtual time, the real state machines behind it, the judge beside it.

mod alterations;
mod describe;
mod links;
mod machines;
mod observation;
mod operators;
mod routers;
mod troubles;

use std::collections::{BTreeMap, BTreeSet};

use ivyhatch_control::server_list_reader::ReadId;
use ivyhatch_control::{Input, RequestId, SessionId};
use ivyhatch_protocol::ids::NodeId;
use ivyhatch_protocol::peer::{AdminRequest, AdminResponse, PeerMessage};
use ivyhatch_protocol::watch::{WatchRequest, WatchResponse};
use ivyhatch_protocol::{MILLISECOND, Nanos, SECOND};

use crate::chance::draw;
use crate::injected_bugs::InjectedBug;
use crate::oracle::{FollowerView, Oracle, Violation};
use crate::plan::{Plan, When};

use links::Links;
use machines::Machine;
use operators::Desk;
use routers::Router;

const TICK: Nanos = 100 * MILLISECOND;
const SAMPLE: Nanos = 250 * MILLISECOND;
/// What the rules call `contact_ms`.
const CONTACT: Nanos = 4 * SECOND;
/// The address of the first control node; the others and the followers come behind it.
const FIRST_ADDRESS: u32 = 0x0a01_0001;

/// What a world has shown.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// The first broken rule, if any.
    pub violation: Option<Violation>,
    /// Messages that were sent.
    pub messages: u64,
    /// Configurations and evacuations that were acknowledged.
    pub taken: u64,
    /// Everything that happened and was said, where it was asked for.
    pub trace: Vec<String>,
}

/// What comes on a link.
#[derive(Clone, Debug)]
enum Said {
    Peer(PeerMessage),
    Follower(SessionId, WatchRequest),
    Told(SessionId, WatchResponse),
}

#[derive(Clone, Debug)]
enum Happening {
    Tick(usize, u64),
    FollowerTick(usize, u64),
    /// From one place to another, in this life of the receiver.
    Arrives(usize, usize, u64, Said),
    Linked(usize, u64, usize),
    Session(usize, u64, usize, u64),
    SessionLost(usize, usize, SessionId),
    SessionClosed(usize, u64, SessionId),
    Synced(usize, u64),
    Listed(usize, u64, ReadId),
    Begins(usize),
    Goes(usize),
    Order(RequestId, usize, AdminRequest),
    Answer(RequestId, AdminResponse),
    Silence(RequestId),
    Fault(usize),
    Ends(usize),
    Start(usize),
    FollowerStart(usize),
    Thaw(usize),
    /// A machine goes for good, in this life of its process.
    Gone(usize, u64),
    /// A process is told to end.
    Leave(usize),
    /// The settings of a follower name the machines that are there now.
    Settings(usize),
    Sample,
}

/// A world that is being played.
struct World<'a> {
    plan: &'a Plan,
    injected_bug: Option<InjectedBug>,
    now: Nanos,
    queue: BTreeMap<(Nanos, u64), Happening>,
    queued: u64,
    machines: Vec<Machine>,
    routers: Vec<Router>,
    links: Links,
    desk: Desk,
    oracle: Oracle,
    drawn: u64,
    /// Troubles under which the core counts as slowed.
    slowed: u32,
    core_event: Nanos,
    begun: BTreeSet<usize>,
    /// The machine in each place.
    slots: Vec<usize>,
    /// The machines that were there when one came that takes another's place.
    seeds: BTreeMap<usize, Vec<usize>>,
    /// The ways that each fault has cut, and the machines whose disks it holds up.
    cut_ways: BTreeMap<usize, Vec<(usize, usize)>>,
    held_disks: BTreeMap<usize, Vec<usize>>,
    /// Machines that have come so far.
    next_machine: usize,
    trace: Option<Vec<String>>,
}

/// Plays a plan to its end, or to the first broken rule.
pub fn play(plan: &Plan) -> Outcome {
    World::new(plan, None, false).run()
}

/// The same with a known fault put in.
pub fn play_with_bug(plan: &Plan, injected_bug: InjectedBug) -> Outcome {
    World::new(plan, Some(injected_bug), false).run()
}

/// The same with all that happens written down.
pub fn play_traced(plan: &Plan, injected_bug: Option<InjectedBug>) -> Outcome {
    World::new(plan, injected_bug, true).run()
}

fn address(place: usize) -> NodeId {
    NodeId(FIRST_ADDRESS + place as u32)
}

fn place(node: NodeId) -> usize {
    (node.0 - FIRST_ADDRESS) as usize
}

impl<'a> World<'a> {
    fn new(plan: &'a Plan, injected_bug: Option<InjectedBug>, traced: bool) -> Self {
        let (members, machines, followers) = (plan.members, plan.machines(), plan.followers);
        let mut world = Self {
            plan,
            injected_bug,
            now: 0,
            queue: BTreeMap::new(),
            queued: 0,
            machines: (0..machines).map(Machine::at).collect(),
            routers: (0..followers).map(|_| Router::default()).collect(),
            links: Links::new(machines + followers),
            desk: Desk::new(plan.orders.len()),
            oracle: Oracle::default(),
            drawn: 0,
            slowed: 0,
            core_event: 0,
            begun: BTreeSet::new(),
            slots: (0..members).collect(),
            seeds: BTreeMap::new(),
            cut_ways: BTreeMap::new(),
            held_disks: BTreeMap::new(),
            next_machine: members,
            trace: traced.then(Vec::new),
        };
        for machine in 0..members {
            let after = world.below(300) * MILLISECOND;
            world.after(after, Happening::Start(machine));
        }
        for follower in 0..followers {
            let after = world.below(300) * MILLISECOND;
            world.after(after, Happening::FollowerStart(follower));
        }
        for (number, order) in plan.orders.iter().enumerate() {
            world.after(order.at_ms * MILLISECOND, Happening::Begins(number));
        }
        for (number, fault) in plan.faults.iter().enumerate() {
            if let When::At(at_ms) = fault.when {
                world.after(at_ms * MILLISECOND, Happening::Fault(number));
            }
        }
        world.after(SAMPLE, Happening::Sample);
        world
    }

    fn run(mut self) -> Outcome {
        let end = self.plan.end_ms() * MILLISECOND;
        while let Some(((at, _), happening)) = self.queue.pop_first() {
            if at > end || self.oracle.violation().is_some() {
                break;
            }
            self.now = at;
            self.oracle.time(at);
            self.happens(happening);
        }
        if self.oracle.violation().is_none() {
            self.end();
        }
        Outcome {
            violation: self.oracle.violation().cloned(),
            messages: self.links.sent(),
            taken: self.oracle.taken(),
            trace: self.trace.unwrap_or_default(),
        }
    }

    fn after(&mut self, after: Nanos, happening: Happening) {
        self.at(self.now + after, happening);
    }

    fn at(&mut self, at: Nanos, happening: Happening) {
        self.queued += 1;
        self.queue.insert((at, self.queued), happening);
    }

    fn note(&mut self, text: impl FnOnce() -> String) {
        let now = self.now;
        if let Some(trace) = &mut self.trace {
            trace.push(format!("{:>9.3} {}", now as f64 / 1e6, text()));
        }
    }

    /// A number by chance, for what is not a message.
    fn below(&mut self, end: u64) -> u64 {
        self.drawn += 1;
        draw(self.plan.seed, [1, self.drawn, 0, 0]) % end.max(1)
    }

    fn happens(&mut self, happening: Happening) {
        match happening {
            Happening::Tick(machine, life) => self.tick(machine, life),
            Happening::FollowerTick(follower, life) => self.follower_tick(follower, life),
            Happening::Arrives(from, to, life, said) => self.arrives(from, to, life, said),
            Happening::Linked(machine, life, to) => self.linked(machine, life, to),
            Happening::Session(follower, life, machine, of) => self.session(follower, life, machine, of),
            Happening::SessionLost(follower, machine, id) => self.session_lost(follower, machine, id),
            Happening::SessionClosed(machine, life, id) => self.session_closed(machine, life, id),
            Happening::Synced(machine, life) => self.synced(machine, life),
            Happening::Listed(machine, life, read) => self.listed(machine, life, read),
            Happening::Begins(number) => self.begins(number),
            Happening::Goes(operator) => self.goes_on(operator),
            Happening::Order(id, machine, order) => self.order_arrives(id, machine, order),
            Happening::Answer(id, answer) => self.answer_arrives(id, &answer),
            Happening::Silence(id) => self.send_again(id),
            Happening::Fault(number) => self.fault(number),
            Happening::Ends(number) => self.fault_ends(number),
            Happening::Start(machine) => self.start(machine),
            Happening::FollowerStart(follower) => self.follower_start(follower),
            Happening::Thaw(machine) => self.thaw(machine),
            Happening::Gone(machine, life) => {
                if self.machines[machine].life == life {
                    self.gone(machine);
                }
            }
            Happening::Settings(follower) => self.settings_read(follower),
            Happening::Leave(machine) => {
                if self.runs(machine, None, || Happening::Leave(machine)) {
                    self.hear(machine, Input::Drain);
                }
            }
            Happening::Sample => {
                self.sample();
                self.after(SAMPLE, Happening::Sample);
            }
        }
    }

    /// Whether more than half of the core runs and is connected, both ways, each with each.
    fn core_is_connected(&self) -> bool {
        let members = self.plan.members;
        let runs = |machine: &usize| self.machines[*machine].counts();
        let slots = &self.slots;
        let whole = |set: u32| {
            let chosen: Vec<usize> =
                (0..members).filter(|slot| set >> slot & 1 == 1).map(|slot| slots[slot]).collect();
            chosen.len() > members / 2
                && chosen.iter().all(runs)
                && chosen.iter().all(|one| chosen.iter().all(|other| !self.links.is_cut(*one, *other)))
        };
        (0..1_u32 << members).any(whole)
    }

    /// Since when the core is stable, if it is.
    fn stable_since(&self) -> Option<Nanos> {
        let since = self.core_event + CONTACT;
        (self.slowed == 0 && self.now >= since && self.core_is_connected()).then_some(since)
    }

    fn sample(&mut self) {
        let stable = self.stable_since();
        let now = self.now;
        let views: Vec<FollowerView> = self
            .routers
            .iter()
            .enumerate()
            .map(|(number, router)| router.view(number, stable.is_some() && router.is_calm(now)))
            .collect();
        self.oracle.sample(&views, stable);
    }

    /// The machines that take part at the end.
    fn there(&self) -> impl Iterator<Item = &Machine> {
        self.machines[..self.next_machine].iter().filter(|machine| machine.takes_part())
    }

    fn end(&mut self) {
        let places: BTreeSet<Vec<u64>> = self.there().map(Machine::places).collect();
        let machines = self.there().map(Machine::summary);
        let in_force: BTreeSet<Vec<u64>> = machines.chain(self.routers.iter().map(Router::summary)).collect();
        let reader = self.machines.iter().any(Machine::reads_list);
        self.oracle.end(&places, &in_force, reader);
    }
}
