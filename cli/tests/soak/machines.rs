//! The processes of a run, and the signals that they get: in series, and before the last ones have been dealt with.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, seq::IndexedRandom};

use super::recorder::Recorder;
use crate::system_common::{CONTROL_HOSTS, Process, TestCluster};

/// A process that gets SIGTERM ends within this; its settings give it 8 seconds.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(9);

/// What is to happen to a process next.
enum MachineState {
    Running,
    /// It got SIGTERM.
    Terminating {
        since: Instant,
    },
    /// It is stopped, and goes on then.
    Frozen {
        until: Instant,
    },
    /// It was killed or has ended, and starts again then.
    Down {
        until: Instant,
    },
}

/// A machine with one process.
struct Machine {
    host: u8,
    role: &'static str,
    process: Process,
    state: MachineState,
}

/// The machines of a run.
pub struct Machines {
    cluster: Arc<TestCluster>,
    recorder: Arc<Recorder>,
    machines: Vec<Machine>,
    pub signals: usize,
}

impl Machines {
    /// Starts three control nodes, for the first time, and these routers.
    pub fn start(cluster: &Arc<TestCluster>, recorder: &Arc<Recorder>, routers: &[u8]) -> Self {
        let machine = |role, host, process| Machine { host, role, process, state: MachineState::Running };
        let control = CONTROL_HOSTS
            .map(|host| machine("control", host, cluster.start_control_node(host, &CONTROL_HOSTS, true)));
        let routers =
            routers.iter().map(|host| machine("router", *host, cluster.start_router(*host, &CONTROL_HOSTS)));
        let machines = control.into_iter().chain(routers).collect();
        Self { cluster: cluster.clone(), recorder: recorder.clone(), machines, signals: 0 }
    }

    /// SIGTERM to up to so many routers, also where others are ending.
    pub fn terminate_routers(&mut self, rng: &mut StdRng, count: usize) {
        for index in self.sample_running("router", rng, count) {
            self.signal(index, "TERM");
            self.machines[index].state = MachineState::Terminating { since: Instant::now() };
        }
    }

    /// SIGKILL to a part of the routers at once.
    pub fn kill_routers(&mut self, rng: &mut StdRng, fraction: f64) {
        let count = (fraction * self.machine_count("router") as f64) as usize;
        for index in self.sample_up("router", rng, count) {
            self.kill(index, rng);
        }
    }

    /// SIGHUP to some routers, in whatever state they are.
    pub fn reload_routers(&mut self, rng: &mut StdRng, count: usize) {
        for index in self.sample_running("router", rng, count) {
            self.signal(index, "HUP");
        }
    }

    /// Some routers stand still for a while.
    pub fn freeze_routers(&mut self, rng: &mut StdRng, count: usize) {
        for index in self.sample_running("router", rng, count) {
            self.freeze(index, rng);
        }
    }

    /// One control node is killed, frozen or terminated, if all are running.
    pub fn disrupt_control(&mut self, rng: &mut StdRng) {
        let live = self.sample_running("control", rng, CONTROL_HOSTS.len());
        let Some(index) = live.first().copied().filter(|_| live.len() == CONTROL_HOSTS.len()) else { return };
        match rng.random_range(0..3) {
            0 => self.kill(index, rng),
            1 => self.freeze(index, rng),
            _ => {
                self.signal(index, "TERM");
                self.machines[index].state = MachineState::Terminating { since: Instant::now() };
            }
        }
    }

    /// Deals with what is due: processes that have ended, and those that are to go on or start again.
    pub fn perform_due_actions(&mut self, rng: &mut StdRng) {
        for index in 0..self.machines.len() {
            self.perform_due_action(index, rng);
        }
    }

    /// Lets all go on that are to, and waits until all run.
    pub fn restore(&mut self, rng: &mut StdRng, timeout: Duration) {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline
            && self.machines.iter().any(|machine| !matches!(machine.state, MachineState::Running))
        {
            self.perform_due_actions(rng);
            std::thread::park_timeout(Duration::from_millis(20));
        }
    }

    /// What no log of any process may hold.
    pub fn check_logs(&self) {
        for machine in &self.machines {
            let logged = machine.process.log_output();
            let is_violation = |line: &&str| {
                line.contains("panicked")
                    || (line.contains("event=retry_usage") && !line.contains(" unpaid=0 "))
            };
            for line in logged.lines().filter(is_violation) {
                self.recorder.report(format!("LOG of {} {}: {line}", machine.role, machine.host));
            }
        }
    }

    fn perform_due_action(&mut self, index: usize, rng: &mut StdRng) {
        let now = Instant::now();
        let machine = &mut self.machines[index];
        let (is_running, host, role) = (machine.process.is_running(), machine.host, machine.role);
        match machine.state {
            MachineState::Running if !is_running => {
                self.recorder.report(format!(
                    "FAULT: {role} {host} ended by itself: {}",
                    machine.process.log_output()
                ));
                machine.state = MachineState::Down { until: now };
            }
            MachineState::Terminating { .. } if !is_running => {
                machine.state = MachineState::Down { until: now + random_restart_delay(rng) };
            }
            MachineState::Terminating { since } if now > since + SHUTDOWN_TIMEOUT => {
                self.recorder.report(format!("FAULT: {role} {host} runs on after SIGTERM"));
                self.kill(index, rng);
            }
            MachineState::Frozen { until } if now >= until => {
                machine.process.signal("CONT");
                machine.state = MachineState::Running;
                self.recorder.disruption_ended(host);
            }
            MachineState::Down { until } if now >= until => self.restart(index),
            _ => {}
        }
    }

    fn restart(&mut self, index: usize) {
        let machine = &mut self.machines[index];
        machine.process = match machine.role {
            "control" => self.cluster.start_control_node(machine.host, &CONTROL_HOSTS, false),
            _ => self.cluster.start_router(machine.host, &CONTROL_HOSTS),
        };
        machine.state = MachineState::Running;
        self.recorder.disruption_ended(machine.host);
    }

    fn kill(&mut self, index: usize, rng: &mut StdRng) {
        let machine = &mut self.machines[index];
        self.recorder.disruption_started(machine.host);
        machine.process.kill();
        machine.state = MachineState::Down { until: Instant::now() + random_restart_delay(rng) };
        self.signals += 1;
    }

    fn freeze(&mut self, index: usize, rng: &mut StdRng) {
        self.recorder.disruption_started(self.machines[index].host);
        self.signal(index, "STOP");
        let frozen_time = Duration::from_millis(rng.random_range(200..2500));
        self.machines[index].state = MachineState::Frozen { until: Instant::now() + frozen_time };
    }

    fn signal(&mut self, index: usize, name: &str) {
        self.machines[index].process.signal(name);
        self.signals += 1;
    }

    fn machine_count(&self, role: &str) -> usize {
        self.machines.iter().filter(|machine| machine.role == role).count()
    }

    /// Machines of a role that are not down.
    fn sample_up(&self, role: &str, rng: &mut StdRng, count: usize) -> Vec<usize> {
        let is_up = |machine: &Machine| !matches!(machine.state, MachineState::Down { .. });
        self.sample_where(rng, count, |machine| machine.role == role && is_up(machine))
    }

    /// Machines of a role that run and have got no signal that is still to be dealt with.
    fn sample_running(&self, role: &str, rng: &mut StdRng, count: usize) -> Vec<usize> {
        let is_running = |machine: &Machine| matches!(machine.state, MachineState::Running);
        self.sample_where(rng, count, |machine| machine.role == role && is_running(machine))
    }

    fn sample_where(
        &self,
        rng: &mut StdRng,
        count: usize,
        is_eligible: impl Fn(&Machine) -> bool,
    ) -> Vec<usize> {
        let all: Vec<usize> =
            (0..self.machines.len()).filter(|index| is_eligible(&self.machines[*index])).collect();
        all.sample(rng, count).copied().collect()
    }
}

fn random_restart_delay(rng: &mut StdRng) -> Duration {
    Duration::from_millis(rng.random_range(20..1200))
}
