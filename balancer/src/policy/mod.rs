//! The decisions of the balancer, one file for each concern. The interface is in `api/`, the node's state in
//! `state/`, and the estimates that the node learns in `latency_model.rs` and the modules beside it.
//!
//! Reading order: `handle` in this file shows what each event triggers; then `arrival`, `send_rules` with the
//! rules that every send must satisfy, `overflow` with the choice between zones, `zone_scoring`,
//! `backend_choice` and `admission`. All constants are in `tuning`.

mod admission;
mod advice;
mod arrival;
mod backend_choice;
mod backend_load;
mod completion;
mod concurrency_window;
mod discovery;
mod dispatch;
mod load_probes;
mod outlier_ejection;
mod overflow;
mod pending_requests;
mod priorities;
mod request_phase;
mod retry_budget;
mod send_rules;
mod slow_start;
pub(crate) mod tuning;
mod zone_scoring;

use crate::api::{Action, Discovery, Event, MILLISECOND, Nanos};
use crate::state::{Balancer, RequestPhase};
use tuning::HOUSEKEEPING_INTERVAL;

impl Balancer {
    /// Handles one event and appends the actions for the caller to carry out, in order. If `now` is earlier
    /// than at the previous call, the clock stays at its last value. Successive events may have the same
    /// `now`.
    pub fn handle(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::Start => self.on_start(actions),
            Event::Membership { scope, members } => self.on_membership(scope, members),
            Event::DiscoveryFailed => self.schedule_poll(),
            Event::Request(arrival) => self.on_arrival(arrival, actions),
            Event::StreamInterrupted { request, target_at } => self.reopen_stream(request, target_at),
            Event::AttemptEnded(end) => self.on_attempt_end(end, actions),
            Event::StreamStarted { request } => self.set_phase(request, RequestPhase::Streaming),
            Event::ProbeEnded { backend, outcome, report, .. } => {
                self.on_probe_end(backend, outcome, report, actions);
            }
            Event::ClientDisconnected { request } => self.end_request(request),
            Event::Timer { .. } => self.housekeeping(actions),
        }
        self.send_probes(actions);
        self.arm_timer(actions);
    }

    fn on_start(&mut self, actions: &mut Vec<Action>) {
        self.fill_retry_budget();
        if self.settings.discovery == Discovery::OnRequest {
            actions.push(Action::Watch);
        }
    }

    fn housekeeping(&mut self, actions: &mut Vec<Action>) {
        if self.poll_at.is_some_and(|at| self.now >= at) {
            self.poll_at = None;
            actions.push(Action::Watch);
        }
        self.refresh_overflow_zones(actions);
        self.dispatch_pending(actions);
        self.expire_pending(actions);
    }

    fn housekeeping_interval(&self) -> Nanos {
        HOUSEKEEPING_INTERVAL
            .min(self.settings.rules.answer_grace / 2)
            .max(self.settings.quantum)
            .max(MILLISECOND)
    }

    /// Requests a timer only while a queued request, a poll of discovery or a probe needs one: in simulations
    /// of a full-size deployment, a timer that always ran cost more than all requests together, and the runs
    /// were aborted as too slow.
    fn arm_timer(&mut self, actions: &mut Vec<Action>) {
        let queue_at = (!self.pending.is_empty()).then(|| self.now + self.housekeeping_interval());
        let poll_at = self.poll_at.map(|at| at.max(self.now + MILLISECOND));
        let Some(next) = [queue_at, poll_at, self.next_probe_at()].into_iter().flatten().min() else {
            return;
        };
        if self.timer_at.is_none_or(|at| at <= self.now || next < at) {
            self.timer_at = Some(next);
            actions.push(Action::Timer { after: next - self.now, token: 0 });
        }
    }
}
