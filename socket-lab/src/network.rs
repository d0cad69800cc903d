//! The network between nodes and servers: latency, loss and partitions, modelled as in the simulation.

use std::time::Duration;

use ivyhatch_lab::Nanos;

use crate::run_state::RunState;

/// Time after which a lost message is sent again.
const RETRANSMISSION_TIMEOUT_MS: f64 = 200.0;
/// A message is lost at most twice: longer loss is modelled by a fault of its own, the partition.
const MAX_RETRANSMISSIONS: usize = 2;

impl RunState {
    pub(crate) fn is_partitioned(&self, node: usize, server: usize) -> bool {
        let (node_zone, server_zone) = (self.zone_of(node), self.zone_of(server));
        let partitions = self.partitions.borrow();
        node_zone != server_zone && (partitions[node_zone] > 0 || partitions[server_zone] > 0)
    }

    /// The one-way latency of one message between a node and a server.
    pub(crate) fn message_latency(&self, node: usize, server: usize) -> Duration {
        let (node_zone, server_zone) = (self.zone_of(node), self.zone_of(server));
        let faults = self.link_faults.borrow();
        let mut latency_ms = self.world.cross_ms / 10.0;
        let mut loss = self.world.loss;
        if node_zone != server_zone {
            let added_ms = &faults.added_latency_ms;
            latency_ms = self.world.cross_ms + added_ms[node_zone] + added_ms[server_zone];
            loss += faults.added_loss[node_zone] + faults.added_loss[server_zone];
        }
        let mut random = self.random.network.borrow_mut();
        if self.world.jitter_ms > 0.0 {
            latency_ms += self.world.jitter_ms * random.unit();
        }
        if loss > 0.0 {
            let losses = (0..MAX_RETRANSMISSIONS).take_while(|_| random.unit() < loss).count();
            latency_ms += RETRANSMISSION_TIMEOUT_MS * losses as f64;
        }
        Duration::from_nanos((latency_ms * 1e6) as Nanos)
    }
}
