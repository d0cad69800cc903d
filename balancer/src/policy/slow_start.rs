//! Slow start: what may be sent to a cold backend.

use super::figures::*;
use crate::state::*;

impl Balancer {
    /// Whether this node's share of a cold backend's budget has room.
    pub(super) fn fits_slow_start_budget(&self, backend: &Backend, request: &Request) -> bool {
        let rules = &self.settings.rules;
        let ramp = backend.capacity_share(self.now, rules);
        if ramp >= 1.0 {
            return true;
        }
        let since = self.now.saturating_sub(rules.overload_window + self.settings.quantum);
        let recent = backend.slow_start_sends.iter().rev().take_while(|(at, _)| *at >= since);
        let spent: f64 = recent.map(|(_, cost)| cost).sum();
        let span = rules.overload_window as f64 / SECOND as f64;
        // Only nodes with it in their subset send there, and these divide the budget.
        let zone = self.zones.get(backend.member.zone.0 as usize).copied().unwrap_or_default();
        if self.has_many_nodes() && backend.subset_rank > zone.subset_cutoff {
            return false;
        }
        let users = if self.has_many_nodes() { (zone.in_service / SUBSET_SIZE as f64).max(1.0) } else { 1.0 };
        let budget = SLOW_START_BUDGET_SHARE
            * rules.overload_multiple
            * ramp
            * backend.weight()
            * zone.served_per_capacity
            * span
            * users;
        // A budget under one request is spent by chance, or many nodes' first sends would exceed it together;
        // one of a zone's nodes or so always tries, as no figure may come from elsewhere.
        let epoch = self.now / rules.overload_window.max(1);
        let lot = hash_mix(backend.subset_rank ^ epoch.wrapping_mul(0x9e37_79b9_7f4a_7c15)) as f64
            / u64::MAX as f64;
        spent + request.slow_start_work <= budget
            || (spent == 0.0 && lot <= (budget / request.slow_start_work).max(1.0 / self.nodes_per_zone()))
    }
}
