//! Completion: handles the end of attempts, and is the only place that rejects or fails requests.

use super::tuning::{TIMEOUT_FAULT_RATIO, UTILISATION_TIME_CONSTANT};
use crate::api::{Action, AttemptEnd, Idempotency, IdempotencyScope, Nanos, Outcome, RequestId, ZoneId};
use crate::counters::RejectReason;
use crate::latency_model::LatencySample;
use crate::state::{Balancer, Request, RequestPhase};

/// An attempt that has just ended, and its request.
struct EndedAttempt {
    sample: LatencySample,
    zone: ZoneId,
    sent_at: Nanos,
    /// The attempt has already been recorded as late.
    recorded_late: bool,
    target_at: Nanos,
    request_was_open: bool,
}

impl Balancer {
    /// Handles the end of an attempt: updates the estimates, then completes or retries its request.
    pub(super) fn on_attempt_end(&mut self, end: AttemptEnd, actions: &mut Vec<Action>) {
        let Some(ended) = self.record_end(&end) else { return };
        self.learn_from_end(&end, &ended, actions);
        if end.request_ended || !ended.request_was_open {
            self.complete(&end, &ended, actions);
        } else {
            self.retry_or_end(end.request, actions);
        }
        self.dispatch_pending(actions);
    }

    /// Records the outcome in the request table. `None` if the attempt is not in flight.
    fn record_end(&mut self, end: &AttemptEnd) -> Option<EndedAttempt> {
        let request = self.requests.get_mut(&end.request)?;
        let attempt = request.attempts.get_mut(end.attempt as usize)?;
        if !attempt.is_in_flight() {
            return None;
        }
        attempt.outcome = Some(end.outcome);
        self.counters.count_outcome(end.outcome);
        Some(EndedAttempt {
            sample: LatencySample {
                backend: attempt.backend,
                class: request.class,
                expected_work: request.expected_work,
                load_at_send: attempt.load_at_send,
                outcome: end.outcome,
                elapsed: end.elapsed,
            },
            zone: attempt.zone,
            sent_at: attempt.sent_at,
            recorded_late: attempt.recorded_late,
            target_at: request.target_at,
            request_was_open: request.phase != RequestPhase::Ended,
        })
    }

    fn learn_from_end(&mut self, end: &AttemptEnd, ended: &EndedAttempt, actions: &mut Vec<Action>) {
        let LatencySample { backend, class, .. } = ended.sample;
        if !ended.recorded_late {
            self.update_window(ended.zone, class, ended.sent_at, end.outcome);
        }
        if let Some(zone) = self.zones.get_mut(ended.zone.0 as usize) {
            zone.add_in_flight(self.now, -1.0, UTILISATION_TIME_CONSTANT);
        }
        self.learn_from_attempt(&ended.sample);
        // A client with little time left ends an attempt early, which is not a failure of the backend.
        let fault_latency = TIMEOUT_FAULT_RATIO * self.expected_latency(class, 1.0);
        let is_early = (end.elapsed as f64) < fault_latency;
        if end.outcome != Outcome::TimedOut || !is_early {
            self.update_health(backend, end.outcome, actions);
        }
        self.apply_load_report(backend, end.report);
        if end.report.utilisation.is_some()
            && let Some(scheduler) = self.probe_scheduler.as_mut()
        {
            scheduler.on_passive_report(backend.0, self.now);
        }
    }

    fn complete(&mut self, end: &AttemptEnd, ended: &EndedAttempt, actions: &mut Vec<Action>) {
        if ended.request_was_open {
            let is_in_time = self.now <= ended.target_at || !self.has_many_nodes();
            if end.outcome == Outcome::Served && is_in_time {
                self.classes[ended.sample.class].served.add(self.now, 1.0);
            }
            self.cancel_attempts_in_flight(end.request, actions);
        }
        self.end_request(end.request);
    }

    /// Ends a request that was not served: rejects it if a retry by the client is safe, and fails it
    /// otherwise. `retry_after` is in nanoseconds.
    pub(super) fn end_unserved(
        &mut self,
        id: RequestId,
        reason: RejectReason,
        retry_after: Nanos,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get(&id) else { return };
        self.counters.count_unserved(reason);
        if self.now < request.target_at {
            self.unserved.add(self.now, 1.0);
        }
        actions.push(if self.is_safe_to_retry(request) {
            Action::Reject { request: id, retry_after: retry_after.min(self.settings.limits.max_retry_after) }
        } else {
            Action::Fail { request: id }
        });
        self.cancel_attempts_in_flight(id, actions);
        self.end_request(id);
    }

    /// Whether the client may safely send the request again, to any backend.
    fn is_safe_to_retry(&self, request: &Request) -> bool {
        match self.settings.classes[request.class].idempotency {
            Idempotency::Idempotent | Idempotency::Keyed { scope: IdempotencyScope::All, .. } => true,
            Idempotency::Keyed { .. } | Idempotency::NonIdempotent => !request.may_have_run(),
        }
    }

    fn cancel_attempts_in_flight(&self, id: RequestId, actions: &mut Vec<Action>) {
        if !self.settings.limits.cancellation {
            return;
        }
        let Some(request) = self.requests.get(&id) else { return };
        let numbered = request.attempts.iter().zip(0..);
        let in_flight = numbered.filter(|(attempt, _)| attempt.is_in_flight());
        actions.extend(in_flight.map(|(_, attempt)| Action::Cancel { request: id, attempt }));
    }

    /// Marks a request as ended; the request is removed once its last attempt has ended.
    pub(super) fn end_request(&mut self, id: RequestId) {
        self.set_phase(id, RequestPhase::Ended);
        if self.requests.get(&id).is_some_and(|request| !request.has_attempt_in_flight()) {
            self.requests.remove(&id);
        }
    }
}
