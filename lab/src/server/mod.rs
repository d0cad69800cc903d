//! A model server: cores, a queue, a slowdown under backlog, a cold start, connections, a noisy neighbour and delayed load
//! reports.

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

/// Number of waiting requests per core from which on a server counts as backlogged.
const BACKLOG_PER_CORE: usize = 5;
/// Duration of a backlog after which a server degrades.
const DEGRADES_AFTER: Nanos = 2 * SECOND;
/// Factor by which a degraded server is slower.
const DEGRADED_SLOWDOWN: f64 = 2.8;
/// Idle time after which a degraded server recovers.
const RECOVERS_AFTER_IDLE: Nanos = 3 * SECOND;
/// Time for which a server stays degraded, unless it recovers earlier by being idle.
const DEGRADED_PERIOD: Nanos = 25 * SECOND;

/// The state of a server's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// The server accepts requests.
    Serving,
    /// The server finishes the requests in flight and rejects new ones.
    Draining,
    /// The server has no running process.
    Gone,
}

/// The work of a request or a probe.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Job {
    /// Id, chosen by the caller; unique among the jobs of the server.
    pub id: u64,
    /// Duration of the work, in nanoseconds on a core of speed 1.
    pub work: f64,
}

/// A job that a core has started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartedJob {
    /// Id of the job.
    pub id: u64,
    /// When the core finishes the job.
    pub finishes_at: Nanos,
}

/// The result of [`Server::finish`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FinishedJob {
    /// Whether the job was still running; `false` if it was cancelled or its process ended.
    pub was_running: bool,
    /// The next job, which the core has started; `None` if no job was waiting.
    pub next: Option<StartedJob>,
}

/// The result of offering a job to a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// A core has started the job and finishes it at this time.
    Started(Nanos),
    /// The job waits for a core.
    Queued,
    /// The job was rejected before any work.
    Rejected,
    /// The cold server's process crashed under the load within [`OVERLOAD_WINDOW`].
    Crashed {
        /// Whether at least two thirds of that load came from senders that knew of the cold start.
        by_informed_senders: bool,
    },
}

/// A model of one server. The caller passes in the time and all random numbers.
pub struct Server {
    /// The group whose configuration the server has.
    pub group: ServerGroup,
    /// The state of the server's process.
    pub state: ServerState,
    /// When the server's process started; `None` if that was before the world's start.
    pub started: Option<Nanos>,
    /// Fraction of the machine that a noisy neighbour uses.
    pub neighbour_load: f64,
    /// Whether the server rejects all requests and reports no load.
    pub false_readiness: bool,
    /// Whether the server accepts requests and probes and never responds; the caller has to apply this.
    pub hangs: bool,
    /// Whether the server responds to no probe; the caller has to apply this.
    pub ignores_probes: bool,
    /// Fraction of responses that are errors due to a fault, in addition to [`ServerGroup::error_ratio`].
    pub extra_error_ratio: f64,
    /// Number of open connections.
    pub connections: u32,
    /// Number of times that the server has degraded under backlog.
    pub degradations: u32,
    /// Ids of the jobs on the cores.
    running: Vec<u64>,
    queue: VecDeque<Job>,
    idle_since: Nanos,
    backlogged_since: Option<Nanos>,
    degraded_until: Nanos,
    cold_start: ColdStart,
    utilisation: UtilisationMeter,
}

impl Server {
    /// A warm and idle server without faults.
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

    /// Starts a new process, cold and idle. Faults remain, since they affect the machine rather than the process.
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

    /// Ends the process; its jobs and connections are lost.
    pub fn stop(&mut self, now: Nanos) {
        self.utilisation.advance(self.running.len(), self.group.cores, now);
        self.state = ServerState::Gone;
        self.running.clear();
        self.queue.clear();
        self.connections = 0;
    }

    /// Whether the process to which a message was sent at `sent_at` has ended since then.
    pub fn has_restarted_since(&self, sent_at: Nanos) -> bool {
        self.state == ServerState::Gone || self.started.is_some_and(|started| started > sent_at)
    }

    /// The server's true utilisation, 0 to 1, exponentially smoothed.
    pub fn utilisation(&self, now: Nanos) -> f64 {
        let busy = self.utilisation.smoothed(self.running.len(), self.group.cores, now);
        (busy + self.neighbour_load).min(1.0)
    }

    /// Expected nanoseconds until the server would finish a new job with this work, from its queue and running jobs.
    pub fn expected_latency(&self, work: f64, now: Nanos) -> f64 {
        let queued: f64 = self.queue.iter().map(|job| job.work).sum();
        // On average, half of a running job's work is done.
        let running = self.running.len() as f64 * work / 2.0;
        let cores = self.group.cores;
        let is_free = self.running.len() < cores as usize;
        let waits = if is_free { 0.0 } else { (queued + running) / f64::from(cores) };
        (waits + work) / self.core_speed(now)
    }

    /// Whether one more waiting request would reach the backlog limit, or fill the queue of a server that does not degrade.
    pub fn is_near_backlog(&self) -> bool {
        let per_core = match self.group.degrades_under_backlog {
            true => BACKLOG_PER_CORE,
            false => self.group.queue_per_core as usize,
        };
        self.queue.len() + 1 >= per_core * self.group.cores as usize
    }

    /// Work that one core does per nanosecond.
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

    /// Records the work in the load of a cold server. `Some` if the load crashes the server; the value says whether at least
    /// two thirds of the load came from informed senders.
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

    /// Ends a running job; its core starts the next one.
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

    /// Cancels a job whose response is no longer awaited, if the server's group does so. Returns the job that the freed core
    /// starts.
    pub fn cancel(&mut self, id: u64, now: Nanos) -> Option<StartedJob> {
        if !self.group.cancels_abandoned_work {
            return None;
        }
        self.queue.retain(|job| job.id != id);
        self.finish(id, now).next
    }

    /// The utilisation that the server reports now: delayed, and with an error of -5 to 5 % as `noise` goes from 0 to 1.
    pub fn reported_utilisation(&mut self, noise: f64, now: Nanos) -> f64 {
        let cores = self.group.cores;
        let process_started = self.started.unwrap_or(0);
        self.utilisation.refresh(self.running.len(), cores, self.neighbour_load, process_started, now);
        if self.false_readiness { 0.0 } else { self.utilisation.published() * (0.95 + 0.1 * noise) }
    }

    /// Offers the work of responding to a probe, which waits for a core like any other job but is never rejected.
    pub fn admit_probe(&mut self, id: u64, now: Nanos) -> Admission {
        self.enqueue(Job { id, work: self.group.probe_ms * 1e6 }, now)
    }

    /// Opens a connection. `false` if the connection table is full.
    pub fn connect(&mut self) -> bool {
        let has_room = self.group.connections == 0 || self.connections < self.group.connections;
        self.connections += u32::from(has_room);
        has_room
    }

    /// Closes this many of the server's connections.
    pub fn disconnect(&mut self, count: u32) {
        self.connections = self.connections.saturating_sub(count);
    }
}
