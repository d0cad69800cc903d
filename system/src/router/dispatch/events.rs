//! Carries events to the balancers and their actions out; the timers of both.

use hyper::StatusCode;
use ivyhatch_balancer::{Action, Event, RequestId};
use ivyhatch_protocol::Nanos;

use super::attempt::Service;
use super::state::{DispatcherState, Due, Outputs};
use crate::router::answer::Reply;

impl DispatcherState {
    pub(super) fn handle_event(&mut self, service: Service, event: Event, outputs: &mut Outputs) {
        let mut actions = Vec::new();
        let now = self.clock.now();
        if let Some(balanced) = self.services.get_mut(&service) {
            balanced.balancer.handle(now, event, &mut actions);
        }
        for action in actions {
            self.act(service, action, outputs);
        }
    }

    pub(super) fn act(&mut self, service: Service, action: Action, outputs: &mut Outputs) {
        match action {
            Action::Send { request, backend, .. } => self.send(service, request, backend, outputs),
            Action::Reject { request, retry_after: pause } => self.refuse(request, pause),
            Action::Fail { request } => self.fail(request),
            Action::Cancel { request, attempt } => {
                let open = self.requests.get_mut(&request);
                let flight = open.and_then(|open| open.attempts.get_mut(attempt as usize));
                let withdraw = flight.and_then(Option::as_mut).and_then(|flight| flight.withdraw.take());
                // An attempt that ended meanwhile no longer listens: its own outcome is on the way.
                let _ = withdraw.map(|withdraw| withdraw.send(()));
            }
            Action::Timer { after, token } => {
                self.set_timer(self.clock.now() + after, Due::Design(service, token), outputs);
            }
            Action::Log(text) => {
                let name = self.services.get(&service).map_or("", |service| &service.name);
                log::info!("event=design service={name} says={text:?}");
            }
            // Nothing is asked of servers beside requests, and the list comes unasked.
            Action::Probe { .. } | Action::Watch | Action::Fetch => {}
        }
    }

    pub(super) fn set_timer(&mut self, at: Nanos, due: Due, outputs: &mut Outputs) {
        outputs.rearm |= self.timers.first().is_none_or(|(first, _)| at < *first);
        self.timers.insert((at, due));
    }

    pub(super) fn fire(&mut self, outputs: &mut Outputs) {
        let now = self.clock.now();
        while let Some((_, due)) = self.timers.first().copied().filter(|(at, _)| *at <= now) {
            self.timers.pop_first();
            match due {
                Due::Design(service, token) => self.handle_event(service, Event::Timer { token }, outputs),
                Due::Backstop(request) => self.backstop(request, outputs),
            }
        }
    }

    /// Past its time a request is answered, come what may.
    pub(super) fn backstop(&mut self, request: RequestId, outputs: &mut Outputs) {
        let Some(open) = self.requests.get(&request).filter(|open| !open.ended) else { return };
        let (service, sent) = (open.service, open.attempts.iter().any(Option::is_some));
        let text = if sent { "the server did not answer in time" } else { "no server in time" };
        self.finish(request, Reply::Failed(StatusCode::GATEWAY_TIMEOUT, text));
        self.handle_event(service, Event::ClientDisconnected { request }, outputs);
        self.forget_if_done(request);
    }
}
