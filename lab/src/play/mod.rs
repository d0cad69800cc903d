//! Plays a world: any number of nodes in one process, event by event in virtual time. Events of one instant happen in
//! the order in which they were caused.

mod clients;
mod links;
mod servers;
mod troubles;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};
use std::rc::Rc;

use brookfield::{
    Action, Balancer, ClassSettings, Discovery, Effect, Event, Member, Reports, RuleFigures, Settings, ZoneId,
};
use serde::{Deserialize, Serialize};

use crate::Nanos;
use crate::arrivals::{Arrivals, Asks};
use crate::oracle::{GRACE, Oracle, SLACK};
use crate::random::Stream;
use crate::reference::{Known, Policy, Reference, Setup};
use crate::report::{Books, Report};
use crate::server::{COLD, FALL_SPAN, Server, TIP, WARM_AFTER};
use crate::world::{LONGEST_PAUSE, World, millis, seconds};

pub(crate) const MS: Nanos = 1_000_000;
/// The world's clock starts here: 0 stands for "long ago" in lists.
const START: Nanos = 1_000_000_000;

/// Told of how far a play has come: the part of the world's time, 0 to 1.
pub type Progress<'a> = &'a mut dyn FnMut(f64);

/// Who decides at each node, and with which settings.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Decider {
    /// Who.
    #[serde(default)]
    pub policy: Policy,
    /// The paper's threshold of utilisation, 0.9 without; only [`Policy::Paper`] has one to set.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub threshold: Option<f64>,
    /// Attempts that a request may have, 6 without.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub attempts: Option<u32>,
    /// Whether the module probes, true without.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub probes: Option<bool>,
    /// Whether the module may send a second copy while one is out, true without.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub second_copies: Option<bool>,
}

impl Decider {
    /// A policy with the usual settings.
    pub fn of(policy: Policy) -> Self {
        Self { policy, ..Self::default() }
    }

    /// Checks the settings.
    ///
    /// # Errors
    /// The field, and what would be right.
    pub fn check(&self) -> Result<(), (&'static str, &'static str)> {
        if self.threshold.is_some_and(|threshold| !(0.0..=1.0).contains(&threshold)) {
            return Err(("threshold", "0 to 1"));
        }
        if self.threshold.is_some() && self.policy != Policy::Paper {
            return Err(("threshold", "only policy = \"paper\" has one to set"));
        }
        if self.attempts.is_some_and(|attempts| !(1..=100).contains(&attempts)) {
            return Err(("attempts", "1 to 100"));
        }
        if self.policy != Policy::Module && (self.probes.is_some() || self.second_copies.is_some()) {
            return Err(("probes, second_copies", "only policy = \"module\" has them to set"));
        }
        Ok(())
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Attempt {
    node: usize,
    request: u64,
    number: u32,
}

/// What happens next. The ends of attempts carry one of [`links::Code`].
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Next {
    Arrives,
    /// A closed client of this zone asks.
    Returns(u32),
    Tries(u64),
    Leaves(usize, u64),
    /// An attempt's request reaches its server.
    Reaches(Attempt),
    /// A server's core has done a job.
    Done(u32, u64),
    /// An attempt ends at its node, by what has come back or by the time.
    Ends(Attempt, links::Code),
    /// A server hears that nobody waits for a job.
    Withdrawn(u32, u64),
    /// An idle connection is closed.
    Closes(usize, u32),
    ProbeReaches(u64),
    ProbeEnds(u64, links::Code, u64),
    Wakes(usize, u32, u64),
    /// A whole list, by its number among those that were made, and whether changes follow.
    Listed(usize, u32, usize, bool),
    ListFails(usize, u32),
    Told(usize, u32, u32, u8, Option<Nanos>),
    Whole,
    Begins(usize),
    Stops(usize),
    Over(usize, u64),
}

enum Who {
    Module(Box<Balancer>),
    Reference(Box<Reference>),
}

struct Node {
    who: Who,
    /// Counts its lives, so that what was meant for an earlier one is known.
    life: u32,
    /// Whether clients reach it, and whether it is a process at all.
    up: bool,
    dead: bool,
    /// Whether it hears of changes to the list.
    watching: bool,
    /// What it is told of the list comes in order: nothing before this.
    told_until: Nanos,
    /// Requests that it owes an answer.
    open: u32,
    /// Idle connections: to which server, when each became idle.
    idle: HashMap<u32, VecDeque<Nanos>>,
    connections: u32,
}

struct Client {
    asks: Asks,
    first: Nanos,
    repeats_left: u32,
    closed: bool,
    /// Whether it has what it will get. It is forgotten once none of its requests is open any more: an attempt that is
    /// still out needs what it asked for.
    done: bool,
    /// Requests that are open for it.
    requests: u32,
}

struct Try {
    server: u32,
    sent: Nanos,
    /// The job at the server, once it is there.
    job: u64,
    connected: bool,
}

struct Open {
    client: u64,
    not_after: Nanos,
    answered: bool,
    /// None once it has ended.
    attempts: Vec<Option<Try>>,
}

enum Work {
    Attempt(Attempt),
    Probe,
}

struct Probe {
    node: usize,
    life: u32,
    server: u32,
    sent: Nanos,
}

struct Play<'a> {
    world: &'a World,
    decider: &'a Decider,
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
    oracle: Oracle,
    books: Books,
    arrivals: Arrivals<'a>,
    coming: Option<Asks>,
    patience: Stream,
    choices: Stream,
    noise: Stream,
    links: Stream,
    lists: Stream,
    errors: Stream,
    seeds: Stream,
    attempts: u64,
    crossed: u64,
    probes: u64,
    events: u64,
    most_open: u32,
    most_connections: u32,
}

/// Plays a world with a seed, the module deciding. Runs until all is answered; memory grows with nodes times servers.
pub fn play(world: &World, seed: u64, progress: Progress) -> Report {
    play_with(world, &Decider::default(), seed, progress)
}

/// Plays a world with a seed under any policy; see [`play`]. The same world, decider and seed give the same report, to the
/// last byte of its JSON.
pub fn play_with(world: &World, decider: &Decider, seed: u64, progress: Progress) -> Report {
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

fn settings(world: &World, decider: &Decider) -> Settings {
    let class = |class: &crate::world::Class| ClassSettings {
        aim: class.aim_ms * MS,
        deadline: class.deadline_ms * MS,
        worth: class.worth,
        effect: if class.once { Effect::Once } else { Effect::Repeatable },
        ..ClassSettings::default()
    };
    let mut settings = Settings {
        nodes: world.nodes,
        classes: world.clients.classes.iter().map(class).collect(),
        tenants: world.clients.tenants.iter().map(|tenant| tenant.quota).collect(),
        discovery: Discovery::Asked,
        reports: if world.reports_on_answers { Reports::Piggyback } else { Reports::Pull },
        probe_price: 0.01,
        repeats_marked: world.clients.marks_repeats,
        rules: RuleFigures {
            answer_slack: SLACK,
            ask_within: 10_000 * MS,
            drain_grace: GRACE,
            start_capacity: COLD,
            warm_after: WARM_AFTER,
            tip_multiple: TIP,
            fall_span: FALL_SPAN,
        },
        ..Settings::new(ZoneId(0), world.zones)
    };
    settings.limits.probes = decider.probes.unwrap_or(true);
    settings.limits.attempts = decider.attempts.unwrap_or(6);
    settings.limits.second_copies = decider.second_copies.unwrap_or(true);
    settings.limits.retry_after = LONGEST_PAUSE;
    settings
}

fn setup(world: &World, decider: &Decider) -> Setup {
    let known = |class: &crate::world::Class| Known {
        once: class.once,
        aim: class.aim_ms * MS,
        work: class.work_ms * 1e6,
        elsewhere: class.elsewhere_ms * 1e6,
    };
    Setup {
        policy: decider.policy,
        home: 0,
        threshold: decider.threshold.unwrap_or(0.9),
        attempts: decider.attempts.unwrap_or(6),
        classes: world.clients.classes.iter().map(known).collect(),
        ways: Vec::new(),
    }
}

impl<'a> Play<'a> {
    fn new(world: &'a World, decider: &'a Decider, seed: u64) -> Self {
        let stream = |purpose| Stream::new(seed, purpose, 0);
        let zone_nodes = |zone: u32| {
            let of: Vec<usize> =
                (0..world.nodes).filter(|n| n % world.zones == zone).map(|n| n as usize).collect();
            if of.is_empty() { (0..world.nodes as usize).collect() } else { of }
        };
        let zones = world.zones as usize;
        let mut play = Self {
            world,
            decider,
            settings: settings(world, decider),
            setup: setup(world, decider),
            now: START,
            end: START + seconds(world.seconds),
            queue: BinaryHeap::new(),
            order: 0,
            nodes: Vec::new(),
            fronts: (0..world.zones).map(zone_nodes).collect(),
            servers: world.each_server().map(Server::new).collect(),
            open: HashMap::new(),
            jobs: HashMap::new(),
            probes_out: HashMap::new(),
            clients: BTreeMap::new(),
            numbers: 0,
            cut: vec![0; zones],
            farther: vec![0.0; zones],
            lossy: vec![0.0; zones],
            lists_down: 0,
            lists_made: Vec::new(),
            list_holds: false,
            stale: None,
            oracle: Oracle::default(),
            books: Books::new(world),
            arrivals: Arrivals::new(world, seed),
            coming: None,
            patience: stream("patience"),
            choices: stream("fronts"),
            noise: stream("noise"),
            links: stream("links"),
            lists: stream("lists"),
            errors: stream("errors"),
            seeds: stream("nodes"),
            attempts: 0,
            crossed: 0,
            probes: 0,
            events: 0,
            most_open: 0,
            most_connections: 0,
        };
        for (number, trouble) in world.trouble.iter().enumerate() {
            let (from, to) = trouble.span();
            play.at(START + from, Next::Begins(number));
            play.at(START + to, Next::Stops(number));
        }
        for node in 0..world.nodes as usize {
            let who = play.decider_of(node);
            play.nodes.push(Node {
                who,
                life: 0,
                up: true,
                dead: false,
                watching: false,
                told_until: 0,
                open: 0,
                idle: HashMap::new(),
                connections: 0,
            });
            // A node starts with the list that it held last, as one does that has a file of it.
            play.tell(node, Event::Start);
            let list = play.list();
            let members = play.lists_made[list].to_vec();
            play.tell(node, Event::Fleet { scope: brookfield::ListScope::Cached, members });
        }
        if world.discovery.whole_every > 0.0 {
            play.at(START + seconds(world.discovery.whole_every), Next::Whole);
        }
        play.coming = play.arrivals.next();
        if play.coming.is_some() {
            play.at(START, Next::Arrives);
        }
        play.start_closed();
        play
    }

    /// Who decides at a node from its start on.
    fn decider_of(&mut self, node: usize) -> Who {
        let home = self.home(node);
        let seed = self.seeds.seed();
        if self.decider.policy == Policy::Module {
            let settings = Settings { home: ZoneId(home), ..self.settings.clone() };
            let balancer =
                Balancer::new(settings, seed, self.now).expect("a checked world gives usable settings");
            return Who::Module(Box::new(balancer));
        }
        let cross = self.world.cross_ms * 1e6;
        let ways =
            (0..self.world.zones).map(|zone| if zone == home { cross / 10.0 } else { cross }).collect();
        let setup = Setup { home, ways, ..self.setup.clone() };
        Who::Reference(Box::new(Reference::new(setup, Stream::new(seed, "reference", 0))))
    }

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
            Action::Refuse { request, pause } => self.answer(node, request.0, Some(pause), true),
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
            Next::Begins(trouble) => self.trouble(trouble, true),
            Next::Stops(trouble) => self.trouble(trouble, false),
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
