//! Plays a world: any number of instances of the decision module in one process, event by event in virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};

use brookfield::{
    Action, Arrival, BackendId, Balancer, ClassId, ClassSettings, Effect, Event, ListScope, Member, Outcome,
    Report as Figures, Reports, RequestId, RuleFigures, Settings, Settlement, Stage, ZoneId,
};

use crate::Nanos;
use crate::oracle::{GRACE, Oracle, SLACK};
use crate::random::Stream;
use crate::report::{Report, Tally};
use crate::server::{COLD, Server, State, WARM_AFTER};
use crate::world::{Kind, World, millis, seconds};

const MS: Nanos = 1_000_000;
/// The world's clock starts here: 0 stands for "long ago" in lists.
const START: Nanos = 1_000_000_000;
const CONNECT: Nanos = 250 * MS;
const PROBE: Nanos = 500 * MS;
/// Longest pause that a client honours.
const LONGEST_PAUSE: Nanos = 2_000 * MS;

/// Told of how far a play has come: the part of the world's time, 0 to 1.
pub type Progress<'a> = &'a mut dyn FnMut(f64);

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Attempt {
    node: usize,
    request: u64,
    number: u32,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Next {
    Arrives,
    Tries(u64),
    /// An attempt's request reaches its server.
    Reaches(Attempt),
    /// An attempt ends at its node, by what has come back or by the time.
    Ends(Attempt, u8),
    ProbeReaches(usize, u32),
    ProbeEnds(usize, u32, bool, u64),
    Wakes(usize, u64),
    Told(usize, u32, u8, Option<Nanos>),
    Begins(usize),
    Stops(usize),
    Over(usize, u64),
}

const SERVED: u8 = 0;
const FULL: u8 = 1;
const UNREACHED: u8 = 2;
const TIMED_OUT: u8 = 3;
const CANCELLED: u8 = 4;
const RESET: u8 = 5;

fn outcome(code: u8) -> Outcome {
    [
        Outcome::Served,
        Outcome::Full,
        Outcome::ConnectFailed,
        Outcome::TimedOut,
        Outcome::Cancelled,
        Outcome::Reset,
    ][usize::from(code)]
}

struct Client {
    class: usize,
    first: Nanos,
    repeats_left: u32,
    work: f64,
    elsewhere: Nanos,
}

struct Open {
    client: u64,
    not_after: Nanos,
    answered: bool,
    /// To which server, sent when; none once it has ended.
    attempts: Vec<Option<(u32, Nanos)>>,
}

struct Play<'a> {
    world: &'a World,
    now: Nanos,
    end: Nanos,
    queue: BinaryHeap<Reverse<(Nanos, u64, Next)>>,
    order: u64,
    nodes: Vec<Balancer>,
    servers: Vec<Server>,
    open: HashMap<(usize, u64), Open>,
    clients: BTreeMap<u64, Client>,
    next_client: u64,
    next_request: u64,
    cut: Vec<bool>,
    bursts: Vec<f64>,
    oracle: Oracle,
    tallies: Vec<Tally>,
    arrivals: Stream,
    work: Stream,
    patience: Stream,
    fronts: Stream,
    noise: Stream,
    attempts: u64,
    crossed: u64,
    probes: u64,
    events: u64,
}

/// Plays a world with a seed. Runs until all is answered; memory grows with nodes times servers.
pub fn play(world: &World, seed: u64, progress: Progress) -> Report {
    let mut play = Play::new(world, seed);
    let mut told = 0;
    while let Some(Reverse((at, _, next))) = play.queue.pop() {
        play.now = at;
        play.events += 1;
        play.step(next);
        let hundredth = (at - START).saturating_mul(100) / (play.end - START);
        if hundredth > told {
            told = hundredth;
            progress((hundredth as f64 / 100.0).min(1.0));
        }
    }
    play.finish(seed)
}

impl<'a> Play<'a> {
    fn new(world: &'a World, seed: u64) -> Self {
        let classes: Vec<ClassSettings> = world
            .clients
            .classes
            .iter()
            .map(|class| ClassSettings {
                aim: class.aim_ms * MS,
                deadline: class.deadline_ms * MS,
                worth: class.worth,
                effect: if class.once { Effect::Once } else { Effect::Repeatable },
                ..ClassSettings::default()
            })
            .collect();
        let mut seeds = Stream::new(seed, "nodes", 0);
        let node = |number: u32| {
            let mut settings = Settings {
                nodes: world.nodes,
                classes: classes.clone(),
                reports: Reports::Pull,
                probe_price: 0.01,
                rules: RuleFigures {
                    answer_slack: SLACK,
                    ask_within: 10_000 * MS,
                    drain_grace: GRACE,
                    start_capacity: COLD,
                    warm_after: WARM_AFTER,
                    tip_multiple: 3.0,
                    fall_span: 2_000 * MS,
                },
                ..Settings::new(ZoneId(number % world.zones), world.zones)
            };
            settings.limits.probes = true;
            settings.limits.attempts = 6;
            settings.limits.retry_after = LONGEST_PAUSE;
            Balancer::new(settings, seeds.seed(), START).expect("a checked world gives usable settings")
        };
        let nodes = (0..world.nodes).map(node).collect();
        let stream = |purpose| Stream::new(seed, purpose, 0);
        let mut play = Self {
            world,
            now: START,
            end: START + seconds(world.seconds),
            queue: BinaryHeap::new(),
            order: 0,
            nodes,
            servers: world.each_server().map(Server::new).collect(),
            open: HashMap::new(),
            clients: BTreeMap::new(),
            next_client: 0,
            next_request: 0,
            cut: vec![false; world.zones as usize],
            bursts: Vec::new(),
            oracle: Oracle::default(),
            tallies: world.clients.classes.iter().map(|class| Tally::new(&class.name, class.worth)).collect(),
            arrivals: stream("arrivals"),
            work: stream("work"),
            patience: stream("patience"),
            fronts: stream("fronts"),
            noise: stream("noise"),
            attempts: 0,
            crossed: 0,
            probes: 0,
            events: 0,
        };
        for node in 0..play.nodes.len() {
            play.tell(node, Event::Start);
            let members = (0..play.servers.len() as u32).map(|s| play.member(s, Stage::InService, None));
            let members = members.collect();
            play.tell(node, Event::Fleet { scope: ListScope::Cached, members });
        }
        for (number, trouble) in world.trouble.iter().enumerate() {
            let (from, to) = trouble.span();
            play.at(START + from, Next::Begins(number));
            play.at(START + to, Next::Stops(number));
        }
        play.at(START, Next::Arrives);
        play
    }

    fn at(&mut self, at: Nanos, next: Next) {
        self.order += 1;
        self.queue.push(Reverse((at, self.order, next)));
    }

    fn zone(&self, server: u32) -> u32 {
        server % self.world.zones
    }

    fn home(&self, node: usize) -> u32 {
        node as u32 % self.world.zones
    }

    fn member(&self, server: u32, stage: Stage, online_since: Option<Nanos>) -> Member {
        let zone = ZoneId(self.zone(server));
        Member { backend: BackendId(server), zone, stage, size: 1.0, online_since, ..Member::default() }
    }

    /// One way between a node and a server; none while a cut lies between.
    fn way(&self, node: usize, server: u32) -> Option<Nanos> {
        let (home, zone) = (self.home(node), self.zone(server));
        let cross = millis(self.world.cross_ms);
        match home == zone {
            true => Some(cross / 10),
            false if self.cut[home as usize] || self.cut[zone as usize] => None,
            false => Some(cross),
        }
    }

    fn tell(&mut self, node: usize, event: Event) {
        let mut actions = Vec::new();
        self.nodes[node].handle(self.now, event, &mut actions);
        for action in actions {
            self.carry_out(node, action);
        }
    }

    fn carry_out(&mut self, node: usize, action: Action) {
        match action {
            Action::Send { request, backend, timeout } => self.send(node, request.0, backend.0, timeout),
            Action::Refuse { request, pause } => self.answer(node, request.0, Some(pause), true),
            Action::Fail { request } => self.answer(node, request.0, None, true),
            Action::Cancel { request, attempt } => {
                let attempt = Attempt { node, request: request.0, number: attempt };
                self.at(self.now, Next::Ends(attempt, CANCELLED));
            }
            Action::Probe { backend } => {
                self.probes += 1;
                match self.way(node, backend.0) {
                    Some(way) => self.at(self.now + way, Next::ProbeReaches(node, backend.0)),
                    None => self.at(self.now + PROBE, Next::ProbeEnds(node, backend.0, false, 0)),
                }
            }
            Action::Timer { after, token } => self.at(self.now + after, Next::Wakes(node, token)),
            Action::Watch | Action::Fetch | Action::Log(_) => {}
        }
    }

    fn send(&mut self, node: usize, request: u64, server: u32, timeout: Option<Nanos>) {
        self.attempts += 1;
        self.crossed += u64::from(self.home(node) != self.zone(server));
        self.oracle.sent(node, request, server, self.now);
        let Some(open) = self.open.get_mut(&(node, request)) else { return };
        let attempt = Attempt { node, request, number: open.attempts.len() as u32 };
        open.attempts.push(Some((server, self.now)));
        let give_up = timeout.map_or(open.not_after, |timeout| open.not_after.min(self.now + timeout));
        self.at(give_up, Next::Ends(attempt, TIMED_OUT));
        match self.way(node, server) {
            Some(way) if self.servers[server as usize].state != State::Gone => {
                self.at(self.now + way, Next::Reaches(attempt));
            }
            // A machine that is there but runs nothing refuses at once; over a cut nothing comes up.
            Some(way) => self.at(self.now + 2 * way, Next::Ends(attempt, UNREACHED)),
            None => self.at(self.now + CONNECT, Next::Ends(attempt, UNREACHED)),
        }
    }

    fn step(&mut self, next: Next) {
        match next {
            Next::Arrives => self.arrives(),
            Next::Tries(client) => self.tries(client),
            Next::Reaches(attempt) => self.reaches(attempt),
            Next::Ends(attempt, code) => self.ends(attempt, code),
            Next::ProbeReaches(node, server) => {
                let noise = self.noise.unit();
                let (done, figure) = self.servers[server as usize].probe(noise, self.now);
                let there = self.servers[server as usize].state != State::Gone;
                match self.way(node, server).filter(|way| there && done + way < self.now + PROBE) {
                    Some(way) => self.at(done + way, Next::ProbeEnds(node, server, true, figure.to_bits())),
                    None => self.at(self.now + PROBE, Next::ProbeEnds(node, server, false, 0)),
                }
            }
            Next::ProbeEnds(node, server, answered, figure) => {
                let util = answered.then(|| f64::from_bits(figure));
                let outcome = if answered { Outcome::Served } else { Outcome::TimedOut };
                let report = Figures { util, ..Figures::default() };
                self.tell(node, Event::Probed { backend: BackendId(server), outcome, elapsed: 0, report });
            }
            Next::Wakes(node, token) => self.tell(node, Event::Timer { token }),
            Next::Told(node, server, stage, since) => {
                let stage = [Stage::InService, Stage::Draining, Stage::Gone][usize::from(stage)];
                self.oracle.told(node, server, stage == Stage::InService, self.now);
                let members = vec![self.member(server, stage, since)];
                self.tell(node, Event::Fleet { scope: ListScope::Changes, members });
            }
            Next::Begins(trouble) => self.trouble(trouble, true),
            Next::Stops(trouble) => self.trouble(trouble, false),
            Next::Over(node, request) => {
                self.oracle.over(node, request, self.now);
                self.open.remove(&(node, request));
            }
        }
    }

    fn trouble(&mut self, number: usize, begins: bool) {
        let trouble = self.world.trouble[number].clone();
        match trouble.kind {
            Kind::Burst if begins => self.bursts.push(trouble.times),
            Kind::Burst => {
                let at = self.bursts.iter().position(|times| *times == trouble.times);
                if let Some(at) = at {
                    self.bursts.remove(at);
                }
            }
            Kind::ZoneCut => self.cut[trouble.zone as usize] = begins,
            Kind::Neighbour => {
                let part = if begins { trouble.part } else { 0.0 };
                trouble.servers.iter().for_each(|&s| self.servers[s as usize].neighbour = part);
            }
            Kind::Liar => trouble.servers.iter().for_each(|&s| self.servers[s as usize].lies = begins),
            Kind::Drain => {
                let (state, stage) = if begins { (State::Draining, 1) } else { (State::Gone, 2) };
                for server in trouble.servers {
                    self.servers[server as usize].state = state;
                    self.announce(server, stage, None);
                }
            }
            Kind::Restart => {
                for server in trouble.servers {
                    if begins {
                        self.servers[server as usize].state = State::Gone;
                        self.reset(server);
                        self.announce(server, 2, None);
                    } else {
                        self.servers[server as usize].restart(self.now);
                        self.announce(server, 0, Some(self.now));
                    }
                }
            }
        }
    }

    /// A process has died: what stands open to it breaks, in an order that does not depend on any table's.
    fn reset(&mut self, server: u32) {
        let mut out: Vec<Attempt> = Vec::new();
        for (&(node, request), open) in &self.open {
            let to = |a: &Option<(u32, Nanos)>| a.is_some_and(|(to, _)| to == server);
            let numbers = open.attempts.iter().zip(0..).filter(|(attempt, _)| to(attempt));
            out.extend(numbers.map(|(_, number)| Attempt { node, request, number }));
        }
        out.sort_unstable();
        for attempt in out {
            if let Some(way) = self.way(attempt.node, server) {
                self.at(self.now + way, Next::Ends(attempt, RESET));
            }
        }
    }

    fn announce(&mut self, server: u32, stage: u8, since: Option<Nanos>) {
        for node in 0..self.nodes.len() {
            let at = self.now + self.world.discovery.lag_ms * MS;
            self.at(at, Next::Told(node, server, stage, since));
        }
    }

    fn arrives(&mut self) {
        let clients = &self.world.clients;
        let all: f64 = clients.classes.iter().map(|class| class.share).sum();
        let mut left = self.work.unit() * all;
        let last = clients.classes.len() - 1;
        let class = clients.classes.iter().position(|class| {
            left -= class.share;
            left < 0.0
        });
        let class = class.unwrap_or(last);
        let settings = &clients.classes[class];
        let client = Client {
            class,
            first: self.now,
            repeats_left: clients.repeats,
            work: self.work.about(settings.work_ms * 1e6),
            elsewhere: self.work.about(settings.elsewhere_ms * 1e6) as Nanos,
        };
        self.tallies[class].report.asked += 1;
        self.clients.insert(self.next_client, client);
        self.tries(self.next_client);
        self.next_client += 1;
        let rate = clients.rate * self.bursts.iter().product::<f64>();
        let next = self.now + self.arrivals.waiting(1e9 / rate) as Nanos;
        if next < self.end {
            self.at(next, Next::Arrives);
        }
    }

    /// A client asks one of the nodes, as a plain front has it.
    fn tries(&mut self, client: u64) {
        let Some(Client { class, first, .. }) = self.clients.get(&client) else { return };
        let (class, first) = (*class, *first);
        let settings = &self.world.clients.classes[class];
        let patience = 0.7 + 0.3 * self.patience.unit();
        let not_after = self.now + (settings.deadline_ms as f64 * patience) as Nanos * MS;
        let not_after = not_after.min(first + settings.deadline_ms * MS);
        let node = (self.fronts.unit() * self.nodes.len() as f64) as usize;
        let request = self.next_request;
        self.next_request += 1;
        let open = Open { client, not_after, answered: false, attempts: Vec::new() };
        self.open.insert((node, request), open);
        self.oracle.taken(node, request, settings.once, not_after, self.now);
        self.at(not_after + 2 * SLACK, Next::Over(node, request));
        let arrival = Arrival {
            request: RequestId(request),
            class: ClassId(class as u32),
            hint: None,
            repeat: false,
            tenant: None,
            not_after,
        };
        self.tell(node, Event::Request(arrival));
    }

    fn reaches(&mut self, attempt: Attempt) {
        let Some(open) = self.open.get(&(attempt.node, attempt.request)) else { return };
        let Some(&Some((server, _))) = open.attempts.get(attempt.number as usize) else { return };
        let Some(client) = self.clients.get(&open.client) else { return };
        let (work, elsewhere) = (client.work, client.elsewhere);
        let state = self.servers[server as usize].state;
        let done = self.servers[server as usize].take(work, self.now);
        let Some(way) = self.way(attempt.node, server) else { return };
        match done {
            _ if state == State::Gone => self.at(self.now + way, Next::Ends(attempt, UNREACHED)),
            Some(done) => self.at(done + elsewhere + way, Next::Ends(attempt, SERVED)),
            None => self.at(self.now + way, Next::Ends(attempt, FULL)),
        }
    }

    fn ends(&mut self, attempt: Attempt, code: u8) {
        let Attempt { node, request, number } = attempt;
        let (home, now) = (self.home(node), self.now);
        let Some(open) = self.open.get_mut(&(node, request)) else { return };
        let Some((server, sent)) = open.attempts.get(number as usize).copied().flatten() else { return };
        let zone = server % self.world.zones;
        // What is on its way when a cut falls, or its server dies, never comes.
        let lost = home != zone && (self.cut[home as usize] || self.cut[zone as usize]);
        let died = self.servers[server as usize].started.is_some_and(|started| started > sent)
            || self.servers[server as usize].state == State::Gone;
        if matches!(code, SERVED | FULL) && (lost || died) {
            return;
        }
        open.attempts[number as usize] = None;
        let outcome = outcome(code);
        self.oracle.ended(node, request, number, !outcome.may_have_run(), now);
        if outcome == Outcome::Served {
            self.answer(node, request, None, false);
        }
        let ended = self.open.get(&(node, request)).is_none_or(|open| open.answered);
        let settlement = Settlement {
            request: RequestId(request),
            attempt: number,
            outcome,
            elapsed: now - sent,
            ended,
            report: Figures::default(),
        };
        self.tell(node, Event::Settled(settlement));
    }

    /// The node's final answer: what a server said, a refusal with a pause, or a failure.
    fn answer(&mut self, node: usize, request: u64, pause: Option<Nanos>, own: bool) {
        let Some(open) = self.open.get_mut(&(node, request)) else { return };
        if open.answered && !own {
            return;
        }
        self.oracle.answered(node, request, pause.is_some(), self.now);
        let (client, not_after) = (open.client, open.not_after);
        if std::mem::replace(&mut open.answered, true) {
            return;
        }
        let Some(Client { class, first, repeats_left, .. }) = self.clients.get_mut(&client) else { return };
        let tally = &mut self.tallies[*class];
        let settings = &self.world.clients.classes[*class];
        match pause {
            None if !own => {
                let took = self.now - *first;
                tally.served(took, took <= settings.aim_ms * MS);
            }
            Some(pause) if *repeats_left > 0 => {
                *repeats_left -= 1;
                let wait = pause.min(LONGEST_PAUSE).max(self.world.clients.repeat_after_ms * MS);
                if self.now + wait < (*first + settings.deadline_ms * MS).max(not_after) {
                    self.at(self.now + wait, Next::Tries(client));
                    return;
                }
                tally.report.refused += 1;
            }
            Some(_) => tally.report.refused += 1,
            None => tally.report.failed += 1,
        }
    }

    fn finish(self, seed: u64) -> Report {
        let worth = |count: fn(&Tally) -> u64| {
            self.tallies.iter().map(|tally| count(tally) as f64 * tally.worth).sum::<f64>()
        };
        let served = worth(|tally| tally.report.in_time) / worth(|tally| tally.report.asked).max(1e-9);
        let rules_broken = self.oracle.broken.len() + self.oracle.more;
        Report {
            world: self.world.name.clone(),
            seed,
            served,
            attempts: self.attempts,
            crossed: self.crossed,
            probes: self.probes,
            chokes: self.servers.iter().map(|server| server.chokes).sum(),
            events: self.events,
            rules_broken,
            broken: self.oracle.broken,
            classes: self.tallies.into_iter().map(Tally::finish).collect(),
        }
    }
}
