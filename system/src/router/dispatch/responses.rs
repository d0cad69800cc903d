//! Handles the reports of attempts: the start of a stream, the load of a server, and the end of the attempt.

use ivyhatch_balancer::{AttemptEnd, Event, LoadReport as BackendLoadReport, Outcome};
use ivyhatch_protocol::{MILLISECOND, Nanos};
use ivyhatch_routing::load_report::LoadReport;

use super::pending_request::AttemptEffect;
use super::state::{DispatcherState, Outputs};
use crate::router::attempt::{AttemptId, AttemptOutcome};
use crate::router::client_response::{ResponseHead, StreamSender};

/// The time in milliseconds within which an interrupted stream should be resumed if its route has no `event_gap_target_ms`.
const DEFAULT_EVENT_GAP_TARGET_MS: f64 = 500.0;

impl DispatcherState {
    pub(super) fn response_started(
        &mut self,
        attempt: AttemptId,
        head: ResponseHead,
        load: Option<LoadReport>,
        outputs: &mut Outputs,
    ) -> Option<StreamSender> {
        let now = self.clock.now();
        let request = self.requests.get_mut(&attempt.request).filter(|request| !request.has_ended)?;
        let in_flight = request.attempt(attempt.number)?;
        let latency = now.saturating_sub(in_flight.started_at);
        in_flight.first_event_latency = Some(latency);
        let stream = request.start_stream(head)?;
        self.log_missed_latency_target(attempt, now, latency, load);
        self.record_load(attempt, load, Some(latency), outputs);
        let started = Event::StreamStarted { request: attempt.request };
        self.handle_event(attempt.server.service, started, outputs);
        Some(stream)
    }

    /// Logs a first event that was received after the route's latency target, with the latency that was expected when the server was
    /// chosen.
    fn log_missed_latency_target(
        &self,
        attempt: AttemptId,
        now: Nanos,
        latency: Nanos,
        load: Option<LoadReport>,
    ) {
        let Some(request) = self.requests.get(&attempt.request) else { return };
        let target = (request.route.latency_target_ms * MILLISECOND as f64) as Nanos;
        if target == 0 || now <= request.received_at + target {
            return;
        }
        let service = self.services.get(&attempt.server.service);
        let expected =
            service.and_then(|service| service.placement.borrow().describe_attempt(attempt.request));
        log::info!(
            "event=latency_target_missed route={} first_event_ms={} at_server_ms={} attempts={} {} load={load:?}",
            request.route.name,
            (now - request.received_at) / MILLISECOND,
            latency / MILLISECOND,
            request.attempts.len(),
            expected.unwrap_or_default(),
        );
    }

    /// Records a server's load from a response, and passes it to the balancer as the result of a probe. `latency` is the time to the first
    /// event of a stream; `None` for a complete response.
    fn record_load(
        &mut self,
        attempt: AttemptId,
        load: Option<LoadReport>,
        latency: Option<Nanos>,
        outputs: &mut Outputs,
    ) {
        let now = self.clock.now();
        let backend = attempt.server.backend;
        let Some(service) = self.services.get(&attempt.server.service) else { return };
        let mut placement = service.placement.borrow_mut();
        if let Some(load) = load {
            placement.record_load_report(now, backend, load);
        }
        if let Some(latency) = latency {
            placement.record_first_token(now, attempt.request, latency);
        }
        let utilisation = placement.utilisation(backend).or_else(|| load.map(|load| load.utilisation()));
        drop(placement);
        if utilisation.is_none() {
            return;
        }
        let in_flight = load.map(|load| load.running + load.waiting);
        let report = BackendLoadReport { utilisation, requests_per_second: None, in_flight };
        let outcome = Outcome::Served;
        let probed = Event::ProbeEnded { backend, outcome, elapsed: latency.unwrap_or(0), report };
        self.handle_event(attempt.server.service, probed, outputs);
    }

    pub(super) fn attempt_finished(
        &mut self,
        attempt: AttemptId,
        finished: AttemptOutcome,
        outputs: &mut Outputs,
    ) {
        let now = self.clock.now();
        let Some(request) = self.requests.get_mut(&attempt.request) else { return };
        let Some(in_flight) = request.take_attempt(attempt.number) else { return };
        let load = finished.load;
        let effect = request.apply_outcome(finished, now);
        let elapsed =
            in_flight.first_event_latency.unwrap_or_else(|| now.saturating_sub(in_flight.started_at));
        let resume_by = now + event_gap_target(request.route.event_gap_target_ms);
        self.record_placement(attempt, &effect, now, elapsed);
        if effect.has_complete_response {
            self.record_load(attempt, load, None, outputs);
        }
        let service = attempt.server.service;
        if effect.is_stream_resumable {
            let interrupted = Event::StreamInterrupted { request: attempt.request, target_at: resume_by };
            self.handle_event(service, interrupted, outputs);
        }
        let end = AttemptEnd {
            request: attempt.request,
            attempt: attempt.number,
            outcome: effect.outcome,
            elapsed,
            request_ended: effect.request_ended,
            report: BackendLoadReport::default(),
        };
        self.handle_event(service, Event::AttemptEnded(end), outputs);
        self.remove_if_done(attempt.request);
    }

    /// Records the outcome of an attempt for the placement of later requests.
    fn record_placement(&mut self, attempt: AttemptId, effect: &AttemptEffect, now: Nanos, elapsed: Nanos) {
        let Some(service) = self.services.get(&attempt.server.service) else { return };
        let mut placement = service.placement.borrow_mut();
        if effect.has_complete_response {
            placement.record_first_token(now, attempt.request, elapsed);
        }
        match effect.outcome {
            Outcome::ConnectFailed => placement.record_connect_failure(now, attempt.server.backend),
            Outcome::Misdirected => placement.record_replaced(attempt.server.backend),
            Outcome::Served | Outcome::Rejected | Outcome::Error => {
                placement.record_response(attempt.server.backend);
            }
            _ => {}
        }
        placement.end_attempt(attempt.request);
    }
}

/// The time within which an interrupted stream should be resumed.
fn event_gap_target(route_target_ms: f64) -> Nanos {
    let milliseconds = if route_target_ms > 0.0 { route_target_ms } else { DEFAULT_EVENT_GAP_TARGET_MS };
    (milliseconds * MILLISECOND as f64) as Nanos
}
