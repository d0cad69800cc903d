//! A soak: real processes under load whose signals, restarts, replaced servers and changes come in series and overlap, drawn from a seed.

mod applications;
mod clients;
mod machines;
mod operator;
mod recorder;
mod servers;

use std::fmt;
use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{Sender, channel};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};

use crate::system_common::{FRONT_PORT, ROUTER_HOST, TestCluster, wait_until};
use applications::Applications;
use clients::Shared;
use machines::Machines;
use operator::Operator;
use recorder::{BudgetUse, Recorder, Service, Totals, Violation};
use servers::Server;

/// Where servers listen, each at a port of its own.
const SERVER_HOST: u8 = 15;
const SERVERS_OF_A_SERVICE: usize = 18;
const SERVER_WORK: Duration = Duration::from_millis(15);
const ZONES: [&str; 3] = ["za", "zb", "zc"];
/// How long the platform's list goes on showing an instance that has crashed, at most.
const LONGEST_LIST_LAG_MS: u64 = 4000;
/// The part of the servers that are replaced together.
const REPLACED_PARTS: Range<f64> = 0.1..0.8;
/// The pause between two checks of what is due.
const TICK: Duration = Duration::from_millis(20);
/// How long clients go on once all disruptions are over, and the last part of that in which they must be served.
const RECOVERY: Duration = Duration::from_secs(8);
const RECOVERED: Duration = Duration::from_secs(3);
const MIN_SERVED_PART: f64 = 0.9;
/// Processes that were stopped, and their configuration, are back by then.
const SETTLE_LIMIT: Duration = Duration::from_secs(15);

/// The size and the length of a run.
#[derive(Clone, Copy, Debug)]
pub struct Scale {
    pub routers: usize,
    pub clients_of_a_router: usize,
    pub disruption: Duration,
    /// The longest pause between two disruptions.
    pub longest_pause: Duration,
}

/// Calls of applications with a clear answer, and without.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallCounts {
    pub clear: u64,
    pub unclear: u64,
}

/// What came of a run.
pub struct Report {
    pub seed: u64,
    pub scale: Scale,
    pub totals: Totals,
    pub budget: BudgetUse,
    pub signals: usize,
    pub replaced_servers: usize,
    pub acknowledged_changes: usize,
    pub calls: CallCounts,
    pub violations: Vec<Violation>,
}

impl fmt::Display for Report {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Totals { requests, served, refused, failed, repeats } = self.totals;
        let BudgetUse { share, repeats: in_window, requests: of } = self.budget;
        write!(
            formatter,
            "seed {}: {} routers, {} signals, {} servers replaced, {} changes; {requests} requests: {served} served, \
             {refused} refused, {failed} failed; {repeats} repeats, {share:.2} of the budget ({in_window} of {of} requests); \
             {} calls answered, {} not; {} violations",
            self.seed,
            self.scale.routers,
            self.signals,
            self.replaced_servers,
            self.acknowledged_changes,
            self.calls.clear,
            self.calls.unclear,
            self.violations.len()
        )
    }
}

/// The parts of a run.
struct Soak {
    random: StdRng,
    cluster: Arc<TestCluster>,
    machines: Machines,
    servers: Vec<Server>,
    /// Addresses at which another instance takes over, and those that the platform's list is to show, and when.
    due_replacements: Vec<(Instant, usize)>,
    due_listings: Vec<Instant>,
    replaced_servers: usize,
}

/// Plays one seed.
pub fn run(seed: u64, scale: Scale) -> Report {
    let recorder = Arc::new(Recorder::default());
    let cluster = Arc::new(TestCluster::with_retry_budget(recorder::BUDGET).enable_coordination());
    let (mut soak, operator) = Soak::start(seed, scale, &cluster, &recorder);
    let routers = router_hosts(scale).map(|host| (host, cluster.address(host, FRONT_PORT))).collect();
    let shared = Arc::new(Shared {
        routers,
        recorder: recorder.clone(),
        next_id: AtomicU64::new(1),
        mean_pause: *clients::MEAN_PAUSES.choose(&mut soak.random).expect("pauses"),
        stop: AtomicBool::new(false),
    });
    let clients: Vec<_> = (0..scale.routers * scale.clients_of_a_router)
        .map(|number| clients::start(&shared, (seed << 20) + number as u64))
        .collect();
    let applications = Applications::start(&cluster, &recorder, seed);
    let changes = spawn_operator(operator, seed, scale);
    soak.disrupt(scale);
    soak.end_disruptions();
    let mut operator = changes.stop();
    wait_until("the configuration can be read", || operator.is_readable());
    operator.read_back(SETTLE_LIMIT);
    let calls = soak.recover(&recorder, &applications);
    applications.stop();
    shared.stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().expect("a client ends"));
    soak.machines.report_logs();
    let budget = recorder.budget_use();
    if budget.share > 1.0 {
        recorder.report(format!("BUDGET: {budget:?}"));
    }
    Report {
        seed,
        scale,
        totals: recorder.totals(),
        budget,
        signals: soak.machines.signals,
        replaced_servers: soak.replaced_servers,
        acknowledged_changes: operator.acknowledged,
        calls,
        violations: recorder.violations(),
    }
}

/// The operator at work.
struct Changes {
    stop: Sender<()>,
    thread: JoinHandle<Operator>,
}

impl Changes {
    fn stop(self) -> Operator {
        drop(self.stop);
        self.thread.join().expect("the operator ends")
    }
}

/// The operator changes the configuration while the rest goes on.
fn spawn_operator(operator: Operator, seed: u64, scale: Scale) -> Changes {
    let (stop, stopped) = channel();
    let random = StdRng::seed_from_u64(!seed);
    let thread = thread::spawn(move || operator.run(random, scale.longest_pause, &stopped));
    Changes { stop, thread }
}

fn router_hosts(scale: Scale) -> impl Iterator<Item = u8> {
    (ROUTER_HOST..).take(scale.routers)
}

impl Soak {
    /// The parts of a run, and its operator, once all routers are ready.
    fn start(
        seed: u64,
        scale: Scale,
        cluster: &Arc<TestCluster>,
        recorder: &Arc<Recorder>,
    ) -> (Self, Operator) {
        let servers: Vec<Server> = Service::ALL
            .into_iter()
            .flat_map(|service| (0..SERVERS_OF_A_SERVICE).map(move |number| (service, number)))
            .map(|(service, number)| {
                let name = format!("i-{}-{number}", service.name());
                let zone = ZONES[number % ZONES.len()];
                Server::start(cluster.ip(SERVER_HOST), (&name, service, zone), SERVER_WORK, recorder)
            })
            .collect();
        cluster.platform.set_instances(servers.iter().map(Server::instance_entry).collect());
        let hosts: Vec<u8> = router_hosts(scale).collect();
        let machines = Machines::start(cluster, recorder, &hosts);
        let operator = Operator::start(cluster, recorder);
        hosts.iter().for_each(|host| cluster.wait_until_ready(*host));
        let soak = Self {
            random: StdRng::seed_from_u64(seed),
            cluster: cluster.clone(),
            machines,
            servers,
            due_replacements: Vec::new(),
            due_listings: Vec::new(),
            replaced_servers: 0,
        };
        (soak, operator)
    }

    /// Disruptions that overlap.
    fn disrupt(&mut self, scale: Scale) {
        let end = Instant::now() + scale.disruption;
        let mut next_at = Instant::now() + Duration::from_secs(1);
        while Instant::now() < end {
            if Instant::now() >= next_at {
                self.one_disruption(scale);
                next_at = Instant::now() + scale.longest_pause.mul_f64(self.random.random_range(0.0..1.0));
            }
            self.advance();
            thread::park_timeout(TICK);
        }
    }

    fn one_disruption(&mut self, scale: Scale) {
        let some = self.random.random_range(1..=scale.routers.div_ceil(4));
        match self.random.random_range(0..9) {
            0 | 1 => self.machines.terminate_routers(&mut self.random, some),
            2 => {
                let part = self.random.random_range(0.2..0.7);
                self.machines.kill_routers(&mut self.random, part);
            }
            3 => self.machines.hang_up_routers(&mut self.random, some),
            4 => self.machines.freeze_routers(&mut self.random, some),
            5 => self.machines.disrupt_control(&mut self.random),
            _ => self.replace_servers(),
        }
    }

    /// A part of all servers crash; other instances take their addresses, and the platform's list follows later.
    fn replace_servers(&mut self) {
        let part = self.random.random_range(REPLACED_PARTS);
        let now = Instant::now();
        for index in 0..self.servers.len() {
            if !self.random.random_bool(part) {
                continue;
            }
            self.servers[index].crash();
            let replaced_at = now + Duration::from_millis(self.random.random_range(0..1000));
            self.due_replacements.push((replaced_at, index));
        }
        let lag = Duration::from_millis(self.random.random_range(300..LONGEST_LIST_LAG_MS));
        self.due_listings.push(now + lag);
    }

    fn advance(&mut self) {
        let now = Instant::now();
        self.machines.advance(&mut self.random);
        self.servers.iter().for_each(Server::forget_requests);
        let (due, later) = self.due_replacements.drain(..).partition(|(at, _): &(Instant, usize)| now >= *at);
        self.due_replacements = later;
        for (_, index) in due {
            self.servers[index].replace();
            self.replaced_servers += 1;
        }
        let due_before = self.due_listings.len();
        self.due_listings.retain(|at| now < *at);
        if self.due_listings.len() < due_before {
            self.cluster.platform.set_instances(self.servers.iter().map(Server::instance_entry).collect());
        }
    }

    /// All disruptions end, and all processes run again.
    fn end_disruptions(&mut self) {
        self.due_replacements.iter().for_each(|(_, index)| self.servers[*index].replace());
        self.due_replacements.clear();
        self.cluster.platform.set_instances(self.servers.iter().map(Server::instance_entry).collect());
        self.machines.settle(&mut self.random, SETTLE_LIMIT);
    }

    /// Clients must be served again, and applications be answered. Returns the calls of the whole run.
    fn recover(&mut self, recorder: &Recorder, applications: &Applications) -> CallCounts {
        let end = Instant::now() + RECOVERY;
        self.advance_until(end - RECOVERED);
        let (clear_before, unclear_before) = applications.take_counts();
        self.advance_until(end);
        let (clear, unclear) = applications.take_counts();
        if (clear as f64) < MIN_SERVED_PART * (clear + unclear).max(1) as f64 {
            recorder
                .report(format!("RECOVER: {clear} calls were answered at the end, and {unclear} were not"));
        }
        let served = recorder.served_part_since(end - RECOVERED);
        if served.is_none_or(|part| part < MIN_SERVED_PART) {
            recorder.report(format!("RECOVER: {served:?} of the last requests were served"));
        }
        CallCounts { clear: clear_before + clear, unclear: unclear_before + unclear }
    }

    fn advance_until(&mut self, end: Instant) {
        while Instant::now() < end {
            self.advance();
            thread::park_timeout(TICK);
        }
    }
}
