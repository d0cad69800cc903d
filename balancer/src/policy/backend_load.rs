//! Estimates of one backend: its load, and how slow it is.

use super::tuning::{IDLE_LOAD, MANY_NODES_PER_ZONE, SLOWNESS_DECAY_TIME_CONSTANT};
use crate::api::{Nanos, RuleSettings};
use crate::state::{Backend, Balancer};

impl Backend {
    /// Load in requests for each unit of weight: own ones, times the nodes that do alike; where these are
    /// many, what the list says of all nodes.
    pub(crate) fn load(&self, nodes_per_zone: f64) -> f64 {
        let own = f64::from(self.in_flight) / self.weight();
        match self.listed_load {
            Some(listed) if nodes_per_zone > MANY_NODES_PER_ZONE => IDLE_LOAD + listed.max(own),
            None if nodes_per_zone > MANY_NODES_PER_ZONE => IDLE_LOAD + own,
            _ => IDLE_LOAD + nodes_per_zone * own,
        }
    }

    /// Latency as a multiple of the usual one, forgotten towards what slow start implies.
    pub(crate) fn slowness(&self, now: Nanos, rules: &RuleSettings) -> f64 {
        let prior = 1.0 / self.capacity_share(now, rules);
        self.latency_ratio.decayed_towards(prior, now, SLOWNESS_DECAY_TIME_CONSTANT)
    }
}

impl Balancer {
    /// Whether so many nodes share the backends that own attempts say little of their load.
    pub(super) fn has_many_nodes(&self) -> bool {
        self.nodes_per_zone() > MANY_NODES_PER_ZONE
    }
}
