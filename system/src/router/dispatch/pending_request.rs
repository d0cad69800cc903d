//! A request in progress and its attempts.

use std::rc::Rc;

use ivyhatch_balancer::Outcome;
use ivyhatch_protocol::Nanos;
use ivyhatch_protocol::configuration::Route;
use tokio::sync::oneshot;

use crate::router::attempt::{AttemptOutcome, ForwardedRequest, ServiceId};
use crate::router::client_response::{ClientResponse, CompleteResponse, ResponseHead, StreamSender, stream};

/// An attempt that has not ended.
pub struct InFlightAttempt {
    /// When the balancer decided on the attempt.
    pub started_at: Nanos,
    /// The time from `started_at` to the first event of the attempt's stream; `None` before that event.
    pub first_event_latency: Option<Nanos>,
    /// Cancels the attempt; `None` once it has been cancelled.
    pub cancel: Option<oneshot::Sender<()>>,
}

/// A request in progress: one that has no response yet, whose stream has not ended, or that has an attempt in flight.
pub struct PendingRequest {
    /// The service that was drawn for the request.
    pub service: ServiceId,
    /// The request ID that the client sent.
    pub id: Rc<str>,
    /// The route that matches the request.
    pub route: Rc<Route>,
    /// The request as each attempt sends it.
    pub forwarded: Rc<ForwardedRequest>,
    /// When the request was submitted.
    pub received_at: Nanos,
    /// The request's deadline.
    pub not_after: Nanos,
    /// Sends the response to the client's task; `None` once the response has been sent.
    pub response: Option<oneshot::Sender<ClientResponse>>,
    /// Sends a stream's chunks to the client; `None` before the stream has begun and after it has ended.
    pub stream: Option<StreamSender>,
    /// The ID of the last event that the client has received, from this router or before it resumed the stream; `None` if there is none.
    pub last_event_id: Option<u64>,
    /// The last response by which a server reported its own failure. Sent to the client if no attempt succeeds.
    pub failure: Option<CompleteResponse>,
    /// All attempts in the order in which they were started; `None` for attempts that have ended.
    pub attempts: Vec<Option<InFlightAttempt>>,
    /// Whether the request needs no more attempts: its response is complete or can't be continued, or its client has disconnected.
    pub has_ended: bool,
}

/// The effect of the end of an attempt on its request.
pub struct AttemptEffect {
    /// The outcome that is reported to the balancer. Differs from the attempt's own outcome if an attempt that resumes a stream was
    /// answered with a complete response.
    pub outcome: Outcome,
    /// Whether the attempt has received a complete response, and the request has no stream.
    pub has_complete_response: bool,
    /// Whether the stream was interrupted and may be resumed by another attempt.
    pub is_stream_resumable: bool,
    /// Whether the request has ended, by this attempt or before.
    pub request_ended: bool,
}

impl PendingRequest {
    /// The attempt with this number; `None` if it has ended.
    pub fn attempt(&mut self, number: u32) -> Option<&mut InFlightAttempt> {
        self.attempts.get_mut(number as usize).and_then(Option::as_mut)
    }

    /// Removes an attempt that has ended. Returns `None` if it was removed before.
    pub fn take_attempt(&mut self, number: u32) -> Option<InFlightAttempt> {
        self.attempts.get_mut(number as usize).and_then(Option::take)
    }

    /// Cancels an attempt. The attempt is removed later, when its outcome is reported.
    pub fn cancel_attempt(&mut self, number: u32) {
        if let Some(attempt) = self.attempt(number) {
            attempt.cancel();
        }
    }

    /// Cancels all attempts that have not ended.
    pub fn cancel_attempts(&mut self) {
        self.attempts.iter_mut().flatten().for_each(InFlightAttempt::cancel);
    }

    /// Whether the request and all of its attempts have ended.
    pub fn is_done(&self) -> bool {
        self.has_ended && self.attempts.iter().all(Option::is_none)
    }

    /// Returns the sender of the request's stream to its client. The first call sends the head. Returns `None` if the client has already
    /// got a response.
    pub fn start_stream(&mut self, head: ResponseHead) -> Option<StreamSender> {
        if let Some(sender) = &self.stream {
            // The stream is resumed: the client has received the head already.
            return Some(sender.clone());
        }
        let (sender, receiver) = stream();
        self.stream = Some(sender.clone());
        // Fails if the client has disconnected; the request is then ended when its `RequestGuard` is dropped.
        let _ = self.response.take()?.send(ClientResponse::Stream(head, receiver));
        Some(sender)
    }

    /// Applies the outcome of an attempt: sends a complete response to the client, stores a server's error response, or ends the stream.
    pub fn apply_outcome(&mut self, finished: AttemptOutcome, now: Nanos) -> AttemptEffect {
        let AttemptOutcome { mut outcome, response, .. } = finished;
        let is_streaming = self.stream.is_some();
        // An attempt that resumes a stream must be answered with a stream; a complete response does not complete the stream.
        if is_streaming && response.is_some() && outcome == Outcome::Served {
            outcome = Outcome::InvalidResponse;
        }
        let is_served = outcome == Outcome::Served;
        let response = response.filter(|_| !is_streaming);
        let has_complete_response = response.is_some();
        if let Some(response) = response {
            self.take_response(response, is_served);
        }
        // A stream ends with its last attempt. An interrupted stream is resumed at another server if the route's requests are idempotent.
        let is_stream_resumable = is_streaming
            && !is_served
            && !self.has_ended
            && self.route.is_idempotent()
            && now < self.not_after;
        let request_ended = self.has_ended || is_served || (is_streaming && !is_stream_resumable);
        if request_ended && !self.has_ended {
            self.has_ended = true;
            if let Some(stream) = self.stream.take().filter(|_| is_served) {
                stream.mark_complete();
            }
        }
        AttemptEffect { outcome, has_complete_response, is_stream_resumable, request_ended }
    }

    fn take_response(&mut self, response: CompleteResponse, is_served: bool) {
        if !is_served {
            self.failure = Some(response);
        } else if let Some(sender) = self.response.take() {
            let _ = sender.send(ClientResponse::Complete(response));
        }
    }
}

impl InFlightAttempt {
    fn cancel(&mut self) {
        if let Some(cancel) = self.cancel.take() {
            // Fails only if the attempt has ended, which has dropped the receiver.
            let _ = cancel.send(());
        }
    }
}
