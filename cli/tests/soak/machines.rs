//! The processes of a run, and the signals that are sent to them in series, also before the effects of earlier signals are over.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, seq::IndexedRandom};

use super::recorder::Recorder;
use crate::system_common::{CONTROL_HOSTS, Process, TestCluster};

/// Longest time from SIGTERM to the exit of a process. The settings allow it 8 seconds (`grace_s`).
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(9);

/// State of a process, with the next action on it.
enum MachineState {
    Running,
    /// SIGTERM was sent; the process has to exit within [`SHUTDOWN_TIMEOUT`].
    Terminating {
        since: Instant,
    },
    /// SIGSTOP was sent; SIGCONT follows at `until`.
    Frozen {
        until: Instant,
    },
    /// The process was killed or has exited; it is started again at `until`.
    Down {
        until: Instant,
    },
}

/// A machine that runs one process.
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
    /// Number of signals sent, without SIGCONT.
    pub signals: usize,
}

impl Machines {
    /// Starts the three control nodes as a new deployment, and routers on these hosts.
    pub fn start(cluster: &Arc<TestCluster>, recorder: &Arc<Recorder>, routers: &[u8]) -> Self {
        let machine = |role, host, process| Machine { host, role, process, state: MachineState::Running };
        let control = CONTROL_HOSTS
            .map(|host| machine("control", host, cluster.start_control_node(host, &CONTROL_HOSTS, true)));
        let routers =
            routers.iter().map(|host| machine("router", *host, cluster.start_router(*host, &CONTROL_HOSTS)));
        let machines = control.into_iter().chain(routers).collect();
        Self { cluster: cluster.clone(), recorder: recorder.clone(), machines, signals: 0 }
    }

    /// Sends SIGTERM to at most `count` running routers, even if others are shutting down.
    pub fn terminate_routers(&mut self, rng: &mut StdRng, count: usize) {
        for index in self.sample_running("router", rng, count) {
            self.signal(index, "TERM");
            self.machines[index].state = MachineState::Terminating { since: Instant::now() };
        }
    }

    /// Sends SIGKILL to a fraction of the routers at once. Frozen routers and those that are shutting down may be among them.
    pub fn kill_routers(&mut self, rng: &mut StdRng, fraction: f64) {
        let count = (fraction * self.machine_count("router") as f64) as usize;
        for index in self.sample_up("router", rng, count) {
            self.kill(index, rng);
        }
    }

    /// Sends SIGHUP to at most `count` running routers, which makes them reload their settings.
    pub fn reload_routers(&mut self, rng: &mut StdRng, count: usize) {
        for index in self.sample_running("router", rng, count) {
            self.signal(index, "HUP");
        }
    }

    /// Stops at most `count` running routers for a random time.
    pub fn freeze_routers(&mut self, rng: &mut StdRng, count: usize) {
        for index in self.sample_running("router", rng, count) {
            self.freeze(index, rng);
        }
    }

    /// Kills, freezes or terminates one control node if all of them are running.
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

    /// Handles processes that have exited or should have, and continues or restarts those whose pause is over.
    pub fn perform_due_actions(&mut self, rng: &mut StdRng) {
        for index in 0..self.machines.len() {
            self.perform_due_action(index, rng);
        }
    }

    /// Continues and restarts processes when they are due, and waits until all processes run or the timeout is over.
    pub fn restore(&mut self, rng: &mut StdRng, timeout: Duration) {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline
            && self.machines.iter().any(|machine| !matches!(machine.state, MachineState::Running))
        {
            self.perform_due_actions(rng);
            std::thread::park_timeout(Duration::from_millis(20));
        }
    }

    /// Reports log lines that no process may write: panics, and retries that exceed the retry budget (`unpaid`).
    pub fn check_logs(&self) {
        for machine in &self.machines {
            let log = machine.process.log_output();
            let is_violation = |line: &&str| {
                line.contains("panicked")
                    || (line.contains("event=retry_usage") && !line.contains(" unpaid=0 "))
            };
            for line in log.lines().filter(is_violation) {
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

    /// Draws at most `count` machines of a role whose processes have not been killed and have not exited.
    fn sample_up(&self, role: &str, rng: &mut StdRng, count: usize) -> Vec<usize> {
        let is_up = |machine: &Machine| !matches!(machine.state, MachineState::Down { .. });
        self.sample_where(rng, count, |machine| machine.role == role && is_up(machine))
    }

    /// Draws at most `count` machines of a role whose processes run and are neither frozen nor shutting down.
    fn sample_running(&self, role: &str, rng: &mut StdRng, count: usize) -> Vec<usize> {
        let is_running = |machine: &Machine| matches!(machine.state, MachineState::Running);
        self.sample_where(rng, count, |machine| machine.role == role && is_running(machine))
    }

    /// Draws at most `count` machines that meet a condition; returns their indices.
    fn sample_where(
        &self,
        rng: &mut StdRng,
        count: usize,
        is_eligible: impl Fn(&Machine) -> bool,
    ) -> Vec<usize> {
        let eligible: Vec<usize> =
            (0..self.machines.len()).filter(|index| is_eligible(&self.machines[*index])).collect();
        eligible.sample(rng, count).copied().collect()
    }
}

fn random_restart_delay(rng: &mut StdRng) -> Duration {
    Duration::from_millis(rng.random_range(20..1200))
}
