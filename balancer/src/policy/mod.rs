//! Every decision of the balancer, a file for each concern. The interface (settings, events, actions, ids) is
//! in `api.rs`, what a node keeps in `state.rs`, its view of the backends in `view.rs`, what it learns from
//! answers in `learning.rs`.
//!
//! Reading order: `handle` here shows what each event sets off; then `ledger` with the contract gate,
//! `backends`, `zones`, which is the design, `pick`, `health`, `slow_start`, `admission`, `window`,
//! `retries`, `discovery`. All constants stand in `figures`.

mod admission;
mod backends;
mod discovery;
pub(crate) mod figures;
mod health;
mod ledger;
mod pick;
mod probes;
mod retries;
mod slow_start;
mod window;
mod zones;

use crate::api::*;
use crate::state::*;
use figures::*;

impl Balancer {
    /// Takes one event in and adds what is to be done. A clock that steps back stands still.
    pub fn handle(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::Start => {
                self.retry_tokens = self.retry_token_limit();
                if self.settings.discovery == Discovery::OnRequest {
                    actions.push(Action::Watch);
                }
            }
            Event::Membership { scope, members } => self.on_membership(scope, members),
            Event::DiscoveryFailed => self.schedule_poll(),
            Event::Request(arrival) => self.on_arrival(arrival, actions),
            Event::StreamInterrupted { request, target_at: aim_end } => self.reopen_stream(request, aim_end),
            Event::AttemptEnded(settlement) => self.on_attempt_end(settlement, actions),
            Event::StreamStarted { request } => self.set_phase(request, RequestPhase::Streaming),
            Event::ProbeEnded { backend, outcome, report, .. } => {
                self.on_probe_end(backend, outcome, report, actions)
            }
            Event::ClientDisconnected { request } => self.end_request(request),
            Event::Timer { .. } => self.housekeeping(actions),
        }
        self.send_probes(actions);
        self.arm_timer(actions);
    }

    fn housekeeping_interval(&self) -> Nanos {
        HOUSEKEEPING_INTERVAL.min(self.settings.rules.answer_grace / 2).max(self.settings.quantum).max(MS)
    }

    /// Asks for the next wake-up only while something waits for one: at full size a timer that always ran
    /// cost more than all requests together (it cut full-size days off as too slow).
    fn arm_timer(&mut self, actions: &mut Vec<Action>) {
        let held = (!self.pending.is_empty()).then(|| self.now + self.housekeeping_interval());
        let Some(next) = held
            .into_iter()
            .chain(self.poll_at.map(|at| at.max(self.now + MS)))
            .chain(self.next_probe_at())
            .min()
        else {
            return;
        };
        if self.timer_at.is_none_or(|at| at <= self.now || next < at) {
            self.timer_at = Some(next);
            actions.push(Action::Timer { after: next - self.now, token: 0 });
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
}
