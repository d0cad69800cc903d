//! Feeds events to the balancers, executes their actions, and fires the timers of balancers and requests.

use ivyhatch_balancer::{Action, Event, RequestId};
use ivyhatch_protocol::Nanos;

use super::state::{DispatcherState, Outputs, TimerEvent};
use crate::router::attempt::ServiceId;
use crate::router::client_response::ClientResponse;
use crate::router::rejection::Rejection;

impl DispatcherState {
    /// Feeds an event to a service's balancer, logs the retry usage if due, and executes the balancer's actions.
    pub(super) fn handle_event(&mut self, service: ServiceId, event: Event, outputs: &mut Outputs) {
        let mut actions = Vec::new();
        let now = self.clock.now();
        if let Some(service) = self.services.get_mut(&service) {
            service.balancer.handle(now, event, &mut actions);
            let usage = service.balancer.retry_usage();
            if let Some(fields) = service.retry_usage_log.next_line(now, usage) {
                log::info!("event=retry_usage service={} {fields}", service.name);
            }
        }
        for action in actions {
            self.execute(service, action, outputs);
        }
    }

    fn execute(&mut self, service: ServiceId, action: Action, outputs: &mut Outputs) {
        match action {
            Action::Send { request, backend, .. } => self.send(service, request, backend, outputs),
            Action::Reject { request, retry_after } => self.reject(request, retry_after),
            Action::Fail { request } => self.fail(request),
            Action::Cancel { request, attempt } => {
                if let Some(request) = self.requests.get_mut(&request) {
                    request.cancel_attempt(attempt);
                }
            }
            Action::Timer { after, token } => {
                let due_at = self.clock.now() + after;
                self.set_timer(due_at, TimerEvent::Balancer(service, token), outputs);
            }
            Action::Log(text) => {
                let name = self.services.get(&service).map_or("", |service| &service.name);
                log::info!("event=balancer service={name} message={text:?}");
            }
            // Not needed: servers report their load in responses, and control nodes push the server list.
            Action::Probe { .. } | Action::Watch | Action::Fetch => {}
        }
    }

    pub(super) fn set_timer(&mut self, due_at: Nanos, event: TimerEvent, outputs: &mut Outputs) {
        outputs.has_earlier_timer |= self.timers.first().is_none_or(|(first, _)| due_at < *first);
        self.timers.insert((due_at, event));
    }

    /// When the next timer is due; `None` if no timer is set.
    pub(super) fn next_timer_at(&self) -> Option<Nanos> {
        self.timers.first().map(|(due_at, _)| *due_at)
    }

    /// Removes all timers that are due, and handles their events.
    pub(super) fn fire_timers(&mut self, outputs: &mut Outputs) {
        let now = self.clock.now();
        while let Some((_, event)) = self.timers.first().copied().filter(|(due_at, _)| *due_at <= now) {
            self.timers.pop_first();
            match event {
                TimerEvent::Balancer(service, token) => {
                    self.handle_event(service, Event::Timer { token }, outputs);
                }
                TimerEvent::RequestTimeout(request) => self.time_out(request, outputs),
            }
        }
    }

    /// Ends a request whose deadline has passed and that the balancer has not ended.
    fn time_out(&mut self, id: RequestId, outputs: &mut Outputs) {
        let Some(request) = self.requests.get(&id).filter(|request| !request.has_ended) else { return };
        let service = request.service;
        let was_sent = request.attempts.iter().any(Option::is_some);
        let rejection = if was_sent { Rejection::ServerTimeout } else { Rejection::NoServerInTime };
        self.finish(id, ClientResponse::Rejected(rejection));
        self.handle_event(service, Event::ClientDisconnected { request: id }, outputs);
        self.remove_if_done(id);
    }
}
