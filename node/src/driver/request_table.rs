//! The table of open requests and their attempts.

use std::collections::HashMap;
use std::rc::Rc;

use ivyhatch_balancer::{BackendId, Nanos, Outcome, RequestId};
use tokio::sync::oneshot;

use super::attempts::{AttemptKey, InFlight};
use super::ids::RequestIds;
use super::requests::{ForwardedRequest, Reply};

/// The number of requests by their final reply.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplyCounts {
    /// Requests served by a backend.
    pub served: u64,
    /// Requests rejected without having run.
    pub rejected: u64,
    /// Requests that failed and may have run.
    pub failed: u64,
}

impl ReplyCounts {
    fn count(&mut self, reply: &Reply) {
        match reply {
            Reply::Served(_) => self.served += 1,
            Reply::Rejected(_) => self.rejected += 1,
            Reply::Failed => self.failed += 1,
        }
    }
}

/// A request to be added to the table.
pub(super) struct NewRequest {
    pub(super) client_id: Box<str>,
    pub(super) forwarded: Rc<ForwardedRequest>,
    pub(super) reply: oneshot::Sender<Reply>,
    /// When the client stops waiting.
    pub(super) not_after: Nanos,
    /// How long after a first run backends recognise a retry by its idempotency key; `None` for a class without keys.
    pub(super) idempotency_window: Option<Nanos>,
}

pub(super) struct OpenRequest {
    reply: Option<oneshot::Sender<Reply>>,
    forwarded: Rc<ForwardedRequest>,
    client_id: Box<str>,
    not_after: Nanos,
    /// The attempts by number; `None` for an attempt that has ended.
    attempts: Vec<Option<InFlight>>,
    /// The earliest start of the ended attempts that may have run; `None` if there is none.
    pub(super) first_run_at: Option<Nanos>,
    idempotency_window: Option<Nanos>,
    replied: bool,
}

impl OpenRequest {
    /// Whether backends would still recognise the request as a retry if the attempt `attempt` were written now. True if there
    /// is no other attempt that may have run, and for a class without idempotency keys.
    fn is_within_idempotency_window(&self, attempt: u32, now: Nanos) -> bool {
        let others = self.attempts.iter().zip(0..).filter(|(_, number)| *number != attempt);
        let in_flight = others.filter_map(|(other, _)| other.as_ref()).map(|other| other.started_at);
        let first = in_flight.chain(self.first_run_at).min();
        self.idempotency_window.zip(first).is_none_or(|(window, first)| now < first.saturating_add(window))
    }

    fn is_complete(&self) -> bool {
        self.replied && self.attempts.iter().all(Option::is_none)
    }
}

/// An attempt that has been added to the table.
pub(super) struct NewAttempt {
    pub(super) key: AttemptKey,
    pub(super) forwarded: Rc<ForwardedRequest>,
    pub(super) not_after: Nanos,
    pub(super) cancelled: oneshot::Receiver<()>,
}

/// The open requests, and the counts of the replies given.
#[derive(Default)]
pub(super) struct RequestTable {
    requests: HashMap<RequestId, OpenRequest>,
    client_ids: RequestIds,
    next_id: u64,
    reply_counts: ReplyCounts,
}

impl RequestTable {
    /// Adds a request. `None` if its client id is in use.
    pub(super) fn open(&mut self, new: NewRequest, now: Nanos) -> Option<RequestId> {
        if !self.client_ids.reserve(&new.client_id, now) {
            return None;
        }
        let id = RequestId(self.next_id);
        self.next_id += 1;
        let request = OpenRequest {
            reply: Some(new.reply),
            forwarded: new.forwarded,
            client_id: new.client_id,
            not_after: new.not_after,
            attempts: Vec::new(),
            first_run_at: None,
            idempotency_window: new.idempotency_window,
            replied: false,
        };
        self.requests.insert(id, request);
        Some(id)
    }

    /// Adds an attempt of a request; `None` if the request is not in the table.
    pub(super) fn start_attempt(
        &mut self,
        request: RequestId,
        backend: BackendId,
        now: Nanos,
    ) -> Option<NewAttempt> {
        let open = self.requests.get_mut(&request)?;
        let (in_flight, cancelled) = InFlight::start(now);
        let key = AttemptKey { request, attempt: open.attempts.len() as u32, backend };
        open.attempts.push(Some(in_flight));
        Some(NewAttempt { key, forwarded: open.forwarded.clone(), not_after: open.not_after, cancelled })
    }

    /// Cancels an attempt if it is in flight; the transport still reports the attempt's result.
    pub(super) fn cancel_attempt(&mut self, request: RequestId, attempt: u32) {
        let open = self.requests.get_mut(&request);
        let slot = open.and_then(|open| open.attempts.get_mut(attempt as usize));
        if let Some(in_flight) = slot.and_then(Option::as_mut) {
            in_flight.cancel();
        }
    }

    /// Ends an attempt. Returns how long the attempt took; `None` if it had ended already.
    pub(super) fn end_attempt(&mut self, key: AttemptKey, outcome: Outcome, now: Nanos) -> Option<Nanos> {
        let open = self.requests.get_mut(&key.request)?;
        let in_flight = open.attempts.get_mut(key.attempt as usize).and_then(Option::take)?;
        if outcome.may_have_run() {
            open.first_run_at = open.first_run_at.into_iter().chain([in_flight.started_at]).min();
        }
        Some(in_flight.elapsed(now))
    }

    /// Whether an attempt may be written: its request has no reply yet, and is within its deadline and its idempotency window.
    pub(super) fn may_write(&self, key: AttemptKey, now: Nanos) -> bool {
        self.requests.get(&key.request).is_some_and(|open| {
            !open.replied && now < open.not_after && open.is_within_idempotency_window(key.attempt, now)
        })
    }

    /// Gives the final reply to a request; only the first reply is sent. Returns when the client stops waiting; `None` if the
    /// request is not in the table.
    pub(super) fn reply(&mut self, request: RequestId, reply: Reply) -> Option<Nanos> {
        let open = self.requests.get_mut(&request)?;
        if let Some(sender) = open.reply.take() {
            self.reply_counts.count(&reply);
            // Sending fails if the client has disconnected in the meantime.
            let _ = sender.send(reply);
        }
        open.replied = true;
        Some(open.not_after)
    }

    /// Whether the request is in the table and has no reply yet.
    pub(super) fn awaits_reply(&self, request: RequestId) -> bool {
        self.requests.get(&request).is_some_and(|open| !open.replied)
    }

    /// Removes a request if it has its reply and no attempt in flight.
    pub(super) fn remove_if_complete(&mut self, request: RequestId, now: Nanos) {
        if self.requests.get(&request).is_some_and(OpenRequest::is_complete)
            && let Some(open) = self.requests.remove(&request)
        {
            self.client_ids.release(open.client_id, now);
        }
    }

    pub(super) fn reply_counts(&self) -> ReplyCounts {
        self.reply_counts
    }

    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    #[cfg(test)]
    pub(super) fn get_mut(&mut self, request: RequestId) -> Option<&mut OpenRequest> {
        self.requests.get_mut(&request)
    }

    #[cfg(test)]
    pub(super) fn client_ids(&self) -> &RequestIds {
        &self.client_ids
    }
}
