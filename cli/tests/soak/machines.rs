//! The processes of a run, and the signals that they get: in series, and before the last ones have been dealt with.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, seq::IndexedRandom};

use super::recorder::Recorder;
use crate::system_common::{CONTROL_HOSTS, Process, TestCluster};

/// A process that gets SIGTERM ends within this; its settings give it 8 seconds.
const SHUTDOWN_LIMIT: Duration = Duration::from_secs(9);

/// What is to happen to a process next.
enum State {
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
    state: State,
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
        let machine = |role, host, process| Machine { host, role, process, state: State::Running };
        let control = CONTROL_HOSTS
            .map(|host| machine("control", host, cluster.start_control_node(host, &CONTROL_HOSTS, true)));
        let routers =
            routers.iter().map(|host| machine("router", *host, cluster.start_router(*host, &CONTROL_HOSTS)));
        let machines = control.into_iter().chain(routers).collect();
        Self { cluster: cluster.clone(), recorder: recorder.clone(), machines, signals: 0 }
    }

    /// SIGTERM to up to so many routers, also where others are ending.
    pub fn terminate_routers(&mut self, random: &mut StdRng, count: usize) {
        for index in self.draw_running("router", random, count) {
            self.signal(index, "TERM");
            self.machines[index].state = State::Terminating { since: Instant::now() };
        }
    }

    /// SIGKILL to a part of the routers at once.
    pub fn kill_routers(&mut self, random: &mut StdRng, part: f64) {
        let count = (part * self.count_of("router") as f64) as usize;
        for index in self.draw("router", random, count) {
            self.kill(index, random);
        }
    }

    /// SIGHUP to some routers, in whatever state they are.
    pub fn hang_up_routers(&mut self, random: &mut StdRng, count: usize) {
        for index in self.draw_running("router", random, count) {
            self.signal(index, "HUP");
        }
    }

    /// Some routers stand still for a while.
    pub fn freeze_routers(&mut self, random: &mut StdRng, count: usize) {
        for index in self.draw_running("router", random, count) {
            self.freeze(index, random);
        }
    }

    /// One control node is killed, frozen or terminated, if all are running.
    pub fn disrupt_control(&mut self, random: &mut StdRng) {
        let running = self.draw_running("control", random, CONTROL_HOSTS.len());
        let Some(index) = running.first().copied().filter(|_| running.len() == CONTROL_HOSTS.len()) else {
            return;
        };
        match random.random_range(0..3) {
            0 => self.kill(index, random),
            1 => self.freeze(index, random),
            _ => {
                self.signal(index, "TERM");
                self.machines[index].state = State::Terminating { since: Instant::now() };
            }
        }
    }

    /// Deals with what is due: processes that have ended, and those that are to go on or start again.
    pub fn advance(&mut self, random: &mut StdRng) {
        for index in 0..self.machines.len() {
            self.advance_machine(index, random);
        }
    }

    /// Lets all go on that are to, and waits until all run.
    pub fn settle(&mut self, random: &mut StdRng, limit: Duration) {
        let end = Instant::now() + limit;
        while Instant::now() < end
            && self.machines.iter().any(|machine| !matches!(machine.state, State::Running))
        {
            self.advance(random);
            std::thread::park_timeout(Duration::from_millis(20));
        }
    }

    /// What no log of any process may hold.
    pub fn report_logs(&self) {
        for machine in &self.machines {
            let logged = machine.process.log_output();
            let is_wrong = |line: &&str| {
                line.contains("panicked")
                    || (line.contains("event=retry_usage") && !line.contains(" unpaid=0 "))
            };
            for line in logged.lines().filter(is_wrong) {
                self.recorder.report(format!("LOG of {} {}: {line}", machine.role, machine.host));
            }
        }
    }

    fn advance_machine(&mut self, index: usize, random: &mut StdRng) {
        let now = Instant::now();
        let machine = &mut self.machines[index];
        let (is_running, host, role) = (machine.process.is_running(), machine.host, machine.role);
        match machine.state {
            State::Running if !is_running => {
                self.recorder.report(format!(
                    "FAULT: {role} {host} ended by itself: {}",
                    machine.process.log_output()
                ));
                machine.state = State::Down { until: now };
            }
            State::Terminating { .. } if !is_running => {
                machine.state = State::Down { until: now + restart_pause(random) };
            }
            State::Terminating { since } if now > since + SHUTDOWN_LIMIT => {
                self.recorder.report(format!("FAULT: {role} {host} runs on after SIGTERM"));
                self.kill(index, random);
            }
            State::Frozen { until } if now >= until => {
                machine.process.signal("CONT");
                machine.state = State::Running;
                self.recorder.disruption_ended(host);
            }
            State::Down { until } if now >= until => self.restart(index),
            _ => {}
        }
    }

    fn restart(&mut self, index: usize) {
        let machine = &mut self.machines[index];
        machine.process = match machine.role {
            "control" => self.cluster.start_control_node(machine.host, &CONTROL_HOSTS, false),
            _ => self.cluster.start_router(machine.host, &CONTROL_HOSTS),
        };
        machine.state = State::Running;
        self.recorder.disruption_ended(machine.host);
    }

    fn kill(&mut self, index: usize, random: &mut StdRng) {
        let machine = &mut self.machines[index];
        self.recorder.disruption_began(machine.host);
        machine.process.kill();
        machine.state = State::Down { until: Instant::now() + restart_pause(random) };
        self.signals += 1;
    }

    fn freeze(&mut self, index: usize, random: &mut StdRng) {
        self.recorder.disruption_began(self.machines[index].host);
        self.signal(index, "STOP");
        let span = Duration::from_millis(random.random_range(200..2500));
        self.machines[index].state = State::Frozen { until: Instant::now() + span };
    }

    fn signal(&mut self, index: usize, name: &str) {
        self.machines[index].process.signal(name);
        self.signals += 1;
    }

    fn count_of(&self, role: &str) -> usize {
        self.machines.iter().filter(|machine| machine.role == role).count()
    }

    /// Machines of a role that are not down.
    fn draw(&self, role: &str, random: &mut StdRng, count: usize) -> Vec<usize> {
        let is_up = |machine: &Machine| !matches!(machine.state, State::Down { .. });
        self.draw_where(random, count, |machine| machine.role == role && is_up(machine))
    }

    /// Machines of a role that run and have got no signal that is still to be dealt with.
    fn draw_running(&self, role: &str, random: &mut StdRng, count: usize) -> Vec<usize> {
        let is_running = |machine: &Machine| matches!(machine.state, State::Running);
        self.draw_where(random, count, |machine| machine.role == role && is_running(machine))
    }

    fn draw_where(&self, random: &mut StdRng, count: usize, allows: impl Fn(&Machine) -> bool) -> Vec<usize> {
        let all: Vec<usize> =
            (0..self.machines.len()).filter(|index| allows(&self.machines[*index])).collect();
        all.sample(random, count).copied().collect()
    }
}

fn restart_pause(random: &mut StdRng) -> Duration {
    Duration::from_millis(random.random_range(20..1200))
}
