//! Forwards a streamed response to its client, event by event.

use std::pin::pin;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use ivyhatch_balancer::Outcome;
use ivyhatch_routing::event_stream::EventStreamParser;
use ivyhatch_routing::load_report::LoadReport;

use super::Upstream;
use super::response::failure_outcome;
use crate::router::attempt::{AttemptObserver, AttemptSpec};
use crate::router::client_response::ResponseHead;

impl Upstream {
    /// Forwards complete events until the stream ends. The client gets the head together with the first event, and no part of an event
    /// that the server has not completed.
    pub(super) async fn forward_stream(
        &self,
        observer: &impl AttemptObserver,
        spec: &AttemptSpec,
        head: ResponseHead,
        mut body: Incoming,
        load: Option<LoadReport>,
    ) -> Outcome {
        let mut parser = EventStreamParser::resume_after(spec.last_event_id);
        let (mut client, mut head) = (None, Some(head));
        loop {
            let mut frame = pin!(body.frame());
            let Some(frame) = self.await_unless_unreachable(spec, spec.idle_timeouts.chunk, &mut frame).await
            else {
                return Outcome::Reset;
            };
            let data = match frame {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => data,
                    Err(_trailers) => continue,
                },
                Some(Err(error)) => return failure_outcome(&error),
                // The HTTP framing is complete, but the last event is not.
                None if !parser.is_at_event_boundary() => return Outcome::InvalidResponse,
                None => break,
            };
            let events = match parser.feed(&data) {
                Ok(Some(events)) => events,
                Ok(None) => continue,
                Err(error) => {
                    log::warn!("event=upstream_stream_malformed error={:?}", error.to_string());
                    return Outcome::InvalidResponse;
                }
            };
            if let Some(head) = head.take() {
                client = observer.response_started(spec.id, head, load);
            }
            let Some(client) = &client else { return Outcome::Cancelled };
            if !client.send(Bytes::from(events.bytes)).await {
                // The client has disconnected.
                return Outcome::Cancelled;
            }
            observer.events_forwarded(spec.id, events.last_id);
        }
        if let Some(head) = head.take() {
            // The stream has ended without an event: the client gets its head now.
            let _ = observer.response_started(spec.id, head, load);
        }
        Outcome::Served
    }
}
