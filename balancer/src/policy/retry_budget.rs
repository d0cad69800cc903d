//! Retries by the node, within the retry budget.

use super::tuning::{MAX_RETRY_TOKENS, RETRY_TOKENS_PER_ARRIVAL};
use crate::api::{Action, Outcome, RequestId};
use crate::counters::RejectReason;
use crate::retry_budget::RetryBudget;
use crate::state::{Balancer, Request};

impl Balancer {
    /// Most retry tokens that a node may save. The limit is divided among the nodes of a zone, so that
    /// together they cannot save up enough tokens for a retry storm.
    fn retry_token_limit(&self) -> f64 {
        (MAX_RETRY_TOKENS / self.nodes_per_zone()).max(1.0)
    }

    pub(super) fn fill_retry_budget(&mut self) {
        let limit = self.retry_token_limit();
        if let RetryBudget::Own(bucket) = &mut self.retry_budget {
            bucket.earn(limit, limit);
        }
    }

    pub(super) fn earn_retries(&mut self) {
        let limit = self.retry_token_limit();
        match &mut self.retry_budget {
            RetryBudget::Own(bucket) => bucket.earn(RETRY_TOKENS_PER_ARRIVAL, limit),
            RetryBudget::Shared(budget) => budget.earn(self.now),
        }
    }

    /// After an attempt that did not serve its request: retries if the send rules and the budget allow it,
    /// and ends the request otherwise. If no backend has capacity now, the retry is queued: usually a backend
    /// has capacity before the latency target has passed.
    pub(super) fn retry_or_end(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id).filter(|request| !request.has_attempt_in_flight()) else {
            return;
        };
        let is_late = self.is_too_late_to_retry(request);
        let is_possible = !is_late && self.any_backend_permits(request);
        let is_affordable = self.can_pay_for_retry(request);
        if !is_possible || !is_affordable {
            self.retry_usage.denied_repeats += u64::from(is_possible);
            let retry_after = if is_late { self.settings.limits.max_retry_after } else { 0 };
            self.end_unserved(id, RejectReason::AttemptsFailed, retry_after, actions);
            return;
        }
        self.pay_from_own_budget(id);
        self.dispatch_or_queue(id, actions);
    }

    /// Whether the budget can pay for the next attempt of this request.
    pub(super) fn can_pay_for_retry(&self, request: &Request) -> bool {
        match &self.retry_budget {
            RetryBudget::Own(bucket) => {
                bucket.can_pay(self.retry_token_cost(request)) || self.is_free_retry(request)
            }
            RetryBudget::Shared(budget) => !request.next_is_repeat() || budget.can_pay(self.now),
        }
    }

    /// Whether a queued request is a repeat that the shared budget can no longer pay for.
    pub(super) fn is_unaffordable(&self, id: RequestId) -> bool {
        let is_shared = matches!(self.retry_budget, RetryBudget::Shared(_));
        is_shared && self.requests.get(&id).is_some_and(|request| !self.can_pay_for_retry(request))
    }

    fn pay_from_own_budget(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let is_repeat = request.next_is_repeat();
        let token_cost = self.retry_token_cost(request);
        let RetryBudget::Own(bucket) = &mut self.retry_budget else { return };
        self.retry_usage.unpaid_repeats += u64::from(is_repeat && !bucket.can_pay(token_cost));
        bucket.pay(token_cost);
    }

    /// Counts the attempt that is being sent if it is a repeat, and pays for the repeat if the budget is
    /// shared.
    pub(super) fn pay_for_send(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id).filter(|request| request.next_is_repeat()) else { return };
        let was_misdirected = request.last_outcome() == Some(Outcome::Misdirected);
        self.retry_usage.repeats += 1;
        self.retry_usage.repeats_after_misdirected += u64::from(was_misdirected);
        if let RetryBudget::Shared(budget) = &mut self.retry_budget {
            let is_paid = budget.pay(self.now);
            self.retry_usage.unpaid_repeats += u64::from(!is_paid);
        }
    }

    /// Whether the next attempt needs no retry tokens: with many nodes, if the only attempt so far was never
    /// run and so has cost little. Nodes that share a budget have no free retries.
    fn is_free_retry(&self, request: &Request) -> bool {
        let was_never_run = request.attempts.len() == 1 && !request.attempts[0].may_have_run();
        was_never_run && self.has_many_nodes()
    }

    fn any_backend_permits(&self, request: &Request) -> bool {
        self.permits_attempt(request)
            && self.backends.values().any(|backend| self.permits_send(request, backend))
    }

    /// Retry tokens that one more attempt costs: 0 if the class has its own limit of attempts and the last
    /// attempt did not reach any server, else 1. An attempt that another instance at the address answered did
    /// reach a server, so the next one is a repeat.
    fn retry_token_cost(&self, request: &Request) -> f64 {
        let has_own_limit = self.settings.classes[request.class].max_attempts.is_some();
        if has_own_limit && !request.next_is_repeat() { 0.0 } else { 1.0 }
    }

    fn is_too_late_to_retry(&self, request: &Request) -> bool {
        let class = &self.settings.classes[request.class];
        self.now >= if class.retry_past_target { request.not_after } else { request.target_at }
    }
}
