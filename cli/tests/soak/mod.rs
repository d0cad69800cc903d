//! A soak test: processes under load, with overlapping series of signals, restarts, server replacements and configuration changes that are
//! drawn from a seed.

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
use clients::ClientState;
use machines::Machines;
use operator::Operator;
use recorder::{BudgetUse, Recorder, Service, Totals, Violation};
use servers::Server;

/// Host number of all servers, each of which has its own port.
const SERVER_HOST: u8 = 15;
const SERVERS_PER_SERVICE: usize = 18;
/// How long a server works on each request.
const SERVER_WORK_TIME: Duration = Duration::from_millis(15);
/// Zones of the servers, in turn.
const ZONES: [&str; 3] = ["za", "zb", "zc"];
/// Longest time for which the platform's list still shows an instance that has crashed.
const MAX_LIST_LAG_MS: u64 = 4000;
/// Range of the fraction of all servers that are replaced together.
const REPLACED_FRACTIONS: Range<f64> = 0.1..0.8;
/// Pause between two checks for scheduled actions that are due.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How long clients and applications go on after the last disruption.
const RECOVERY_TIME: Duration = Duration::from_secs(8);
/// Last part of [`RECOVERY_TIME`], in which requests must be served and calls be answered again.
const RECOVERY_CHECK_TIME: Duration = Duration::from_secs(3);
/// Smallest fraction of the requests that must be served, and of the calls that must have a definite outcome, in [`RECOVERY_CHECK_TIME`].
const MIN_SERVED_FRACTION: f64 = 0.9;
/// Longest wait for the stopped processes, and then for the configuration, after the last disruption.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Size and length of a run.
#[derive(Clone, Copy, Debug)]
pub struct Scale {
    pub routers: usize,
    pub clients_per_router: usize,
    /// How long disruptions go on.
    pub disruption_time: Duration,
    /// Longest pause between two disruptions, and between two configuration changes.
    pub max_pause: Duration,
}

/// Numbers of application calls by outcome.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallCounts {
    /// Calls that were applied or rejected.
    pub definite: u64,
    /// Calls that were not started, and calls whose outcome is unknown.
    pub indefinite: u64,
}

/// The result of a run.
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
        let BudgetUse { share, repeats: repeats_in_window, requests: requests_in_window } = self.budget;
        write!(
            formatter,
            "seed {}: {} routers, {} signals, {} servers replaced, {} changes; {requests} requests: {served} served, \
             {refused} refused, {failed} failed; {repeats} repeats, {share:.2} of the budget ({repeats_in_window} of {requests_in_window} requests); \
             {} calls answered, {} not; {} violations",
            self.seed,
            self.scale.routers,
            self.signals,
            self.replaced_servers,
            self.acknowledged_changes,
            self.calls.definite,
            self.calls.indefinite,
            self.violations.len()
        )
    }
}

/// The state of a run.
struct Soak {
    rng: StdRng,
    cluster: Arc<TestCluster>,
    machines: Machines,
    servers: Vec<Server>,
    /// When another instance takes over the address of a server, and the server's index.
    scheduled_replacements: Vec<(Instant, usize)>,
    /// When the platform's list is updated to the current instances.
    scheduled_list_updates: Vec<Instant>,
    replaced_servers: usize,
}

/// Runs the soak test with one seed.
pub fn run(seed: u64, scale: Scale) -> Report {
    let recorder = Arc::new(Recorder::default());
    let cluster = Arc::new(TestCluster::with_retry_budget(recorder::RETRY_BUDGET).enable_coordination());
    let (mut soak, operator) = Soak::start(seed, scale, &cluster, &recorder);
    let routers = router_hosts(scale).map(|host| (host, cluster.address(host, FRONT_PORT))).collect();
    let client_state = Arc::new(ClientState {
        routers,
        recorder: recorder.clone(),
        next_id: AtomicU64::new(1),
        mean_pause: *clients::MEAN_PAUSES.choose(&mut soak.rng).expect("MEAN_PAUSES is not empty"),
        stop: AtomicBool::new(false),
    });
    let clients: Vec<_> = (0..scale.routers * scale.clients_per_router)
        .map(|number| clients::start(&client_state, (seed << 20) + number as u64))
        .collect();
    let applications = Applications::start(&cluster, &recorder, seed);
    let operator_thread = spawn_operator(operator, seed, scale);
    soak.disrupt(scale);
    soak.end_disruptions();
    let mut operator = operator_thread.stop();
    wait_until("the configuration can be read", || operator.is_readable());
    operator.verify_configuration(SETTLE_TIMEOUT);
    let calls = soak.check_recovery(&recorder, &applications);
    applications.stop();
    client_state.stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().expect("client threads do not panic"));
    soak.machines.check_logs();
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
        acknowledged_changes: operator.acknowledged_count,
        calls,
        violations: recorder.violations(),
    }
}

/// The thread of the operator.
struct OperatorThread {
    /// Stops the operator when dropped.
    stop: Sender<()>,
    thread: JoinHandle<Operator>,
}

impl OperatorThread {
    /// Stops the operator and waits for its last change.
    fn stop(self) -> Operator {
        drop(self.stop);
        self.thread.join().expect("the operator thread does not panic")
    }
}

/// Starts an operator that changes the configuration until it is stopped.
fn spawn_operator(operator: Operator, seed: u64, scale: Scale) -> OperatorThread {
    let (stop, stopped) = channel();
    let rng = StdRng::seed_from_u64(!seed);
    let thread = thread::spawn(move || operator.run(rng, scale.max_pause, &stopped));
    OperatorThread { stop, thread }
}

fn router_hosts(scale: Scale) -> impl Iterator<Item = u8> {
    (ROUTER_HOST..).take(scale.routers)
}

impl Soak {
    /// Starts servers, control nodes and routers. Returns the run and its operator once all routers are ready.
    fn start(
        seed: u64,
        scale: Scale,
        cluster: &Arc<TestCluster>,
        recorder: &Arc<Recorder>,
    ) -> (Self, Operator) {
        let servers: Vec<Server> = Service::ALL
            .into_iter()
            .flat_map(|service| (0..SERVERS_PER_SERVICE).map(move |number| (service, number)))
            .map(|(service, number)| {
                let name = format!("i-{}-{number}", service.name());
                let zone = ZONES[number % ZONES.len()];
                Server::start(cluster.ip(SERVER_HOST), (&name, service, zone), SERVER_WORK_TIME, recorder)
            })
            .collect();
        cluster.platform.set_instances(servers.iter().map(Server::instance_entry).collect());
        let hosts: Vec<u8> = router_hosts(scale).collect();
        let machines = Machines::start(cluster, recorder, &hosts);
        let operator = Operator::start(cluster, recorder);
        hosts.iter().for_each(|host| cluster.wait_until_ready(*host));
        let soak = Self {
            rng: StdRng::seed_from_u64(seed),
            cluster: cluster.clone(),
            machines,
            servers,
            scheduled_replacements: Vec::new(),
            scheduled_list_updates: Vec::new(),
            replaced_servers: 0,
        };
        (soak, operator)
    }

    /// Starts disruptions at random times, whether or not earlier ones are over, for the time that `scale` gives.
    fn disrupt(&mut self, scale: Scale) {
        let end = Instant::now() + scale.disruption_time;
        let mut next_at = Instant::now() + Duration::from_secs(1);
        while Instant::now() < end {
            if Instant::now() >= next_at {
                self.start_disruption(scale);
                next_at = Instant::now() + scale.max_pause.mul_f64(self.rng.random_range(0.0..1.0));
            }
            self.perform_due_actions();
            thread::park_timeout(POLL_INTERVAL);
        }
    }

    /// Starts one disruption of a random kind.
    fn start_disruption(&mut self, scale: Scale) {
        let router_count = self.rng.random_range(1..=scale.routers.div_ceil(4));
        match self.rng.random_range(0..9) {
            0 | 1 => self.machines.terminate_routers(&mut self.rng, router_count),
            2 => {
                let fraction = self.rng.random_range(0.2..0.7);
                self.machines.kill_routers(&mut self.rng, fraction);
            }
            3 => self.machines.reload_routers(&mut self.rng, router_count),
            4 => self.machines.freeze_routers(&mut self.rng, router_count),
            5 => self.machines.disrupt_control(&mut self.rng),
            _ => self.replace_servers(),
        }
    }

    /// Crashes a random fraction of all servers, and schedules the instances that take over their addresses within a second, and the later
    /// update of the platform's list.
    fn replace_servers(&mut self) {
        let fraction = self.rng.random_range(REPLACED_FRACTIONS);
        let now = Instant::now();
        for index in 0..self.servers.len() {
            if !self.rng.random_bool(fraction) {
                continue;
            }
            self.servers[index].crash();
            let replaced_at = now + Duration::from_millis(self.rng.random_range(0..1000));
            self.scheduled_replacements.push((replaced_at, index));
        }
        let lag = Duration::from_millis(self.rng.random_range(300..MAX_LIST_LAG_MS));
        self.scheduled_list_updates.push(now + lag);
    }

    /// Performs the scheduled actions that are due on processes and servers.
    fn perform_due_actions(&mut self) {
        let now = Instant::now();
        self.machines.perform_due_actions(&mut self.rng);
        self.servers.iter().for_each(Server::discard_requests);
        let (due, later) =
            self.scheduled_replacements.drain(..).partition(|(at, _): &(Instant, usize)| now >= *at);
        self.scheduled_replacements = later;
        for (_, index) in due {
            self.servers[index].replace();
            self.replaced_servers += 1;
        }
        let scheduled_before = self.scheduled_list_updates.len();
        self.scheduled_list_updates.retain(|at| now < *at);
        if self.scheduled_list_updates.len() < scheduled_before {
            self.cluster.platform.set_instances(self.servers.iter().map(Server::instance_entry).collect());
        }
    }

    /// Ends all disruptions and waits until all processes run again or [`SETTLE_TIMEOUT`] is over.
    fn end_disruptions(&mut self) {
        self.scheduled_replacements.iter().for_each(|(_, index)| self.servers[*index].replace());
        self.scheduled_replacements.clear();
        self.cluster.platform.set_instances(self.servers.iter().map(Server::instance_entry).collect());
        self.machines.restore(&mut self.rng, SETTLE_TIMEOUT);
    }

    /// Checks that requests are served and calls of applications answered again. Returns the calls of the complete run.
    fn check_recovery(&mut self, recorder: &Recorder, applications: &Applications) -> CallCounts {
        let end = Instant::now() + RECOVERY_TIME;
        self.perform_due_actions_until(end - RECOVERY_CHECK_TIME);
        let (definite_before, indefinite_before) = applications.take_counts();
        self.perform_due_actions_until(end);
        let (definite, indefinite) = applications.take_counts();
        if (definite as f64) < MIN_SERVED_FRACTION * (definite + indefinite).max(1) as f64 {
            recorder.report(format!(
                "RECOVER: {definite} calls were answered at the end, and {indefinite} were not"
            ));
        }
        let served = recorder.served_fraction_since(end - RECOVERY_CHECK_TIME);
        if served.is_none_or(|fraction| fraction < MIN_SERVED_FRACTION) {
            recorder.report(format!("RECOVER: {served:?} of the last requests were served"));
        }
        CallCounts { definite: definite_before + definite, indefinite: indefinite_before + indefinite }
    }

    fn perform_due_actions_until(&mut self, end: Instant) {
        while Instant::now() < end {
            self.perform_due_actions();
            thread::park_timeout(POLL_INTERVAL);
        }
    }
}
