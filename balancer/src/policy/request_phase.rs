//! Transitions between the phases of a request, with its insertion into and removal from the pending queue.

use crate::api::{Nanos, RequestId};
use crate::pending_queue::{Band, QueueEntry, TargetGroup};
use crate::state::{Attempt, Balancer, Request, RequestPhase};

impl Request {
    /// The entry of the request in the pending queue. A request none of whose attempts reached a backend
    /// expires at `queue_until`, while its client has time for another attempt; any other at `not_after`.
    fn new_queue_entry(&self) -> QueueEntry {
        let was_never_sent = self.attempts.iter().all(Attempt::never_reached_backend);
        let expires_at = if was_never_sent { self.queue_until } else { self.not_after };
        let band = Band { class: self.class, over_quota: self.over_quota };
        let target_group = TargetGroup { class: self.class, is_retry: !self.attempts.is_empty() };
        QueueEntry::new(band, target_group, self.target_at, expires_at)
    }
}

impl Balancer {
    /// Moves a request to a phase, and into or out of the pending queue. `Ended` is final.
    pub(super) fn set_phase(&mut self, id: RequestId, phase: RequestPhase) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.phase == RequestPhase::Ended {
            return;
        }
        request.phase = phase;
        match (phase, request.queue_entry) {
            (RequestPhase::Queued, None) => {
                request.queue_entry = Some(self.pending.insert(id, request.new_queue_entry()));
            }
            (RequestPhase::Queued, Some(_)) | (_, None) => {}
            (_, Some(entry)) => {
                request.queue_entry = None;
                self.pending.remove(id, entry);
            }
        }
    }

    /// Reopens a request whose streamed response was interrupted, with a new latency target.
    pub(super) fn reopen_stream(&mut self, id: RequestId, target_at: Nanos) {
        self.set_phase(id, RequestPhase::Open);
        if let Some(request) = self.requests.get_mut(&id) {
            request.target_at = target_at.min(request.not_after);
        }
    }
}
