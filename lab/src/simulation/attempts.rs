//! Attempts that nodes send to servers, and their responses.

use ivyhatch_balancer::{AttemptEnd, Event, LoadReport, Outcome, RequestId};

use super::event::{AttemptKey, ExchangeResult, RequestKey, SimulationEvent};
use super::model::{NodeResponse, Simulation};
use super::network::ConnectionReuse;
use super::state::{JobOwner, OpenAttempt, OpenRequest};
use crate::invariants::Execution;
use crate::server::{Admission, Job, SenderKnowledge, ServerState, StartedJob};
use crate::time::{MS, Nanos};

/// A connection attempt across a partition fails after this time.
const CONNECT_TIMEOUT: Nanos = 250 * MS;

impl Simulation<'_> {
    /// A node sends an attempt.
    pub(super) fn send_attempt(&mut self, key: RequestKey, server: u32, timeout: Option<Nanos>) {
        let node = key.node;
        self.counters.attempts += 1;
        self.counters.cross_zone_attempts += u64::from(self.node_zone(node) != self.server_zone(server));
        self.invariants.attempt_sent(node, key.id, server, self.now);
        let Some(open) = self.open_requests.get(&key) else { return };
        let attempt = AttemptKey { request: key, number: open.attempts.len() as u32 };
        let times_out_at = timeout.map_or(open.not_after, |timeout| open.not_after.min(self.now + timeout));
        self.schedule_attempt_end(times_out_at, attempt, ExchangeResult::TimedOut);
        let is_connected = self.connect_for_attempt(attempt, server);
        let sent = OpenAttempt { server, sent_at: self.now, job: None, is_connected };
        if let Some(open) = self.open_requests.get_mut(&key) {
            open.attempts.push(Some(sent));
        }
    }

    fn schedule_attempt_end(&mut self, at: Nanos, attempt: AttemptKey, result: ExchangeResult) {
        self.schedule(at, SimulationEvent::AttemptEnds { attempt, result });
    }

    /// Sends an attempt over a connection to its server. `false` if no connection can be opened: the attempt then ends with
    /// [`ExchangeResult::ConnectFailed`].
    fn connect_for_attempt(&mut self, attempt: AttemptKey, server: u32) -> bool {
        let node = attempt.request.node;
        let is_gone = self.servers[server as usize].state == ServerState::Gone;
        let Some(latency) = self.message_latency(node, server) else {
            self.schedule_attempt_end(self.now + CONNECT_TIMEOUT, attempt, ExchangeResult::ConnectFailed);
            return false;
        };
        // A machine without a server process refuses connections at once, as does a server with a full connection table.
        let handshake = if is_gone { None } else { self.take_connection(node, server, latency) };
        let Some(handshake) = handshake else {
            self.schedule_attempt_end(self.now + 2 * latency, attempt, ExchangeResult::ConnectFailed);
            return false;
        };
        if handshake > 0 && self.servers[server as usize].group.handshake_ms > 0.0 {
            self.submit_probe_job(server);
        }
        self.schedule(self.now + handshake + latency, SimulationEvent::AttemptArrives(attempt));
        true
    }

    /// Offers an attempt's work to its server. `false` if the server rejects the work or crashes under the load.
    fn submit_attempt(&mut self, server: u32, attempt: AttemptKey, work: f64) -> bool {
        let id = self.next_id();
        let model = &mut self.servers[server as usize];
        let is_informed = self.invariants.knows_start(attempt.request.node, server, model.started);
        let sender = if is_informed { SenderKnowledge::Informed } else { SenderKnowledge::Uninformed };
        match model.admit(Job { id, work }, sender, self.now) {
            Admission::Started(finishes_at) => {
                self.schedule(finishes_at, SimulationEvent::JobFinishes { server, job: id });
            }
            Admission::Queued => {}
            Admission::Rejected => return false,
            Admission::Crashed { by_informed_senders } => {
                self.cold_server_crashed(server, by_informed_senders);
                return false;
            }
        }
        if let Some(open) = self.open_attempt(attempt) {
            open.job = Some(id);
        }
        self.jobs.insert(id, JobOwner::Attempt(attempt));
        true
    }

    fn open_attempt(&mut self, key: AttemptKey) -> Option<&mut OpenAttempt> {
        self.open_requests.get_mut(&key.request)?.attempts.get_mut(key.number as usize)?.as_mut()
    }

    /// An attempt reaches its server.
    pub(super) fn attempt_arrives(&mut self, attempt: AttemptKey) {
        let Some(open) = self.open_requests.get(&attempt.request) else { return };
        let Some(Some(sent)) = open.attempts.get(attempt.number as usize) else { return };
        let Some(client) = self.clients.get(&open.client) else { return };
        let (server, sent_at, work) = (sent.server, sent.sent_at, client.request.work);
        let model = &self.servers[server as usize];
        if model.hangs {
            return;
        }
        let was_restarted = model.has_restarted_since(sent_at);
        let is_rejected = !was_restarted && !self.submit_attempt(server, attempt, work);
        let has_crashed = is_rejected && self.servers[server as usize].state == ServerState::Gone;
        let latency = self.message_latency(attempt.request.node, server);
        let Some(latency) = latency.filter(|_| was_restarted || is_rejected) else { return };
        let result =
            if was_restarted || has_crashed { ExchangeResult::Reset } else { ExchangeResult::Rejected };
        self.schedule_attempt_end(self.now + latency, attempt, result);
    }

    /// A core finishes a job: the response is sent, and the core starts the next job.
    pub(super) fn job_finishes(&mut self, server: u32, job: u64) {
        let owner = self.jobs.remove(&job);
        let finished = self.servers[server as usize].finish(job, self.now);
        self.schedule_started_job(server, finished.next);
        let Some(JobOwner::Attempt(attempt)) = owner.filter(|_| finished.was_running) else { return };
        let Some(open) = self.open_requests.get(&attempt.request) else { return };
        let Some(client) = self.clients.get(&open.client) else { return };
        let downstream_wait = client.request.downstream_wait;
        let model = &self.servers[server as usize];
        let error_ratio = model.extra_error_ratio + model.group.error_ratio;
        let is_error = error_ratio > 0.0 && self.random.server_errors.unit() < error_ratio;
        let Some(latency) = self.message_latency(attempt.request.node, server) else { return };
        let result = if is_error { ExchangeResult::Error } else { ExchangeResult::Served };
        self.schedule_attempt_end(self.now + downstream_wait + latency, attempt, result);
    }

    pub(super) fn schedule_started_job(&mut self, server: u32, job: Option<StartedJob>) {
        if let Some(StartedJob { id, finishes_at }) = job {
            self.schedule(finishes_at, SimulationEvent::JobFinishes { server, job: id });
        }
    }

    pub(super) fn job_cancelled(&mut self, server: u32, job: u64) {
        let next = self.servers[server as usize].cancel(job, self.now);
        self.schedule_started_job(server, next);
    }

    /// Notifies a server that a job's response is no longer awaited, unless the network is partitioned.
    pub(super) fn cancel_job(&mut self, node: usize, server: u32, job: u64) {
        if let Some(latency) = self.message_latency(node, server) {
            self.schedule(self.now + latency, SimulationEvent::JobCancelled { server, job });
        }
    }

    /// An attempt ends at its node.
    pub(super) fn attempt_ends(&mut self, attempt: AttemptKey, result: ExchangeResult) {
        let AttemptKey { request: key, number } = attempt;
        let Some(open) = self.open_attempt(attempt) else { return };
        let OpenAttempt { server, sent_at, job, is_connected } = *open;
        let was_restarted = self.servers[server as usize].has_restarted_since(sent_at);
        // A response in flight is lost if a partition starts or the server's process ends.
        if result.is_response() && (was_restarted || self.is_partitioned(key.node, server)) {
            return;
        }
        if let Some(open) = self.open_requests.get_mut(&key) {
            open.attempts[number as usize] = None;
        }
        if is_connected {
            self.leave_connection(key.node, server, result, was_restarted);
        }
        if let Some(job) = job.filter(|_| !result.is_response() && !was_restarted) {
            self.cancel_job(key.node, server, job);
        }
        let outcome = result.outcome();
        let execution = if outcome.may_have_run() { Execution::Possible } else { Execution::RuledOut };
        self.invariants.attempt_ended(key.node, key.id, number, execution, self.now);
        if outcome == Outcome::Served {
            self.respond(key, NodeResponse::Served);
        }
        let report = self.piggybacked_report(server, result);
        let request_ended = self.open_requests.get(&key).is_none_or(|open: &OpenRequest| open.is_answered);
        let end = AttemptEnd {
            request: RequestId(key.id),
            attempt: number,
            outcome,
            elapsed: self.now - sent_at,
            request_ended,
            report,
        };
        self.notify(key.node, Event::AttemptEnded(end));
    }

    /// Handles the connection of an ended attempt: it becomes idle, is closed, or has ended with the server's process.
    fn leave_connection(&mut self, node: usize, server: u32, result: ExchangeResult, was_restarted: bool) {
        if was_restarted {
            let connections = &mut self.nodes[node].connections;
            *connections = connections.saturating_sub(1);
            return;
        }
        let reuse = if result.is_response() { ConnectionReuse::Idle } else { ConnectionReuse::Close };
        self.release_connection(node, server, reuse);
    }

    /// The load report that a response carries; empty if responses carry none in this world.
    fn piggybacked_report(&mut self, server: u32, result: ExchangeResult) -> LoadReport {
        let mut report = LoadReport::default();
        if self.world.reports_on_answers && result.is_response() {
            let noise = self.random.load_noise.unit();
            report.utilisation = Some(self.servers[server as usize].reported_utilisation(noise, self.now));
        }
        report
    }
}
