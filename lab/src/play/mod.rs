//! Plays a world: any number of nodes in one process, event by event in virtual time. Events of one instant happen in
//! the order in which they were caused.

mod clients;
mod decider;
mod links;
mod servers;
mod setup;
mod state;
mod troubles;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::rc::Rc;

use ivyhatch_balancer::{Action, Event, Member, Settings};

pub use decider::PolicyConfig;
use state::{Attempt, Client, Next, Node, Open, Probe, Try, Who, Work};

use crate::Nanos;
use crate::arrivals::{Arrivals, ClientRequest};
use crate::oracle::InvariantChecker;
use crate::random::RandomStream;
use crate::reference::Setup;
use crate::report::{OutcomeRecorder, Report};
use crate::server::Server;
use crate::world::{World, millis};

pub(crate) const MS: Nanos = 1_000_000;
/// The world's clock starts here: 0 stands for "long ago" in lists.
const START: Nanos = 1_000_000_000;

/// Told of how far a play has come: the part of the world's time, 0 to 1.
pub type Progress<'a> = &'a mut dyn FnMut(f64);

struct Play<'a> {
    world: &'a World,
    decider: &'a PolicyConfig,
    settings: Settings,
    setup: Setup,
    now: Nanos,
    end: Nanos,
    queue: BinaryHeap<Reverse<(Nanos, u64, Next)>>,
    order: u64,
    nodes: Vec<Node>,
    /// Nodes by zone; all of them for a zone that has none.
    fronts: Vec<Vec<usize>>,
    servers: Vec<Server>,
    open: HashMap<(usize, u64), Open>,
    jobs: HashMap<u64, Work>,
    probes_out: HashMap<u64, Probe>,
    clients: BTreeMap<u64, Client>,
    numbers: u64,
    cut: Vec<u32>,
    farther: Vec<f64>,
    lossy: Vec<f64>,
    lists_down: u32,
    /// Whole lists that were handed out, one for each state of the servers that there was a call in.
    lists_made: Vec<Rc<[Member]>>,
    /// Whether the last of them is still true.
    list_holds: bool,
    /// The list that is handed out while lists are stale, and how many troubles keep it so.
    stale: Option<(u32, usize)>,
    oracle: InvariantChecker,
    books: OutcomeRecorder,
    arrivals: Arrivals<'a>,
    coming: Option<ClientRequest>,
    patience: RandomStream,
    choices: RandomStream,
    noise: RandomStream,
    links: RandomStream,
    lists: RandomStream,
    errors: RandomStream,
    seeds: RandomStream,
    attempts: u64,
    crossed: u64,
    probes: u64,
    events: u64,
    most_open: u32,
    most_connections: u32,
}

/// Plays a world with a seed, the module deciding. Runs until all is answered; memory grows with nodes times servers.
pub fn simulate(world: &World, seed: u64, progress: Progress) -> Report {
    simulate_with(world, &PolicyConfig::default(), seed, progress)
}

/// Plays a world with a seed under any policy; see [`play`]. The same world, decider and seed give the same report, to the
/// last byte of its JSON.
pub fn simulate_with(world: &World, decider: &PolicyConfig, seed: u64, progress: Progress) -> Report {
    let mut play = Play::new(world, decider, seed);
    let mut told = 0;
    while let Some(Reverse((at, _, next))) = play.queue.pop() {
        play.now = at;
        play.events += 1;
        play.step(next);
        let hundredth = (at - START).saturating_mul(100) / (play.end - START).max(1);
        if hundredth > told {
            told = hundredth;
            progress((hundredth as f64 / 100.0).min(1.0));
        }
    }
    play.finish(seed)
}

impl Play<'_> {
    fn at(&mut self, at: Nanos, next: Next) {
        self.order += 1;
        self.queue.push(Reverse((at, self.order, next)));
    }

    /// A number that nothing else in the play has.
    fn number(&mut self) -> u64 {
        self.numbers += 1;
        self.numbers
    }

    fn zone(&self, server: u32) -> u32 {
        server % self.world.zones
    }

    fn home(&self, node: usize) -> u32 {
        node as u32 % self.world.zones
    }

    fn tell(&mut self, node: usize, event: Event) {
        if self.nodes[node].dead {
            return;
        }
        let mut actions = Vec::new();
        match &mut self.nodes[node].who {
            Who::Module(balancer) => balancer.handle(self.now, event, &mut actions),
            Who::Reference(reference) => reference.handle(self.now, event, &self.servers, &mut actions),
        }
        for action in actions {
            self.carry_out(node, action);
        }
    }

    fn carry_out(&mut self, node: usize, action: Action) {
        let life = self.nodes[node].life;
        match action {
            Action::Send { request, backend, timeout } => self.send(node, request.0, backend.0, timeout),
            Action::Reject { request, retry_after: pause } => self.answer(node, request.0, Some(pause), true),
            Action::Fail { request } => self.answer(node, request.0, None, true),
            Action::Cancel { request, attempt } => {
                let attempt = Attempt { node, request: request.0, number: attempt };
                self.at(self.now, Next::Ends(attempt, links::Code::Cancelled));
            }
            Action::Probe { backend } => self.probe(node, backend.0),
            Action::Timer { after, token } => self.at(self.now + after, Next::Wakes(node, life, token)),
            Action::Watch => self.watch(node, true),
            Action::Fetch => self.watch(node, false),
            Action::Log(_) => {}
        }
    }

    fn step(&mut self, next: Next) {
        match next {
            Next::Arrives => self.arrives(),
            Next::Returns(zone) => self.returns(zone),
            Next::Tries(client) => self.tries(client),
            Next::Leaves(node, request) => self.leaves(node, request),
            Next::Reaches(attempt) => self.reaches(attempt),
            Next::Done(server, job) => self.done(server, job),
            Next::Ends(attempt, code) => self.ends(attempt, code),
            Next::Withdrawn(server, job) => {
                let next = self.servers[server as usize].cancel(job, self.now);
                self.goes_on(server, next);
            }
            Next::Closes(node, server) => self.closes(node, server),
            Next::ProbeReaches(probe) => self.probe_reaches(probe),
            Next::ProbeEnds(probe, code, figure) => self.probe_ends(probe, code, figure),
            Next::Wakes(node, life, token) => {
                if self.nodes[node].life == life {
                    self.tell(node, Event::Timer { token });
                }
            }
            Next::Listed(node, life, list, watch) => self.listed(node, life, list, watch),
            Next::ListFails(node, life) => self.list_fails(node, life),
            Next::Told(node, life, server, stage, since) => self.told(node, life, server, stage, since),
            Next::Whole => self.whole(),
            Next::Begins(trouble) => self.apply_fault(trouble, true),
            Next::Stops(trouble) => self.apply_fault(trouble, false),
            Next::Over(node, request) => {
                self.oracle.over(node, request, self.now);
                if let Some(open) = self.open.remove(&(node, request)) {
                    self.nodes[node].open -= u32::from(!open.answered);
                    self.closed_one(open.client);
                }
            }
        }
    }

    fn finish(self, seed: u64) -> Report {
        let mut report = self.books.finish(seed);
        (report.attempts, report.crossed, report.probes) = (self.attempts, self.crossed, self.probes);
        report.chokes = self.servers.iter().map(|server| server.chokes).sum();
        (report.events, report.most_open) = (self.events, self.most_open);
        report.most_connections = self.most_connections;
        report.rules_broken = self.oracle.broken.len() + self.oracle.more;
        report.broken = self.oracle.broken;
        report
    }
}

/// The way's usual time between two zones, or within one.
fn usual(world: &World, same: bool) -> Nanos {
    let cross = millis(world.cross_ms);
    if same { cross / 10 } else { cross }
}
