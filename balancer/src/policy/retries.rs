//! Retries, within their budget.

use super::figures::*;
use crate::api::*;
use crate::state::*;
use crate::tally::RejectReason;

impl Balancer {
    /// Most retries that a node may save up: many nodes together must not save a storm.
    pub(crate) fn retry_token_limit(&self) -> f64 {
        self.max_retry_tokens.unwrap_or((MAX_RETRY_TOKENS / self.nodes_per_zone()).max(1.0))
    }

    /// After an attempt that did not serve: again, where the gate and the retry budget let it.
    pub(super) fn retry_or_end(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.attempts.iter().any(Attempt::is_in_flight) {
            return;
        }
        let late = self.is_too_late_to_retry(request);
        // What was turned away at once has cost little: its first retry is free.
        let unseen = request.attempts.len() == 1 && !request.attempts[0].may_have_run();
        let cost = self.retry_token_cost(request);
        let again = (self.retry_tokens >= cost || (unseen && self.has_many_nodes())) && !late;
        let pause = if late { self.settings.limits.max_retry_after } else { 0 };
        if !again
            || !self.permits_attempt(request)
            || !self.backends.values().any(|backend| self.permits_send(request, backend))
        {
            self.end_unserved(id, RejectReason::AttemptsFailed, pause, actions);
            return;
        }
        // Where no backend has room this moment it is held: most have some before the aim has passed.
        self.retry_tokens = (self.retry_tokens - cost).max(0.0);
        self.dispatch_or_queue(id, actions);
    }
}
