//! What servers answer: the start of a stream, the figures of their load, and the end of an attempt.

use ivyhatch_balancer::{AttemptEnd, Event, LoadReport as BackendLoadReport, Outcome};
use ivyhatch_protocol::{MILLISECOND, Nanos};
use ivyhatch_routing::load_report::LoadReport;

use super::attempt::{Ending, Ticket};
use super::state::{DispatcherState, Outputs};
use crate::router::answer::{Head, Reply, Sink};

/// A stream that has broken off goes on within the pause that its route allows, or this where it names none.
const GAP: f64 = 500.0;

impl DispatcherState {
    pub(super) fn begun(
        &mut self,
        ticket: Ticket,
        head: Head,
        load: Option<LoadReport>,
        outputs: &mut Outputs,
    ) -> Option<Sink> {
        let now = self.clock.now();
        let open = self.requests.get_mut(&ticket.request).filter(|open| !open.ended)?;
        let flight = open.attempts.get_mut(ticket.attempt as usize).and_then(Option::as_mut)?;
        let latency = now.saturating_sub(flight.since);
        flight.began = Some(latency);
        let sink = match &open.sink {
            // It goes on: the client has its head.
            Some(sink) => sink.clone(),
            None => {
                let (sink, pieces) = Sink::new();
                open.sink = Some(sink.clone());
                let reply = open.reply.take()?;
                // A client that has gone is seen by its own end.
                let _ = reply.send(Reply::Stream(head, pieces));
                sink
            }
        };
        let aim = (open.route.latency_target_ms * MILLISECOND as f64) as Nanos;
        if aim > 0 && now > open.came + aim {
            let (route, sent) = (open.route.name.clone(), open.attempts.len());
            let ms = |span: Nanos| span / MILLISECOND;
            let expected = self
                .services
                .get(&ticket.service)
                .and_then(|balanced| balanced.placement.borrow().describe_attempt(ticket.request));
            log::info!(
                "event=late route={route} first_ms={} at_server_ms={} attempts={sent} {} load={load:?}",
                ms(now - open.came),
                ms(latency),
                expected.unwrap_or_default(),
            );
        }
        self.record_load(ticket, load, Some(latency), outputs);
        self.handle_event(ticket.service, Event::StreamStarted { request: ticket.request }, outputs);
        Some(sink)
    }

    /// A server's figures, by an answer that has begun to come or has come whole.
    pub(super) fn record_load(
        &mut self,
        ticket: Ticket,
        load: Option<LoadReport>,
        latency: Option<Nanos>,
        outputs: &mut Outputs,
    ) {
        let now = self.clock.now();
        let Some(balanced) = self.services.get(&ticket.service) else { return };
        let mut placement = balanced.placement.borrow_mut();
        if let Some(load) = load {
            placement.record_load_report(now, ticket.backend, load);
        }
        if let Some(latency) = latency {
            placement.record_first_token(now, ticket.request, latency);
        }
        let util = placement.utilisation(ticket.backend).or_else(|| load.map(|load| load.utilisation()));
        drop(placement);
        let (backend, outcome, elapsed) = (ticket.backend, Outcome::Served, latency.unwrap_or(0));
        let in_flight = load.map(|load| load.running + load.waiting);
        let report = BackendLoadReport { utilisation: util, requests_per_second: None, in_flight };
        if util.is_some() {
            self.handle_event(
                ticket.service,
                Event::ProbeEnded { backend, outcome, elapsed, report },
                outputs,
            );
        }
    }

    pub(super) fn settled(&mut self, ticket: Ticket, ending: Ending, outputs: &mut Outputs) {
        let now = self.clock.now();
        let Some(open) = self.requests.get_mut(&ticket.request) else { return };
        let Some(flight) = open.attempts.get_mut(ticket.attempt as usize).and_then(Option::take) else {
            return;
        };
        let Ending { mut outcome, load, answer } = ending;
        let streamed = open.sink.is_some();
        // The rest of a stream is a stream: whatever else answers its continuation does not end it.
        if streamed && answer.is_some() && outcome == Outcome::Served {
            outcome = Outcome::InvalidResponse;
        }
        let served = outcome == Outcome::Served;
        let latency = flight.began.unwrap_or_else(|| now.saturating_sub(flight.since));
        let whole = answer.is_some() && !streamed;
        if served
            && !streamed
            && let Some((head, body)) = answer
        {
            if let Some(reply) = open.reply.take() {
                let _ = reply.send(Reply::Whole(head, body));
            }
        } else if let Some(answer) = answer.filter(|_| !streamed) {
            open.failure = Some(answer);
        }
        // A stream ends with its last attempt; a broken one goes on elsewhere, where it may.
        let goes_on =
            streamed && !served && !open.ended && open.route.is_idempotent() && now < open.not_after;
        let ended = open.ended || served || (streamed && !goes_on);
        if ended && !open.ended {
            open.ended = true;
            if let Some(sink) = open.sink.take().filter(|_| served) {
                sink.complete();
            }
        }
        let gap = if open.route.event_gap_target_ms > 0.0 { open.route.event_gap_target_ms } else { GAP };
        if let Some(balanced) = self.services.get(&ticket.service) {
            let mut placement = balanced.placement.borrow_mut();
            if whole {
                placement.record_first_token(now, ticket.request, latency);
            }
            match outcome {
                Outcome::ConnectFailed => placement.record_connect_failure(now, ticket.backend),
                Outcome::Served | Outcome::Rejected | Outcome::Error => {
                    placement.record_response(ticket.backend)
                }
                _ => {}
            }
            placement.end_attempt(ticket.request);
        }
        if whole {
            self.record_load(ticket, load, None, outputs);
        }
        if goes_on {
            let aim_end = now + (gap * MILLISECOND as f64) as Nanos;
            self.handle_event(
                ticket.service,
                Event::StreamInterrupted { request: ticket.request, target_at: aim_end },
                outputs,
            );
        }
        let settlement = AttemptEnd {
            request: ticket.request,
            attempt: ticket.attempt,
            outcome,
            elapsed: latency,
            request_ended: ended,
            report: BackendLoadReport::default(),
        };
        self.handle_event(ticket.service, Event::AttemptEnded(settlement), outputs);
        self.forget_if_done(ticket.request);
    }
}
