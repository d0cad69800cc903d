//! The simulation of a world: a discrete-event simulation of any number of nodes in one process, in virtual time. Events
//! with the same time are handled in the order in which they were scheduled.

mod attempts;
mod clients;
mod discovery;
mod event;
#[cfg(test)]
mod event_queue_tests;
mod faults;
mod model;
mod network;
mod nodes;
mod probes;
mod setup;
mod state;

use ivyhatch_balancer::Event;

use crate::policy::PolicyConfig;
use crate::report::Report;
use crate::world::World;
use event::SimulationEvent;
use model::{START, Simulation};

/// Called with the elapsed fraction of the world's duration, 0 to 1, at most once for each percent.
pub type ProgressCallback<'a> = &'a mut dyn FnMut(f64);

/// Simulates a world with the balancer as policy, until each request has an outcome. Memory use grows with the number of
/// nodes times the number of servers.
pub fn simulate(world: &World, seed: u64, progress: ProgressCallback) -> Report {
    simulate_with(world, &PolicyConfig::default(), seed, progress)
}

/// Simulates a world with any policy; see [`simulate`]. The same world, policy and seed give a report whose JSON form is
/// identical byte for byte.
pub fn simulate_with(world: &World, policy: &PolicyConfig, seed: u64, progress: ProgressCallback) -> Report {
    let mut simulation = Simulation::new(world, policy, seed);
    let mut reported_percent = 0;
    while let Some((at, event)) = simulation.queue.pop() {
        simulation.now = at;
        simulation.counters.events += 1;
        simulation.handle(event);
        let percent = (at - START).saturating_mul(100) / (simulation.end - START).max(1);
        if percent > reported_percent {
            reported_percent = percent;
            progress((percent as f64 / 100.0).min(1.0));
        }
    }
    simulation.finish(seed)
}

impl Simulation<'_> {
    fn handle(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::ClientArrives => self.client_arrives(),
            SimulationEvent::ClosedClientReturns { zone } => self.closed_client_returns(zone),
            SimulationEvent::ClientSends { client } => self.client_sends(client),
            SimulationEvent::ClientDisconnects(request) => self.client_disconnects(request),
            SimulationEvent::RequestExpires(request) => self.request_expires(request),
            SimulationEvent::AttemptArrives(attempt) => self.attempt_arrives(attempt),
            SimulationEvent::AttemptEnds { attempt, result } => self.attempt_ends(attempt, result),
            SimulationEvent::JobFinishes { server, job } => self.job_finishes(server, job),
            SimulationEvent::JobCancelled { server, job } => self.job_cancelled(server, job),
            SimulationEvent::IdleConnectionExpires { node, server } => {
                self.idle_connection_expires(node, server);
            }
            SimulationEvent::ProbeArrives { probe } => self.probe_arrives(probe),
            SimulationEvent::ProbeEnds { probe, result, utilisation } => {
                self.probe_ends(probe, result, utilisation);
            }
            SimulationEvent::TimerFired { process, token } => {
                if self.is_running(process) {
                    self.notify(process.node, Event::Timer { token });
                }
            }
            SimulationEvent::FullListDelivered { process, list, request } => {
                self.full_list_delivered(process, list, request);
            }
            SimulationEvent::ListCallFails(process) => self.list_call_fails(process),
            SimulationEvent::EndpointUpdate { process, server, state, started } => {
                self.endpoint_update(process, server, state, started);
            }
            SimulationEvent::FullListIntervalElapsed => self.full_list_interval_elapsed(),
            SimulationEvent::FaultChanges { fault, phase } => self.apply_fault(fault, phase),
        }
    }

    fn finish(self, seed: u64) -> Report {
        let mut report = self.outcomes.finish(seed);
        report.attempts = self.counters.attempts;
        report.crossed = self.counters.cross_zone_attempts;
        report.probes = self.counters.probes;
        report.events = self.counters.events;
        report.most_open = self.counters.max_open_requests;
        report.most_connections = self.counters.max_connections;
        report.chokes = self.servers.iter().map(|server| server.degradations).sum();
        report.rules_broken = self.invariants.violation_count();
        report.broken = self.invariants.violations;
        report
    }
}
