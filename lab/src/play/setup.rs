//! How a play begins: the settings of its nodes, and the nodes, servers and events that are there from the start.

use std::collections::{BTreeMap, BinaryHeap, HashMap};

use ivyhatch_balancer::{
    Balancer, ClassSettings, Discovery, Event, Idempotency, LoadReporting, RuleSettings, Settings, ZoneId,
};

use super::{MS, Next, Node, Play, PolicyConfig, START, Who};
use crate::arrivals::Arrivals;
use crate::oracle::{ANSWER_SLACK, DRAIN_GRACE, InvariantChecker};
use crate::random::RandomStream;
use crate::reference::{Known, Policy, Reference, Setup};
use crate::report::OutcomeRecorder;
use crate::server::{COLD_START_CAPACITY, OVERLOAD_CRASH_MULTIPLE, OVERLOAD_WINDOW, Server, WARM_UP_PERIOD};
use crate::world::{LONGEST_PAUSE, World, seconds};

fn settings(world: &World, decider: &PolicyConfig) -> Settings {
    let class = |class: &crate::world::RequestClass| ClassSettings {
        latency_target: class.latency_target_ms * MS,
        deadline: class.deadline_ms * MS,
        value: class.value,
        idempotency: if class.non_idempotent { Idempotency::NonIdempotent } else { Idempotency::Idempotent },
        ..ClassSettings::default()
    };
    let mut settings = Settings {
        nodes: world.nodes,
        classes: world.clients.classes.iter().map(class).collect(),
        tenant_quotas: world.clients.tenants.iter().map(|tenant| tenant.quota).collect(),
        discovery: Discovery::OnRequest,
        reports: if world.reports_on_answers { LoadReporting::Piggyback } else { LoadReporting::Pull },
        probe_cost: 0.01,
        clients_mark_retries: world.clients.marks_retries,
        rules: RuleSettings {
            answer_grace: ANSWER_SLACK,
            max_poll_interval: 10_000 * MS,
            drain_grace: DRAIN_GRACE,
            initial_capacity: COLD_START_CAPACITY,
            warm_up_time: WARM_UP_PERIOD,
            overload_multiple: OVERLOAD_CRASH_MULTIPLE,
            overload_window: OVERLOAD_WINDOW,
        },
        ..Settings::new(ZoneId(0), world.zones)
    };
    settings.limits.probes = decider.probes.unwrap_or(true);
    settings.limits.max_attempts = decider.max_attempts.unwrap_or(6);
    settings.limits.hedging = decider.hedging.unwrap_or(true);
    settings.limits.max_retry_after = LONGEST_PAUSE;
    settings
}

fn setup(world: &World, decider: &PolicyConfig) -> Setup {
    let known = |class: &crate::world::RequestClass| Known {
        once: class.non_idempotent,
        aim: class.latency_target_ms * MS,
        work: class.work_ms * 1e6,
        elsewhere: class.downstream_ms * 1e6,
    };
    Setup {
        policy: decider.policy,
        home: 0,
        threshold: decider.threshold.unwrap_or(0.9),
        attempts: decider.max_attempts.unwrap_or(6),
        classes: world.clients.classes.iter().map(known).collect(),
        ways: Vec::new(),
    }
}

impl<'a> Play<'a> {
    pub(super) fn new(world: &'a World, decider: &'a PolicyConfig, seed: u64) -> Self {
        let stream = |purpose| RandomStream::new(seed, purpose, 0);
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
            oracle: InvariantChecker::default(),
            books: OutcomeRecorder::new(world),
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
        for (number, fault) in world.faults.iter().enumerate() {
            let (from, to) = fault.span();
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
            play.tell(node, Event::Membership { scope: ivyhatch_balancer::ListScope::Cached, members });
        }
        if world.discovery.full_list_interval_s > 0.0 {
            play.at(START + seconds(world.discovery.full_list_interval_s), Next::Whole);
        }
        play.coming = play.arrivals.next();
        if play.coming.is_some() {
            play.at(START, Next::Arrives);
        }
        play.start_closed();
        play
    }

    /// Who decides at a node from its start on.
    pub(super) fn decider_of(&mut self, node: usize) -> Who {
        let home = self.home(node);
        let seed = self.seeds.seed();
        if self.decider.policy == Policy::Balancer {
            let settings = Settings { home: ZoneId(home), ..self.settings.clone() };
            let balancer =
                Balancer::new(settings, seed, self.now).expect("a checked world gives usable settings");
            return Who::Module(Box::new(balancer));
        }
        let cross = self.world.cross_ms * 1e6;
        let ways =
            (0..self.world.zones).map(|zone| if zone == home { cross / 10.0 } else { cross }).collect();
        let setup = Setup { home, ways, ..self.setup.clone() };
        Who::Reference(Box::new(Reference::new(setup, RandomStream::new(seed, "reference", 0))))
    }
}
