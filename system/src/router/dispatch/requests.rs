//! The lifecycle of a request: submitted, sent to servers, rejected or failed, cancelled by its client, removed.

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

/// How long after its deadline a request is ended by the dispatcher if the balancer has not ended it.
const REQUEST_TIMEOUT_MARGIN: Nanos = 15 * MILLISECOND;
/// A silent server is probed after this fraction of the route's latency or event gap target.
const IDLE_TIMEOUT_FRACTION: f64 = 0.4;
/// Minimum time after which a silent server is probed, in milliseconds.
const MIN_IDLE_TIMEOUT_MS: f64 = 100.0;
/// Upper bound of a rejected request's `Retry-After`, as a fraction of the time left to its latency target.
const MAX_RETRY_AFTER_FRACTION: f64 = 0.25;
/// If less than this fraction of its latency target is left, a rejected request won't be served in time by another router either, and
/// [`MAX_RETRY_AFTER_FRACTION`] does not apply.
const MIN_LEFT_FOR_RETRY_FRACTION: f64 = 0.25;
/// Lower bound of the `Retry-After` of a rejected request.
const MIN_RETRY_AFTER: Nanos = 60 * MILLISECOND;

/// A client's request that has been received completely.
pub struct IncomingRequest {
    /// The request ID that the client sent.
    pub id: Rc<str>,
    /// The request's deadline: when its client stops waiting, or its route's timeout passes, whichever is first.
    pub not_after: Nanos,
    /// The route that matches the request.
    pub route: Rc<Route>,
    /// Model, prefix hashes and token counts of the prompt, from the request's headers.
    pub prompt: Prompt,
    /// The ID of the last event that the client has received; `None` if the client does not resume a stream.
    pub last_event_id: Option<u64>,
    /// The request as it is forwarded to servers.
    pub forwarded: ForwardedRequest,
}

impl DispatcherState {
    /// Submits a request to the balancer of one of its route's services. Returns `None` if a request with the same ID is in progress.
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

    /// Draws the service of a request by the route's weights. On a sticky route, all requests of a session get the same service, as the
    /// session's prefix cache is of use only there.
    fn choose_service(&mut self, route: &Route, prompt: &Prompt) -> ServiceId {
        let draw = match prompt.affinity_key().filter(|_| route.sticky) {
            Some(session) => unit_interval(hash_mix(session ^ fnv1a_hash(route.name.as_bytes()))),
            None => self.draw(),
        };
        let name = select_service(route, draw).unwrap_or_default();
        self.service_id(name)
    }

    /// Starts an attempt that the balancer has decided on. If its server has left the list, the attempt ends as not sent.
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

    /// Ends a request that was never executed, or whose executions all ended with an error response of the server.
    pub(super) fn reject(&mut self, request: RequestId, retry_after: Nanos) {
        let retry_after = retry_after.min(self.max_retry_after(request)).max(MIN_RETRY_AFTER);
        self.finish_with_failure_or(request, Rejection::Overloaded { retry_after });
    }

    /// Upper bound of `Retry-After` so that most of what is left of the request's latency target remains for the retry at another router.
    /// No bound if too little is left for a retry in time.
    fn max_retry_after(&self, request: RequestId) -> Nanos {
        let Some(request) = self.requests.get(&request) else { return Nanos::MAX };
        let target = request.route.latency_target();
        let target_at = request.not_after.min(request.received_at + target);
        let left = target_at.saturating_sub(self.clock.now()) as f64;
        if left < target as f64 * MIN_LEFT_FOR_RETRY_FRACTION {
            return Nanos::MAX;
        }
        (left * MAX_RETRY_AFTER_FRACTION) as Nanos
    }

    /// Ends a request that may have been executed, and whose response is lost.
    pub(super) fn fail(&mut self, request: RequestId) {
        self.finish_with_failure_or(request, Rejection::ResponseLost);
    }

    /// Ends a request with the last error response of a server, or with `rejection` if no server has sent one.
    fn finish_with_failure_or(&mut self, request: RequestId, rejection: Rejection) {
        let failure = self.requests.get_mut(&request).and_then(|request| request.failure.take());
        let response = failure.map_or(ClientResponse::Rejected(rejection), ClientResponse::Complete);
        self.finish(request, response);
    }

    /// Ends a request that no server has served: sends the response and cancels the attempts in flight.
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

    /// Cancels a request whose client has disconnected, and its attempts in flight.
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

    /// Removes a request from the table if the request and all its attempts have ended.
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

/// When the dispatcher ends a request with this deadline if the balancer has not ended it.
fn timeout_at(not_after: Nanos) -> Nanos {
    not_after + REQUEST_TIMEOUT_MARGIN
}

/// How long a server may be silent until it is probed, by the targets of the route.
fn idle_timeouts(route: &Route) -> IdleTimeouts {
    let fraction = |target_ms: f64| {
        let milliseconds = (target_ms * IDLE_TIMEOUT_FRACTION).max(MIN_IDLE_TIMEOUT_MS);
        Duration::from_secs_f64(milliseconds / 1000.0)
    };
    IdleTimeouts { head: fraction(route.latency_target_ms), chunk: fraction(route.event_gap_target_ms) }
}
