//! Retries, within their budget.

use super::figures::*;
use crate::api::*;
use crate::state::*;
use crate::tally::Why;

impl Balancer {
    /// Most retries that a node may save up: many nodes together must not save a storm.
    pub(crate) fn retries_saved(&self) -> f64 {
        self.saved.unwrap_or((RETRY_SAVED / self.crowd()).max(1.0))
    }

    /// After an attempt that did not serve: again, where the gate and the retry budget let it.
    pub(super) fn retry(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.attempts.iter().any(Attempt::out) {
            return;
        }
        let late = self.too_late(request);
        // What was turned away at once has cost little: its first retry is free.
        let unseen = request.attempts.len() == 1 && !request.attempts[0].may_have_run();
        let cost = self.retry_cost(request);
        let again = (self.retry_tokens >= cost || (unseen && self.many())) && !late;
        let pause = if late { self.settings.limits.max_retry_after } else { 0 };
        if !again
            || !self.may_go(request)
            || !self.backends.values().any(|backend| self.permits(request, backend))
        {
            self.end(id, Why::Tried, pause, actions);
            return;
        }
        // Where no backend has room this moment it is held: most have some before the aim has passed.
        self.retry_tokens = (self.retry_tokens - cost).max(0.0);
        self.dispatch(id, actions);
    }
}
