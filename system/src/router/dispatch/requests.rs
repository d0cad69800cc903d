//! The life of a request: submitted, sent to a server, refused or failed, given up by its client, forgotten.

use std::rc::Rc;
use std::time::Duration;

use hyper::StatusCode;
use ivyhatch_balancer::{Arrival, BackendId, Event, RequestId};
use ivyhatch_protocol::configuration::{Route, RouteKind};
use ivyhatch_protocol::ids::{fnv1a_hash, hash_mix};
use ivyhatch_protocol::{MILLISECOND, Nanos};
use ivyhatch_routing::route_table::select_service;
use tokio::sync::oneshot;

use super::BACKSTOP;
use super::attempt::{Asked, Launch, Service, Ticket};
use super::state::{DispatcherState, Due, Flight, Open, Outputs};
use crate::router::answer::Reply;

/// Part of a route's aims after which a silent server is looked at, and the least, in milliseconds.
const IDLE_TIMEOUT_PART: f64 = 0.4;
const LEAST_IDLE_TIMEOUT_MS: f64 = 100.0;
/// Shortest pause that a refused client is asked for.
const LEAST_PAUSE: Nanos = 60 * MILLISECOND;

/// How long a server may be silent, before its answer and within it, until it is looked whether it is there at all.
fn idle_timeouts(route: &Route) -> (Duration, Duration) {
    let part = |ms: f64, least: f64| Duration::from_secs_f64((ms * IDLE_TIMEOUT_PART).max(least) / 1000.0);
    (
        part(route.latency_target_ms, LEAST_IDLE_TIMEOUT_MS),
        part(route.event_gap_target_ms, LEAST_IDLE_TIMEOUT_MS),
    )
}

impl DispatcherState {
    pub(super) fn submit(
        &mut self,
        asked: Asked,
        reply: oneshot::Sender<Reply>,
        outputs: &mut Outputs,
    ) -> Option<RequestId> {
        if !self.open_ids.insert(asked.id.clone()) {
            return None;
        }
        let draw = match asked.prompt.affinity_key().filter(|_| asked.route.sticky) {
            // What servers keep of a session is of use only where the next request of it goes as well.
            Some(shared) => {
                (hash_mix(shared ^ fnv1a_hash(asked.route.name.as_bytes())) >> 11) as f64
                    / (1_u64 << 53) as f64
            }
            None => self.draw(),
        };
        let service = select_service(&asked.route, draw).unwrap_or_default().to_owned();
        let service = self.service(&service);
        let class = self.class(service, &asked.route).unwrap_or_default();
        let request = RequestId(self.next_request);
        self.next_request += 1;
        let homes = self.homes(&asked.route);
        let aim = (asked.route.latency_target_ms.max(1.0) * MILLISECOND as f64) as Nanos;
        if let Some(balanced) = self.services.get(&service) {
            balanced.placement.borrow_mut().add_request(request, homes, asked.prompt, aim);
        }
        let open = Open {
            service,
            id: asked.id,
            route: asked.route,
            call: Rc::new(asked.call),
            came: self.clock.now(),
            not_after: asked.not_after,
            reply: Some(reply),
            sink: None,
            last_event: asked.last_event,
            failure: None,
            attempts: Vec::new(),
            ended: false,
        };
        let not_after = open.not_after;
        self.requests.insert(request, open);
        self.set_timer(not_after + BACKSTOP, Due::Backstop(request), outputs);
        let arrival = Arrival { request, class, hint: None, repeat: false, tenant: None, not_after };
        self.handle_event(service, Event::Request(arrival), outputs);
        Some(request)
    }

    pub(super) fn send(
        &mut self,
        service: Service,
        request: RequestId,
        backend: BackendId,
        outputs: &mut Outputs,
    ) {
        let now = self.clock.now();
        let (Some(open), Some(balanced)) = (self.requests.get_mut(&request), self.services.get_mut(&service))
        else {
            return;
        };
        let ticket = Ticket { service, backend, request, attempt: open.attempts.len() as u32 };
        let (withdraw, withdrawn) = oneshot::channel();
        open.attempts.push(Some(Flight { since: now, began: None, withdraw: Some(withdraw) }));
        let Some(known) = balanced.backends.get(&backend) else {
            outputs.not_sent.push(ticket);
            return;
        };
        outputs.launches.push(Launch {
            ticket,
            id: open.id.clone(),
            endpoint: known.endpoint,
            region: known.region,
            instance: known.instance.clone(),
            call: open.call.clone(),
            streams: open.route.route_kind == RouteKind::Streaming,
            movable: open.route.is_idempotent(),
            idle_timeouts: idle_timeouts(&open.route),
            last_event: open.last_event,
            give_up: open.not_after,
            not_after: open.not_after,
            withdrawn,
        });
    }

    pub(super) fn refuse(&mut self, request: RequestId, pause: Nanos) {
        let failure = self.requests.get_mut(&request).and_then(|open| open.failure.take());
        let reply = match failure {
            // A server has answered, if only that it failed.
            Some((head, body)) => Reply::Whole(head, body),
            None => Reply::Refused(pause.max(LEAST_PAUSE)),
        };
        self.finish(request, reply);
    }

    pub(super) fn fail(&mut self, request: RequestId) {
        let failure = self.requests.get_mut(&request).and_then(|open| open.failure.take());
        let reply = match failure {
            Some((head, body)) => Reply::Whole(head, body),
            None => {
                Reply::Failed(StatusCode::BAD_GATEWAY, "the server's answer did not come; it may have run")
            }
        };
        self.finish(request, reply);
    }

    /// The one place that ends requests that no server has served.
    pub(super) fn finish(&mut self, request: RequestId, reply: Reply) {
        let Some(open) = self.requests.get_mut(&request).filter(|open| !open.ended) else { return };
        open.ended = true;
        if let Some(waits) = open.reply.take() {
            let _ = waits.send(reply);
        }
        open.sink = None;
        for flight in open.attempts.iter_mut().flatten() {
            let _ = flight.withdraw.take().map(|withdraw| withdraw.send(()));
        }
        self.forget_if_done(request);
    }

    pub(super) fn client_gone(&mut self, request: RequestId, outputs: &mut Outputs) {
        let Some(open) = self.requests.get_mut(&request) else { return };
        if open.ended {
            return;
        }
        open.ended = true;
        (open.reply, open.sink) = (None, None);
        for flight in open.attempts.iter_mut().flatten() {
            let _ = flight.withdraw.take().map(|withdraw| withdraw.send(()));
        }
        let service = open.service;
        self.handle_event(service, Event::ClientGone { request }, outputs);
        self.forget_if_done(request);
    }

    /// Forgets a request that has ended once its last attempt has.
    pub(super) fn forget_if_done(&mut self, request: RequestId) {
        let done = |open: &Open| open.ended && open.attempts.iter().all(Option::is_none);
        if !self.requests.get(&request).is_some_and(done) {
            return;
        }
        let Some(open) = self.requests.remove(&request) else { return };
        self.open_ids.remove(&open.id);
        self.timers.remove(&(open.not_after + BACKSTOP, Due::Backstop(request)));
        if let Some(balanced) = self.services.get(&open.service) {
            balanced.placement.borrow_mut().remove_request(request);
        }
    }
}
