//! The view of one backend: its load, how far it has warmed up, how slow it is.

use super::figures::*;
use crate::api::*;
use crate::state::*;

impl Backend {
    /// Load in requests for each unit of size: own ones, times the nodes that do alike; where these are
    /// many, what all nodes have been told.
    pub(crate) fn load(&self, crowd: f64) -> f64 {
        let own = f64::from(self.in_flight) / self.weight();
        match self.listed_load {
            Some(held) if crowd > MANY_NODES_PER_ZONE => IDLE_LOAD + held.max(own),
            None if crowd > MANY_NODES_PER_ZONE => IDLE_LOAD + own,
            _ => IDLE_LOAD + crowd * own,
        }
    }

    /// Share of its capacity that it surely has by now; 1 when warm.
    pub(crate) fn capacity_share(&self, now: Nanos, rules: &RuleSettings) -> f64 {
        let Some(since) = self.member.online_since else { return 1.0 };
        let age = now.saturating_sub(since) as f64 / rules.warm_up_time.max(1) as f64;
        (rules.initial_capacity + (1.0 - rules.initial_capacity) * age).clamp(0.01, 1.0)
    }

    /// Slowness against the fleet's mean, forgotten towards what its ramp implies.
    pub(crate) fn slowness(&self, now: Nanos, rules: &RuleSettings) -> f64 {
        let prior = 1.0 / self.capacity_share(now, rules);
        let Some(at) = self.latency_ratio.updated_at else { return prior };
        prior
            + (self.latency_ratio.value - prior) * decay(now.saturating_sub(at), SLOWNESS_DECAY_TIME_CONSTANT)
    }
}

impl Balancer {
    /// Whether so many nodes share the backends that own figures say little of these.
    pub(super) fn has_many_nodes(&self) -> bool {
        self.nodes_per_zone() > MANY_NODES_PER_ZONE
    }
}
