//! A request in progress, and its attempts.

use std::rc::Rc;

use ivyhatch_balancer::Outcome;
use ivyhatch_protocol::Nanos;
use ivyhatch_protocol::configuration::Route;
use tokio::sync::oneshot;

use crate::router::attempt::{AttemptOutcome, ForwardedRequest, ServiceId};
use crate::router::client_response::{ClientResponse, CompleteResponse, ResponseHead, StreamSender, stream};

/// An attempt that has not ended.
pub struct InFlightAttempt {
    /// When the balancer decided on it.
    pub started_at: Nanos,
    /// The time from then to the first event of its stream.
    pub first_event_latency: Option<Nanos>,
    /// Cancels the attempt.
    pub cancel: Option<oneshot::Sender<()>>,
}

/// A request in progress: it has no response yet, its stream is under way, or an attempt of it has not ended.
pub struct PendingRequest {
    /// The service that its route chose.
    pub service: ServiceId,
    /// The client's id of it.
    pub id: Rc<str>,
    /// Its route.
    pub route: Rc<Route>,
    /// What each attempt sends.
    pub forwarded: Rc<ForwardedRequest>,
    /// When it was submitted.
    pub received_at: Nanos,
    /// When its client stops waiting.
    pub not_after: Nanos,
    /// Takes the response; none once that is sent.
    pub response: Option<oneshot::Sender<ClientResponse>>,
    /// The way to the client of a stream that has begun.
    pub stream: Option<StreamSender>,
    /// The last event that the client has.
    pub last_event_id: Option<u64>,
    /// The last response by which a server reported its own failure.
    pub failure: Option<CompleteResponse>,
    /// All attempts in their order; none for those that have ended.
    pub attempts: Vec<Option<InFlightAttempt>>,
    /// Whether the client has its response to the end, or has disconnected.
    pub has_ended: bool,
}

/// What the end of an attempt means for its request.
pub struct AttemptEffect {
    /// The outcome as the balancer should see it.
    pub outcome: Outcome,
    /// Whether the attempt brought a complete response to a request without a stream.
    pub has_complete_response: bool,
    /// Whether the stream broke, and may be resumed by another attempt.
    pub is_stream_resumable: bool,
    /// Whether the request has ended.
    pub request_ended: bool,
}

impl PendingRequest {
    /// An attempt that has not ended.
    pub fn attempt(&mut self, number: u32) -> Option<&mut InFlightAttempt> {
        self.attempts.get_mut(number as usize).and_then(Option::as_mut)
    }

    /// Removes an attempt that has ended. None where it was removed before.
    pub fn take_attempt(&mut self, number: u32) -> Option<InFlightAttempt> {
        self.attempts.get_mut(number as usize).and_then(Option::take)
    }

    /// Cancels an attempt. Its own outcome follows, or is on its way already.
    pub fn cancel_attempt(&mut self, number: u32) {
        if let Some(attempt) = self.attempt(number) {
            attempt.cancel();
        }
    }

    /// Cancels all attempts.
    pub fn cancel_attempts(&mut self) {
        self.attempts.iter_mut().flatten().for_each(InFlightAttempt::cancel);
    }

    /// Whether the request and all of its attempts have ended.
    pub fn is_done(&self) -> bool {
        self.has_ended && self.attempts.iter().all(Option::is_none)
    }

    /// The way to the client of this request's stream; the first call sends the head. None where the client has its response.
    pub fn start_stream(&mut self, head: ResponseHead) -> Option<StreamSender> {
        if let Some(sender) = &self.stream {
            // A resumed stream: the client has its head.
            return Some(sender.clone());
        }
        let (sender, receiver) = stream();
        self.stream = Some(sender.clone());
        // Where the client has disconnected, its guard's drop is what ends the request.
        let _ = self.response.take()?.send(ClientResponse::Stream(head, receiver));
        Some(sender)
    }

    /// Applies the outcome of an attempt: answers the client, keeps a failure for later, or completes the stream.
    pub fn apply_outcome(&mut self, finished: AttemptOutcome, now: Nanos) -> AttemptEffect {
        let AttemptOutcome { mut outcome, response, .. } = finished;
        let is_streaming = self.stream.is_some();
        // A resumed stream must be a stream: another response to its attempt does not complete it.
        if is_streaming && response.is_some() && outcome == Outcome::Served {
            outcome = Outcome::InvalidResponse;
        }
        let is_served = outcome == Outcome::Served;
        let response = response.filter(|_| !is_streaming);
        let has_complete_response = response.is_some();
        if let Some(response) = response {
            self.take_response(response, is_served);
        }
        // A stream ends with its last attempt; a broken one is resumed at another server, where its route allows that.
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
            // Where the attempt has ended meanwhile, its receiver is gone.
            let _ = cancel.send(());
        }
    }
}
