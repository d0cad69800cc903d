//! A model server: cores, a queue, a slowdown under backlog, a cold start, connections, a noisy neighbour and load reports
//! that lag.

mod cold_start;
mod utilisation;

#[cfg(test)]
mod server_tests;

use std::collections::VecDeque;

use crate::time::{Nanos, SECOND};
use crate::world::ServerGroup;
use cold_start::ColdStart;
use utilisation::UtilisationMeter;

pub use cold_start::{
    COLD_START_CAPACITY, OVERLOAD_CRASH_MULTIPLE, OVERLOAD_WINDOW, SenderKnowledge, WARM_UP_PERIOD,
};

/// Waiting requests for each core at which a server counts as backlogged.
const BACKLOG_PER_CORE: usize = 5;
/// Time with a backlog after which a server degrades.
const DEGRADES_AFTER: Nanos = 2 * SECOND;
/// How many times slower a degraded server works.
const DEGRADED_SLOWDOWN: f64 = 2.8;
/// Idle time after which a degraded server recovers.
const RECOVERS_AFTER_IDLE: Nanos = 3 * SECOND;
/// Longest time that a server stays degraded.
const DEGRADED_PERIOD: Nanos = 25 * SECOND;

/// The stage of a server's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// It accepts requests.
    Serving,
    /// It finishes what is in flight and accepts nothing new.
    Draining,
    /// There is no process.
    Gone,
}

/// A unit of work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Job {
    /// Id, chosen by the caller.
    pub id: u64,
    /// Nanoseconds on a core of speed 1.
    pub work: f64,
}

/// A job that a core has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartedJob {
    /// The job's id.
    pub id: u64,
    /// When the core will be done.
    pub finishes_at: Nanos,
}

/// The result of [`Server::finish`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FinishedJob {
    /// Whether the job was still running; `false` if it was cancelled or its process ended.
    pub was_running: bool,
    /// The job that the core has begun next.
    pub next: Option<StartedJob>,
}

/// What a server does with a new job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// A core works on it until this time.
    Started(Nanos),
    /// It waits for a core.
    Queued,
    /// Rejected before any work.
    Rejected,
    /// The cold server's process crashed under the load of the last moments.
    Crashed {
        /// Whether two thirds of that load came from senders that knew of the cold start.
        by_informed_senders: bool,
    },
}

/// One server.
pub struct Server {
    /// Its configuration.
    pub group: ServerGroup,
    /// The stage of its process.
    pub state: ServerState,
    /// When its process started; `None` if that was before the world's start.
    pub started: Option<Nanos>,
    /// Fraction of the machine that a noisy neighbour uses.
    pub neighbour_load: f64,
    /// Whether it rejects all requests and reports no load.
    pub false_readiness: bool,
    /// Whether it accepts requests and probes and never responds.
    pub hangs: bool,
    /// Whether it responds to no probe.
    pub ignores_probes: bool,
    /// Fraction of responses that are errors, beyond the group's own.
    pub extra_error_ratio: f64,
    /// Open connections.
    pub connections: u32,
    /// How often it has degraded under backlog.
    pub degradations: u32,
    running: Vec<u64>,
    queue: VecDeque<Job>,
    idle_since: Nanos,
    backlogged_since: Option<Nanos>,
    degraded_until: Nanos,
    cold_start: ColdStart,
    utilisation: UtilisationMeter,
}

impl Server {
    /// A warm and idle server.
    pub fn new(group: ServerGroup) -> Self {
        Self {
            group,
            state: ServerState::Serving,
            started: None,
            neighbour_load: 0.0,
            false_readiness: false,
            hangs: false,
            ignores_probes: false,
            extra_error_ratio: 0.0,
            connections: 0,
            degradations: 0,
            running: Vec::new(),
            queue: VecDeque::new(),
            idle_since: 0,
            backlogged_since: None,
            degraded_until: 0,
            cold_start: ColdStart::default(),
            utilisation: UtilisationMeter::default(),
        }
    }

    /// Starts a new process, cold and idle. Faults stay: they belong to the machine, not to the process.
    pub fn restart(&mut self, now: Nanos) {
        *self = Self {
            started: Some(now),
            degradations: self.degradations,
            neighbour_load: self.neighbour_load,
            false_readiness: self.false_readiness,
            hangs: self.hangs,
            ignores_probes: self.ignores_probes,
            extra_error_ratio: self.extra_error_ratio,
            ..Self::new(self.group)
        };
    }

    /// Ends the process with all that it had in flight.
    pub fn stop(&mut self, now: Nanos) {
        self.utilisation.advance(self.running.len(), self.group.cores, now);
        self.state = ServerState::Gone;
        self.running.clear();
        self.queue.clear();
        self.connections = 0;
    }

    /// Whether the process that a message was sent to at `sent_at` has ended since.
    pub fn has_restarted_since(&self, sent_at: Nanos) -> bool {
        self.state == ServerState::Gone || self.started.is_some_and(|started| started > sent_at)
    }

    /// Its true utilisation, 0 to 1, smoothed over the last moments.
    pub fn utilisation(&self, now: Nanos) -> f64 {
        let busy = self.utilisation.smoothed(self.running.len(), self.group.cores, now);
        (busy + self.neighbour_load).min(1.0)
    }

    /// Expected nanoseconds until a new job of this size would be done, by what the server itself can know.
    pub fn expected_latency(&self, work: f64, now: Nanos) -> f64 {
        let queued: f64 = self.queue.iter().map(|job| job.work).sum();
        // A running job is half done on the mean.
        let running = self.running.len() as f64 * work / 2.0;
        let cores = self.group.cores;
        let is_free = self.running.len() < cores as usize;
        let waits = if is_free { 0.0 } else { (queued + running) / f64::from(cores) };
        (waits + work) / self.core_speed(now)
    }

    /// Whether one more waiting request would make it degrade, should that last.
    pub fn is_near_backlog(&self) -> bool {
        let per_core = match self.group.degrades_under_backlog {
            true => BACKLOG_PER_CORE,
            false => self.group.queue_per_core as usize,
        };
        self.queue.len() + 1 >= per_core * self.group.cores as usize
    }

    /// Work that one core does in a nanosecond.
    fn core_speed(&self, now: Nanos) -> f64 {
        let slowdown = if self.degraded_until > now { DEGRADED_SLOWDOWN } else { 1.0 };
        self.group.speed * (1.0 - self.neighbour_load) * self.warm_fraction(now) / slowdown
    }

    fn warm_fraction(&self, now: Nanos) -> f64 {
        self.started.map_or(1.0, |started| cold_start::warm_fraction(now.saturating_sub(started)))
    }

    /// Offers a request's work to the server.
    pub fn admit(&mut self, job: Job, sender: SenderKnowledge, now: Nanos) -> Admission {
        if self.state == ServerState::Gone {
            return Admission::Rejected;
        }
        if let Some(by_informed_senders) = self.cold_start_overload(job.work, sender, now) {
            self.stop(now);
            return Admission::Crashed { by_informed_senders };
        }
        let (waiting, cores) = (self.queue.len(), self.group.cores as usize);
        let is_full = waiting >= self.group.queue_per_core as usize * cores;
        if self.state != ServerState::Serving || self.false_readiness || is_full {
            return Admission::Rejected;
        }
        self.update_degradation(waiting, now);
        self.enqueue(job, now)
    }

    /// Whether this work crashes the cold server; if so, whether informed senders caused it.
    fn cold_start_overload(&mut self, work: f64, sender: SenderKnowledge, now: Nanos) -> Option<bool> {
        let started = self.started?;
        if now.saturating_sub(started) >= WARM_UP_PERIOD {
            self.cold_start.clear();
            return None;
        }
        let capacity = self.warm_fraction(now) * self.group.speed * f64::from(self.group.cores);
        self.cold_start.record(work, sender, now);
        self.cold_start.overload(capacity)
    }

    fn update_degradation(&mut self, waiting: usize, now: Nanos) {
        if self.running.is_empty() && now.saturating_sub(self.idle_since) >= RECOVERS_AFTER_IDLE {
            self.degraded_until = 0;
        }
        if !self.group.degrades_under_backlog || waiting < BACKLOG_PER_CORE * self.group.cores as usize {
            self.backlogged_since = None;
            return;
        }
        let since = *self.backlogged_since.get_or_insert(now);
        if now - since >= DEGRADES_AFTER && self.degraded_until <= now {
            self.degraded_until = now + DEGRADED_PERIOD;
            self.degradations += 1;
        }
    }

    fn enqueue(&mut self, job: Job, now: Nanos) -> Admission {
        self.utilisation.advance(self.running.len(), self.group.cores, now);
        if self.running.len() < self.group.cores as usize {
            return Admission::Started(self.start(job, now).finishes_at);
        }
        self.queue.push_back(job);
        Admission::Queued
    }

    fn start(&mut self, job: Job, now: Nanos) -> StartedJob {
        self.running.push(job.id);
        let finishes_at = now + (job.work / self.core_speed(now)) as Nanos;
        StartedJob { id: job.id, finishes_at }
    }

    /// Ends a running job; its core begins the next one.
    pub fn finish(&mut self, id: u64, now: Nanos) -> FinishedJob {
        let Some(index) = self.running.iter().position(|running| *running == id) else {
            return FinishedJob { was_running: false, next: None };
        };
        self.utilisation.advance(self.running.len(), self.group.cores, now);
        self.running.swap_remove(index);
        FinishedJob { was_running: true, next: self.start_next(now) }
    }

    fn start_next(&mut self, now: Nanos) -> Option<StartedJob> {
        let Some(job) = self.queue.pop_front() else {
            self.idle_since = now;
            return None;
        };
        Some(self.start(job, now))
    }

    /// Cancels a job whose response nobody awaits. Returns the job that takes the place of a running one.
    pub fn cancel(&mut self, id: u64, now: Nanos) -> Option<StartedJob> {
        if !self.group.cancels_abandoned_work {
            return None;
        }
        self.queue.retain(|job| job.id != id);
        self.finish(id, now).next
    }

    /// The utilisation that it reports now: late, and off by up to 5 % as `noise` (0 to 1) says.
    pub fn reported_utilisation(&mut self, noise: f64, now: Nanos) -> f64 {
        let cores = self.group.cores;
        let process_started = self.started.unwrap_or(0);
        self.utilisation.refresh(self.running.len(), cores, self.neighbour_load, process_started, now);
        if self.false_readiness { 0.0 } else { self.utilisation.published() * (0.95 + 0.1 * noise) }
    }

    /// Offers the work of a probe's response, which waits for a core as all work does.
    pub fn admit_probe(&mut self, id: u64, now: Nanos) -> Admission {
        self.enqueue(Job { id, work: self.group.probe_ms * 1e6 }, now)
    }

    /// Opens a connection. `false` if the connection table is full.
    pub fn connect(&mut self) -> bool {
        let has_room = self.group.connections == 0 || self.connections < self.group.connections;
        self.connections += u32::from(has_room);
        has_room
    }

    /// Closes this many of its connections.
    pub fn disconnect(&mut self, count: u32) {
        self.connections = self.connections.saturating_sub(count);
    }
}
