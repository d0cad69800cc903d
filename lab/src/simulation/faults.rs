//! The effects of faults on the simulation when faults start and end.

use super::event::FaultPhase;
use super::model::Simulation;
use crate::server::Server;
use crate::world::{Fault, FaultKind};

impl Simulation<'_> {
    pub(super) fn apply_fault(&mut self, index: usize, phase: FaultPhase) {
        let world = self.world;
        let fault = &world.faults[index];
        let starts = phase == FaultPhase::Start;
        let fraction = if starts { fault.fraction } else { 0.0 };
        let zone = fault.zone as usize;
        match fault.kind {
            // Bursts are part of the arrival process.
            FaultKind::Burst => {}
            FaultKind::ZonePartition => {
                let partitions = &mut self.network_faults.partitions[zone];
                *partitions = if starts { *partitions + 1 } else { *partitions - 1 };
            }
            FaultKind::AddedLatency => {
                let change = if starts { fault.added_latency_ms } else { -fault.added_latency_ms };
                self.network_faults.added_latency_ms[zone] += change;
            }
            FaultKind::PacketLoss => {
                let change = if starts { fault.fraction } else { -fault.fraction };
                self.network_faults.added_loss[zone] += change;
            }
            FaultKind::NoisyNeighbour => self.each_server(fault, |server| server.neighbour_load = fraction),
            FaultKind::Errors => self.each_server(fault, |server| server.extra_error_ratio = fraction),
            FaultKind::FalseReadiness => self.each_server(fault, |server| server.false_readiness = starts),
            FaultKind::Hang => self.each_server(fault, |server| server.hangs = starts),
            FaultKind::ProbeTimeout => self.each_server(fault, |server| server.ignores_probes = starts),
            FaultKind::Drain => fault.servers.iter().for_each(|server| self.drain_server(*server, phase)),
            FaultKind::Restart => fault.servers.iter().for_each(|server| self.restart_server(*server, phase)),
            FaultKind::DiscoveryDown => self.apply_discovery_outage(phase),
            FaultKind::DiscoveryStale => self.apply_stale_list(phase),
            FaultKind::NodeCrash => fault.nodes.iter().for_each(|node| match phase {
                FaultPhase::Start => self.crash_node(*node as usize),
                FaultPhase::End => self.restart_node(*node as usize),
            }),
            FaultKind::NodeShutdown => fault.nodes.iter().for_each(|node| match phase {
                FaultPhase::Start => self.nodes[*node as usize].accepts_clients = false,
                // Requests that are still in flight are lost, as if the process had been killed.
                FaultPhase::End => {
                    self.crash_node(*node as usize);
                    self.restart_node(*node as usize);
                }
            }),
        }
    }

    /// Applies a change to each server that a fault affects.
    fn each_server(&mut self, fault: &Fault, change: impl Fn(&mut Server)) {
        fault.servers.iter().for_each(|server| change(&mut self.servers[*server as usize]));
    }
}
