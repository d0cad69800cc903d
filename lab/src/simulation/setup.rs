//! The setup of a simulation: the nodes' settings, and the initial nodes, servers and events.

use std::collections::{BTreeMap, HashMap};

use ivyhatch_balancer::{
    Balancer, ClassSettings, Discovery as DiscoveryMode, Event, Idempotency, ListScope, LoadReporting,
    RuleSettings, Settings, ZoneId,
};

use super::event::{EventQueue, FaultPhase, SimulationEvent};
use super::model::{START, Simulation};
use super::state::{Counters, Discovery, NetworkFaults, Node, NodePolicy, RandomStreams, preferred_nodes};
use crate::arrivals::Arrivals;
use crate::invariants::{ANSWER_SLACK, DRAIN_GRACE, InvariantChecker};
use crate::outcomes::OutcomeRecorder;
use crate::policy::{Policy, PolicyConfig};
use crate::random::RandomStream;
use crate::reference::{ClassProfile, ReferencePolicy, ReferenceSettings};
use crate::server::{COLD_START_CAPACITY, OVERLOAD_CRASH_MULTIPLE, OVERLOAD_WINDOW, Server, WARM_UP_PERIOD};
use crate::time::{MS, Nanos, SECOND, nanos_from_seconds};
use crate::world::{MAX_RETRY_AFTER, RequestClass, World};

/// Cost of a probe relative to the cost of a request.
const PROBE_COST: f64 = 0.01;
/// Longest time between two polls of the server list.
const MAX_POLL_INTERVAL: Nanos = 10 * SECOND;

fn class_settings(class: &RequestClass) -> ClassSettings {
    let idempotency = if class.non_idempotent { Idempotency::NonIdempotent } else { Idempotency::Idempotent };
    ClassSettings {
        latency_target: class.latency_target_ms * MS,
        deadline: class.deadline_ms * MS,
        value: class.value,
        idempotency,
        ..ClassSettings::default()
    }
}

fn balancer_settings(world: &World, policy: &PolicyConfig) -> Settings {
    let mut settings = Settings {
        nodes: world.nodes,
        classes: world.clients.classes.iter().map(class_settings).collect(),
        tenant_quotas: world.clients.tenants.iter().map(|tenant| tenant.quota).collect(),
        discovery: DiscoveryMode::OnRequest,
        reports: if world.reports_on_answers { LoadReporting::Piggyback } else { LoadReporting::Pull },
        probe_cost: PROBE_COST,
        clients_mark_retries: world.clients.marks_retries,
        rules: RuleSettings {
            answer_grace: ANSWER_SLACK,
            max_poll_interval: MAX_POLL_INTERVAL,
            drain_grace: DRAIN_GRACE,
            initial_capacity: COLD_START_CAPACITY,
            warm_up_time: WARM_UP_PERIOD,
            overload_multiple: OVERLOAD_CRASH_MULTIPLE,
            overload_window: OVERLOAD_WINDOW,
        },
        ..Settings::new(ZoneId(0), world.zones)
    };
    settings.limits.probes = policy.probes.unwrap_or(true);
    settings.limits.max_attempts = policy.max_attempts_or_default();
    settings.limits.hedging = policy.hedging.unwrap_or(true);
    settings.limits.max_retry_after = MAX_RETRY_AFTER;
    settings
}

fn reference_settings(world: &World, policy: &PolicyConfig) -> ReferenceSettings {
    let profile = |class: &RequestClass| ClassProfile {
        non_idempotent: class.non_idempotent,
        latency_target: class.latency_target_ms * MS,
        work: class.work_ms * 1e6,
        downstream_wait: class.downstream_ms * 1e6,
    };
    ReferenceSettings {
        policy: policy.policy,
        home_zone: 0,
        threshold: policy.threshold_or_default(),
        max_attempts: policy.max_attempts_or_default(),
        classes: world.clients.classes.iter().map(profile).collect(),
        zone_latencies: Vec::new(),
    }
}

impl<'a> Simulation<'a> {
    /// A simulation at the world's start, with all initial events scheduled. The order of scheduling affects the result of
    /// each seed and must not change.
    pub(super) fn new(world: &'a World, policy: &'a PolicyConfig, seed: u64) -> Self {
        let mut simulation = Self::without_events(world, policy, seed);
        simulation.schedule_faults();
        simulation.start_nodes();
        let full_list_interval = world.discovery.full_list_interval_s;
        if full_list_interval > 0.0 {
            let at = START + nanos_from_seconds(full_list_interval);
            simulation.schedule(at, SimulationEvent::FullListIntervalElapsed);
        }
        simulation.next_arrival = simulation.arrivals.next();
        if simulation.next_arrival.is_some() {
            simulation.schedule(START, SimulationEvent::ClientArrives);
        }
        simulation.start_closed_clients();
        simulation
    }

    fn without_events(world: &'a World, policy: &'a PolicyConfig, seed: u64) -> Self {
        Self {
            world,
            policy,
            balancer_settings: balancer_settings(world, policy),
            reference_settings: reference_settings(world, policy),
            now: START,
            end: START + nanos_from_seconds(world.seconds),
            queue: EventQueue::default(),
            nodes: Vec::new(),
            preferred_nodes: preferred_nodes(world),
            servers: world.each_server().map(Server::new).collect(),
            open_requests: HashMap::new(),
            jobs: HashMap::new(),
            pending_probes: HashMap::new(),
            clients: BTreeMap::new(),
            last_id: 0,
            network_faults: NetworkFaults::none(world.zones),
            discovery: Discovery::default(),
            invariants: InvariantChecker::default(),
            outcomes: OutcomeRecorder::new(world),
            arrivals: Arrivals::new(world, seed),
            next_arrival: None,
            random: RandomStreams::new(seed),
            counters: Counters::default(),
        }
    }

    fn schedule_faults(&mut self) {
        for (fault, settings) in self.world.faults.iter().enumerate() {
            let period = settings.period();
            let change = |phase| SimulationEvent::FaultChanges { fault, phase };
            self.schedule(START + period.start, change(FaultPhase::Start));
            self.schedule(START + period.end, change(FaultPhase::End));
        }
    }

    /// Starts all nodes, each with a cached list, like a node that has run before.
    fn start_nodes(&mut self) {
        for node in 0..self.world.nodes as usize {
            let policy = self.create_policy(node);
            self.nodes.push(Node::new(policy));
            let members = self.start_policy(node);
            self.notify(node, Event::Membership { scope: ListScope::Cached, members });
        }
    }

    /// Creates the policy of a node's new process, without state.
    pub(super) fn create_policy(&mut self, node: usize) -> NodePolicy {
        let home_zone = self.node_zone(node);
        let seed = self.random.node_seeds.seed();
        if self.policy.policy == Policy::Balancer {
            let settings = Settings { home: ZoneId(home_zone), ..self.balancer_settings.clone() };
            let balancer = Balancer::new(settings, seed, self.now);
            return NodePolicy::Balancer(Box::new(
                balancer.expect("a validated world gives valid balancer settings"),
            ));
        }
        let cross_zone = self.world.cross_ms * 1e6;
        let latency = |zone| if zone == home_zone { cross_zone / 10.0 } else { cross_zone };
        let zone_latencies = (0..self.world.zones).map(latency).collect();
        let settings = ReferenceSettings { home_zone, zone_latencies, ..self.reference_settings.clone() };
        let random = RandomStream::new(seed, "reference", 0);
        NodePolicy::Reference(Box::new(ReferencePolicy::new(settings, random)))
    }
}
