//! Slow start: limits the work sent to a backend that is warming up.

use super::tuning::{MIN_CAPACITY_SHARE, SLOW_START_BUDGET_SHARE, SUBSET_SIZE};
use crate::api::{Nanos, RuleSettings, SECOND};
use crate::random::{SPLITMIX_INCREMENT, hash_mix};
use crate::state::{Backend, Balancer, Request, ZoneView};

impl Backend {
    /// Share of its capacity that the backend is certain to have at `now`; 1 when warm.
    pub(crate) fn capacity_share(&self, now: Nanos, rules: &RuleSettings) -> f64 {
        let Some(online_since) = self.member.online_since else { return 1.0 };
        let progress = now.saturating_sub(online_since) as f64 / rules.warm_up_time.max(1) as f64;
        (rules.initial_capacity + (1.0 - rules.initial_capacity) * progress).clamp(MIN_CAPACITY_SHARE, 1.0)
    }
}

impl Balancer {
    /// Whether the request fits into this node's part of the budget of a backend that is warming up.
    pub(super) fn fits_slow_start_budget(&self, backend: &Backend, request: &Request) -> bool {
        let capacity_share = backend.capacity_share(self.now, &self.settings.rules);
        if capacity_share >= 1.0 {
            return true;
        }
        let zone = self.zones.get(backend.member.zone.0 as usize).copied().unwrap_or_default();
        // Only nodes with the backend in their subset send to it, and these nodes divide the budget.
        if self.has_many_nodes() && backend.subset_rank > zone.subset_cutoff {
            return false;
        }
        let spent = self.spent_slow_start_work(backend);
        let budget = self.slow_start_budget(backend, &zone, capacity_share);
        spent + request.slow_start_work <= budget
            || (spent == 0.0 && self.is_drawn_for_slow_start(backend, budget / request.slow_start_work))
    }

    /// Work sent to the backend within the overload window, in nanoseconds on a standard core.
    fn spent_slow_start_work(&self, backend: &Backend) -> f64 {
        let window_start =
            self.now.saturating_sub(self.settings.rules.overload_window + self.settings.quantum);
        let recent = backend.slow_start_sends.iter().rev().take_while(|send| send.sent_at >= window_start);
        recent.map(|send| send.work).sum()
    }

    fn slow_start_budget(&self, backend: &Backend, zone: &ZoneView, capacity_share: f64) -> f64 {
        let rules = &self.settings.rules;
        let window_s = rules.overload_window as f64 / SECOND as f64;
        let subset_factor =
            if self.has_many_nodes() { (zone.in_service / SUBSET_SIZE as f64).max(1.0) } else { 1.0 };
        SLOW_START_BUDGET_SHARE
            * rules.overload_multiple
            * capacity_share
            * backend.weight()
            * zone.served_per_capacity
            * window_s
            * subset_factor
    }

    /// Decides pseudo-randomly whether a request is sent although the budget is less than that request: if
    /// every node sent one, the first sends of many nodes would together exceed the budget of the backend. On
    /// average at least one node of a zone sends, as there may be no report on the backend without a send.
    fn is_drawn_for_slow_start(&self, backend: &Backend, requests_in_budget: f64) -> bool {
        let window_number = self.now / self.settings.rules.overload_window.max(1);
        let seed = backend.subset_rank ^ window_number.wrapping_mul(SPLITMIX_INCREMENT);
        let drawn = hash_mix(seed) as f64 / u64::MAX as f64;
        drawn <= requests_in_budget.max(1.0 / self.nodes_per_zone())
    }
}
