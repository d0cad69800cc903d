//! What servers answer: the start of a stream, the figures of their load, and the end of an attempt.

use brookfield::{Event, Outcome, Report, Settlement};
use ivyhatch_protocol::{MILLISECOND, Nanos};
use ivyhatch_routing::engine::Load;

use super::attempt::{Ending, Ticket};
use super::state::{Errands, Inner};
use crate::router::answer::{Head, Reply, Sink};

/// A stream that has broken off goes on within the pause that its route allows, or this where it names none.
const GAP: f64 = 500.0;

impl Inner {
    pub(super) fn begun(
        &mut self,
        ticket: Ticket,
        head: Head,
        load: Option<Load>,
        errands: &mut Errands,
    ) -> Option<Sink> {
        let now = self.clock.now();
        let open = self.requests.get_mut(&ticket.request).filter(|open| !open.ended)?;
        let flight = open.attempts.get_mut(ticket.attempt as usize).and_then(Option::as_mut)?;
        let took = now.saturating_sub(flight.since);
        flight.began = Some(took);
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
        let aim = (open.route.target_ms * MILLISECOND as f64) as Nanos;
        if aim > 0 && now > open.came + aim {
            let (route, sent) = (open.route.name.clone(), open.attempts.len());
            let ms = |span: Nanos| span / MILLISECOND;
            let expected = self
                .services
                .get(&ticket.service)
                .and_then(|balanced| balanced.placement.borrow().explain(ticket.request));
            log::info!(
                "event=late route={route} first_ms={} at_server_ms={} attempts={sent} {} load={load:?}",
                ms(now - open.came),
                ms(took),
                expected.unwrap_or_default(),
            );
        }
        self.told(ticket, load, Some(took), errands);
        self.hear(ticket.service, Event::Started { request: ticket.request }, errands);
        Some(sink)
    }

    /// A server's figures, by an answer that has begun to come or has come whole.
    pub(super) fn told(
        &mut self,
        ticket: Ticket,
        load: Option<Load>,
        took: Option<Nanos>,
        errands: &mut Errands,
    ) {
        let now = self.clock.now();
        let Some(balanced) = self.services.get(&ticket.service) else { return };
        let mut placement = balanced.placement.borrow_mut();
        if let Some(load) = load {
            placement.told(now, ticket.backend, load);
        }
        if let Some(took) = took {
            placement.begun(now, ticket.request, took);
        }
        let util = placement.utilisation(ticket.backend).or_else(|| load.map(|load| load.share()));
        drop(placement);
        let (backend, outcome, elapsed) = (ticket.backend, Outcome::Served, took.unwrap_or(0));
        let in_flight = load.map(|load| load.running + load.waiting);
        let report = Report { util, rate: None, in_flight };
        if util.is_some() {
            self.hear(ticket.service, Event::Probed { backend, outcome, elapsed, report }, errands);
        }
    }

    pub(super) fn settled(&mut self, ticket: Ticket, ending: Ending, errands: &mut Errands) {
        let now = self.clock.now();
        let Some(open) = self.requests.get_mut(&ticket.request) else { return };
        let Some(flight) = open.attempts.get_mut(ticket.attempt as usize).and_then(Option::take) else {
            return;
        };
        let Ending { mut outcome, load, answer } = ending;
        let streamed = open.sink.is_some();
        // The rest of a stream is a stream: whatever else answers its continuation does not end it.
        if streamed && answer.is_some() && outcome == Outcome::Served {
            outcome = Outcome::Spoilt;
        }
        let served = outcome == Outcome::Served;
        let took = flight.began.unwrap_or_else(|| now.saturating_sub(flight.since));
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
            streamed && !served && !open.ended && open.route.is_repeatable() && now < open.not_after;
        let ended = open.ended || served || (streamed && !goes_on);
        if ended && !open.ended {
            open.ended = true;
            if let Some(sink) = open.sink.take().filter(|_| served) {
                sink.complete();
            }
        }
        let gap = if open.route.gap_aim_ms > 0.0 { open.route.gap_aim_ms } else { GAP };
        if let Some(balanced) = self.services.get(&ticket.service) {
            let mut placement = balanced.placement.borrow_mut();
            if whole {
                placement.begun(now, ticket.request, took);
            }
            match outcome {
                Outcome::ConnectFailed => placement.unreached(now, ticket.backend),
                Outcome::Served | Outcome::Full | Outcome::Error => placement.reached(ticket.backend),
                _ => {}
            }
            placement.settled(ticket.request);
        }
        if whole {
            self.told(ticket, load, None, errands);
        }
        if goes_on {
            let aim_end = now + (gap * MILLISECOND as f64) as Nanos;
            self.hear(ticket.service, Event::Broken { request: ticket.request, aim_end }, errands);
        }
        let settlement = Settlement {
            request: ticket.request,
            attempt: ticket.attempt,
            outcome,
            elapsed: took,
            ended,
            report: Report::default(),
        };
        self.hear(ticket.service, Event::Settled(settlement), errands);
        self.forget_if_done(ticket.request);
    }
}
