//! Estimates for one backend: its load and its slowness.

use super::tuning::{IDLE_LOAD, MANY_NODES_PER_ZONE, SLOWNESS_DECAY_TIME_CONSTANT};
use crate::api::{Nanos, RuleSettings};
use crate::state::{Backend, Balancer};

impl Backend {
    /// Load in requests per unit of weight. With few nodes: this node's requests in flight, multiplied by the
    /// number of nodes that share the zone and are assumed to send as much. With many nodes: the larger of
    /// this node's own load and the load given by the list of backends, which covers all nodes.
    pub(crate) fn load(&self, nodes_per_zone: f64) -> f64 {
        let own = f64::from(self.in_flight) / self.weight();
        match self.listed_load {
            Some(listed) if nodes_per_zone > MANY_NODES_PER_ZONE => IDLE_LOAD + listed.max(own),
            None if nodes_per_zone > MANY_NODES_PER_ZONE => IDLE_LOAD + own,
            _ => IDLE_LOAD + nodes_per_zone * own,
        }
    }

    /// Latency as a multiple of the usual one. The estimate decays towards the value implied by slow start.
    pub(crate) fn slowness(&self, now: Nanos, rules: &RuleSettings) -> f64 {
        let prior = 1.0 / self.capacity_share(now, rules);
        self.latency_ratio.decayed_towards(prior, now, SLOWNESS_DECAY_TIME_CONSTANT)
    }
}

impl Balancer {
    /// Whether so many nodes share the backends that this node's own attempts say little about backend load.
    pub(super) fn has_many_nodes(&self) -> bool {
        self.nodes_per_zone() > MANY_NODES_PER_ZONE
    }
}
