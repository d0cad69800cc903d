//! The network between nodes and servers: latency, partitions, loss, and the nodes' connections.

use std::collections::VecDeque;

use super::event::SimulationEvent;
use super::model::Simulation;
use crate::time::{MS, Nanos, nanos_from_ms};
use crate::world::World;

/// A lost message is retransmitted after this time.
const RETRANSMISSION_TIMEOUT: Nanos = 200 * MS;
/// A message is lost at most twice; a longer loss is modelled as a partition.
const MAX_RETRANSMISSIONS: usize = 2;
/// An idle connection is closed after this time.
const IDLE_TIMEOUT: Nanos = 5_000 * MS;

/// Whether a connection can be used again after an attempt.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum ConnectionReuse {
    /// The connection can carry another request.
    Idle,
    /// The connection must be closed, since a response to the ended attempt may still arrive.
    Close,
}

/// The one-way latency between two zones, or within one zone, without faults.
fn base_latency(world: &World, is_same_zone: bool) -> Nanos {
    let cross_zone = nanos_from_ms(world.cross_ms);
    if is_same_zone { cross_zone / 10 } else { cross_zone }
}

impl Simulation<'_> {
    pub(super) fn is_partitioned(&self, node: usize, server: u32) -> bool {
        let (node_zone, server_zone) = (self.node_zone(node), self.server_zone(server));
        let partitions = &self.network_faults.partitions;
        let either = partitions[node_zone as usize] > 0 || partitions[server_zone as usize] > 0;
        node_zone != server_zone && either
    }

    /// The one-way latency of one message between a node and a server; `None` across a partition.
    pub(super) fn message_latency(&mut self, node: usize, server: u32) -> Option<Nanos> {
        if self.is_partitioned(node, server) {
            return None;
        }
        let node_zone = self.node_zone(node) as usize;
        let server_zone = self.server_zone(server) as usize;
        let is_same_zone = node_zone == server_zone;
        let mut latency = base_latency(self.world, is_same_zone);
        let mut loss = self.world.loss;
        if !is_same_zone {
            let faults = &self.network_faults;
            latency +=
                nanos_from_ms(faults.added_latency_ms[node_zone] + faults.added_latency_ms[server_zone]);
            loss += faults.added_loss[node_zone] + faults.added_loss[server_zone];
        }
        if self.world.jitter_ms > 0.0 {
            latency += nanos_from_ms(self.world.jitter_ms * self.random.network.unit());
        }
        if loss > 0.0 {
            let losses = (0..MAX_RETRANSMISSIONS).take_while(|_| self.random.network.unit() < loss).count();
            latency += losses as Nanos * RETRANSMISSION_TIMEOUT;
        }
        Some(latency)
    }

    /// Takes an idle connection to a server, or opens a new one. Returns the duration of the handshake, 0 for an idle
    /// connection; `None` if the server's connection table is full.
    pub(super) fn take_connection(&mut self, node: usize, server: u32, latency: Nanos) -> Option<Nanos> {
        let idle = self.nodes[node].idle_connections.get_mut(&server).and_then(VecDeque::pop_back);
        if idle.is_some() {
            return Some(0);
        }
        if !self.servers[server as usize].connect() {
            return None;
        }
        self.nodes[node].connections += 1;
        self.counters.max_connections = self.counters.max_connections.max(self.nodes[node].connections);
        // One round trip before the first byte of the request.
        Some(2 * latency)
    }

    /// Releases the connection of an ended attempt.
    pub(super) fn release_connection(&mut self, node: usize, server: u32, reuse: ConnectionReuse) {
        match reuse {
            ConnectionReuse::Idle => {
                let idle = self.nodes[node].idle_connections.entry(server).or_default();
                idle.push_back(self.now);
                let event = SimulationEvent::IdleConnectionExpires { node, server };
                self.schedule(self.now + IDLE_TIMEOUT, event);
            }
            ConnectionReuse::Close => self.close_connection(node, server),
        }
    }

    fn close_connection(&mut self, node: usize, server: u32) {
        let node = &mut self.nodes[node];
        node.connections = node.connections.saturating_sub(1);
        self.servers[server as usize].disconnect(1);
    }

    pub(super) fn idle_connection_expires(&mut self, node: usize, server: u32) {
        let now = self.now;
        let idle = self.nodes[node].idle_connections.get_mut(&server);
        if idle.is_some_and(|idle| idle.pop_front_if(|since| *since + IDLE_TIMEOUT <= now).is_some()) {
            self.close_connection(node, server);
        }
    }
}
