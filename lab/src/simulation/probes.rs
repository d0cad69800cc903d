//! Probes that nodes send to servers, and their responses.

use ivyhatch_balancer::{BackendId, Event, LoadReport};

use super::event::{ExchangeResult, SimulationEvent};
use super::model::Simulation;
use super::state::{JobOwner, PendingProbe};
use crate::server::{Admission, ServerState};
use crate::time::{MS, Nanos};

/// A probe without a response times out after this time.
const PROBE_TIMEOUT: Nanos = 500 * MS;

impl Simulation<'_> {
    pub(super) fn send_probe(&mut self, node: usize, server: u32) {
        self.counters.probes += 1;
        let probe = self.next_id();
        let pending = PendingProbe { process: self.process(node), server, sent_at: self.now };
        self.pending_probes.insert(probe, pending);
        self.schedule_probe_end(self.now + PROBE_TIMEOUT, probe, ExchangeResult::TimedOut, None);
        if let Some(latency) = self.message_latency(node, server) {
            self.schedule(self.now + latency, SimulationEvent::ProbeArrives { probe });
        }
    }

    fn schedule_probe_end(
        &mut self,
        at: Nanos,
        probe: u64,
        result: ExchangeResult,
        utilisation: Option<f64>,
    ) {
        self.schedule(at, SimulationEvent::ProbeEnds { probe, result, utilisation });
    }

    /// Gives a server a job with the work of responding to a probe. Connection handshakes use the same job.
    pub(super) fn submit_probe_job(&mut self, server: u32) {
        let id = self.next_id();
        if let Admission::Started(finishes_at) = self.servers[server as usize].admit_probe(id, self.now) {
            self.schedule(finishes_at, SimulationEvent::JobFinishes { server, job: id });
        }
        self.jobs.insert(id, JobOwner::Probe);
    }

    /// A probe reaches its server.
    pub(super) fn probe_arrives(&mut self, probe: u64) {
        let Some(&PendingProbe { process, server, .. }) = self.pending_probes.get(&probe) else { return };
        let noise = self.random.load_noise.unit();
        let Some(latency) = self.message_latency(process.node, server) else { return };
        let model = &mut self.servers[server as usize];
        if model.state == ServerState::Gone {
            return self.schedule_probe_end(self.now + latency, probe, ExchangeResult::ConnectFailed, None);
        }
        if model.hangs || model.ignores_probes {
            return;
        }
        let utilisation = model.reported_utilisation(noise, self.now);
        // The response waits for a core like any other job; the expected wait at the probe's arrival approximates this.
        let wait = model.expected_latency(0.0, self.now) as Nanos;
        self.submit_probe_job(server);
        let ends_at = self.now + wait + latency;
        self.schedule_probe_end(ends_at, probe, ExchangeResult::Served, Some(utilisation));
    }

    /// A probe ends at its node.
    pub(super) fn probe_ends(&mut self, probe: u64, result: ExchangeResult, utilisation: Option<f64>) {
        let Some(&PendingProbe { process, server, .. }) = self.pending_probes.get(&probe) else { return };
        let is_gone = self.servers[server as usize].state == ServerState::Gone;
        if result == ExchangeResult::Served && (is_gone || self.is_partitioned(process.node, server)) {
            return;
        }
        let Some(pending) = self.pending_probes.remove(&probe) else { return };
        if !self.is_running(process) {
            return;
        }
        let event = Event::ProbeEnded {
            backend: BackendId(server),
            outcome: result.outcome(),
            elapsed: self.now - pending.sent_at,
            report: LoadReport { utilisation, ..LoadReport::default() },
        };
        self.notify(process.node, event);
    }
}
