//! The course of a request: submitted, sent to servers, rejected or failed, cancelled by its client, removed.

use std::rc::Rc;
use std::time::Duration;

use ivyhatch_balancer::{Arrival, BackendId, Event, RequestId};
use ivyhatch_protocol::configuration::{Route, RouteKind};
use ivyhatch_protocol::hash::{fnv1a_hash, hash_mix};
use ivyhatch_protocol::{MILLISECOND, Nanos};
use ivyhatch_routing::prompt::Prompt;
use ivyhatch_routing::route_table::select_service;
use tokio::sync::oneshot;

use super::pending_request::{InFlightAttempt, PendingRequest};
use super::state::{DispatcherState, Outputs, TimerEvent, unit_interval};
use crate::router::attempt::{AttemptId, AttemptSpec, ForwardedRequest, IdleTimeouts, ServerKey, ServiceId};
use crate::router::client_response::ClientResponse;
use crate::router::rejection::Rejection;

/// A request that the balancer has not ended this long after its deadline is ended all the same.
const REQUEST_TIMEOUT_MARGIN: Nanos = 15 * MILLISECOND;
/// A silent server is probed after this part of the route's latency target ...
const IDLE_TIMEOUT_FRACTION: f64 = 0.4;
/// ... and after this at the least, in milliseconds.
const MIN_IDLE_TIMEOUT_MS: f64 = 100.0;
/// The most of what is left of a rejected request's latency target that its `Retry-After` takes.
const MAX_RETRY_AFTER_FRACTION: f64 = 0.25;
/// With less than this part of its latency target left, a rejected request won't be served in time elsewhere.
const MIN_LEFT_FOR_RETRY_FRACTION: f64 = 0.25;
/// The least `Retry-After` of a rejected request.
const MIN_RETRY_AFTER: Nanos = 60 * MILLISECOND;

/// A client's request, received to its end.
pub struct IncomingRequest {
    /// The client's id of it.
    pub id: Rc<str>,
    /// When its client stops waiting, or its route's timeout passes.
    pub not_after: Nanos,
    /// Its route.
    pub route: Rc<Route>,
    /// What its headers say of its prompt.
    pub prompt: Prompt,
    /// The last event that its client has.
    pub last_event_id: Option<u64>,
    /// What is forwarded.
    pub forwarded: ForwardedRequest,
}

impl DispatcherState {
    /// Submits a request to the balancer of a service of its route. None where a request with its id is in progress.
    pub(super) fn submit(
        &mut self,
        incoming: IncomingRequest,
        response: oneshot::Sender<ClientResponse>,
        outputs: &mut Outputs,
    ) -> Option<RequestId> {
        if !self.ids_in_progress.insert(incoming.id.clone()) {
            return None;
        }
        let route = incoming.route;
        let service = self.choose_service(&route, &incoming.prompt);
        let class = self.request_class(service, &route).unwrap_or_default();
        let request = self.next_request_id();
        let home_regions = self.regions.home_regions(&route);
        let latency_target = route.latency_target();
        if let Some(service) = self.services.get(&service) {
            let mut placement = service.placement.borrow_mut();
            placement.add_request(request, home_regions, incoming.prompt, latency_target);
        }
        let not_after = incoming.not_after;
        let pending = PendingRequest {
            service,
            id: incoming.id,
            route,
            forwarded: Rc::new(incoming.forwarded),
            received_at: self.clock.now(),
            not_after,
            response: Some(response),
            stream: None,
            last_event_id: incoming.last_event_id,
            failure: None,
            attempts: Vec::new(),
            has_ended: false,
        };
        self.requests.insert(request, pending);
        self.set_timer(timeout_at(not_after), TimerEvent::RequestTimeout(request), outputs);
        let arrival =
            Arrival { request, class, expected_work: None, is_retry: false, tenant: None, not_after };
        self.handle_event(service, Event::Request(arrival), outputs);
        Some(request)
    }

    /// The service of a request: drawn by the route's weights. All requests of a session draw the same, as its prefix cache is of
    /// use to no other service.
    fn choose_service(&mut self, route: &Route, prompt: &Prompt) -> ServiceId {
        let draw = match prompt.affinity_key().filter(|_| route.sticky) {
            Some(session) => unit_interval(hash_mix(session ^ fnv1a_hash(route.name.as_bytes()))),
            None => self.draw(),
        };
        let name = select_service(route, draw).unwrap_or_default();
        self.service_id(name)
    }

    /// Begins an attempt that the balancer has decided on.
    pub(super) fn send(
        &mut self,
        service_id: ServiceId,
        request_id: RequestId,
        backend: BackendId,
        outputs: &mut Outputs,
    ) {
        let now = self.clock.now();
        let Some(request) = self.requests.get_mut(&request_id) else { return };
        let Some(service) = self.services.get_mut(&service_id) else { return };
        let server_key = ServerKey { service: service_id, backend };
        let id = AttemptId { server: server_key, request: request_id, number: request.attempts.len() as u32 };
        let (cancel, cancelled) = oneshot::channel();
        request.attempts.push(Some(InFlightAttempt {
            started_at: now,
            first_event_latency: None,
            cancel: Some(cancel),
        }));
        let Some(server) = service.servers.get(&backend) else {
            outputs.unsendable_attempts.push(id);
            return;
        };
        outputs.attempts.push(AttemptSpec {
            id,
            request_id: request.id.clone(),
            endpoint: server.endpoint,
            region: server.region,
            instance: server.instance.clone(),
            request: request.forwarded.clone(),
            may_stream: request.route.route_kind == RouteKind::Streaming,
            is_idempotent: request.route.is_idempotent(),
            idle_timeouts: idle_timeouts(&request.route),
            last_event_id: request.last_event_id,
            not_after: request.not_after,
            cancelled,
        });
    }

    /// Ends a request that was never executed, or only by servers that reported their failure.
    pub(super) fn reject(&mut self, request: RequestId, retry_after: Nanos) {
        let retry_after = retry_after.min(self.latest_retry(request)).max(MIN_RETRY_AFTER);
        self.finish_with_failure_or(request, Rejection::Overloaded { retry_after });
    }

    /// The time within which a client has to come back so that most of its request's latency target is left for another router.
    /// Where too little is left for that there is no hurry.
    fn latest_retry(&self, request: RequestId) -> Nanos {
        let Some(request) = self.requests.get(&request) else { return Nanos::MAX };
        let target = request.route.latency_target();
        let target_at = request.not_after.min(request.received_at + target);
        let left = target_at.saturating_sub(self.clock.now()) as f64;
        if left < target as f64 * MIN_LEFT_FOR_RETRY_FRACTION {
            return Nanos::MAX;
        }
        (left * MAX_RETRY_AFTER_FRACTION) as Nanos
    }

    /// Ends a request that may have been executed.
    pub(super) fn fail(&mut self, request: RequestId) {
        self.finish_with_failure_or(request, Rejection::ResponseLost);
    }

    /// Ends a request with the response by which a server reported its failure, or with this rejection where there is none.
    fn finish_with_failure_or(&mut self, request: RequestId, rejection: Rejection) {
        let failure = self.requests.get_mut(&request).and_then(|request| request.failure.take());
        let response = failure.map_or(ClientResponse::Rejected(rejection), ClientResponse::Complete);
        self.finish(request, response);
    }

    /// Ends a request that no server has served.
    pub(super) fn finish(&mut self, id: RequestId, response: ClientResponse) {
        let Some(request) = self.requests.get_mut(&id).filter(|request| !request.has_ended) else { return };
        request.has_ended = true;
        if let Some(sender) = request.response.take() {
            let _ = sender.send(response);
        }
        request.stream = None;
        request.cancel_attempts();
        self.remove_if_done(id);
    }

    /// Cancels a request whose client has disconnected.
    pub(super) fn client_disconnected(&mut self, id: RequestId, outputs: &mut Outputs) {
        let Some(request) = self.requests.get_mut(&id).filter(|request| !request.has_ended) else { return };
        request.has_ended = true;
        request.response = None;
        request.stream = None;
        request.cancel_attempts();
        let service = request.service;
        self.handle_event(service, Event::ClientDisconnected { request: id }, outputs);
        self.remove_if_done(id);
    }

    /// Removes a request that has ended once its last attempt has.
    pub(super) fn remove_if_done(&mut self, id: RequestId) {
        if !self.requests.get(&id).is_some_and(PendingRequest::is_done) {
            return;
        }
        let Some(request) = self.requests.remove(&id) else { return };
        self.ids_in_progress.remove(&request.id);
        self.timers.remove(&(timeout_at(request.not_after), TimerEvent::RequestTimeout(id)));
        if let Some(service) = self.services.get(&request.service) {
            service.placement.borrow_mut().remove_request(id);
        }
    }
}

/// When a request is ended that the balancer has not ended.
fn timeout_at(not_after: Nanos) -> Nanos {
    not_after + REQUEST_TIMEOUT_MARGIN
}

/// How long a server may be silent until it is probed.
fn idle_timeouts(route: &Route) -> IdleTimeouts {
    let fraction = |target_ms: f64| {
        let milliseconds = (target_ms * IDLE_TIMEOUT_FRACTION).max(MIN_IDLE_TIMEOUT_MS);
        Duration::from_secs_f64(milliseconds / 1000.0)
    };
    IdleTimeouts { head: fraction(route.latency_target_ms), chunk: fraction(route.event_gap_target_ms) }
}
