//! The calls at this node that have no outcome yet, and the way of each to the leader of its partition.
//!
//! A call may come to several leaders: it is sent again where a leader does not answer, and to each new one. That is safe, as each kind of
//! call may be carried out twice: a lock is given to its holder again, a put is recognised by its value, a number leaves a gap. What has
//! to be kept apart is what may be said of a call that was given up: only where no copy of it can be carried out any longer does it end
//! as not started.

use std::collections::BTreeMap;

use ivyhatch_protocol::coordination::{Call, CallOutcome, NotStarted, Refusal};
use ivyhatch_protocol::ids::{NodeId, PartitionId};
use ivyhatch_protocol::{MILLISECOND, Nanos};

use crate::calls::call_queue::QueuedCall;
use crate::interface::RequestId;
use crate::requests::delivery::{Delivery, DeliveryStep, REQUEST_TIMEOUT, RequestLeader};
use crate::requests::request_queue::Requester;

/// A call without an outcome.
#[derive(Debug)]
struct PendingCall {
    call: Call,
    forward_id: u64,
    expires_at: Nanos,
    delivery: Delivery,
    /// Copies that may have been carried out, or may yet be: each one that was forwarded, and each one that this node has proposed.
    unresolved_copies: u32,
    /// A copy was answered as not begun, by a node that does not lead. That is believed once, and of the only copy: which copy a second such
    /// answer is about, and whether it is the first one doubled, is not known.
    was_rejected: bool,
}

impl PendingCall {
    /// The outcome where the call is given up.
    fn undecided_outcome(&self) -> CallOutcome {
        if self.call.is_read() || self.unresolved_copies == 0 {
            CallOutcome::NotStarted(NotStarted::NoQuorum)
        } else {
            CallOutcome::Unknown
        }
    }

    /// What may be said of the call when one copy of it has ended with this outcome.
    fn outcome_of_all_copies(&self, outcome: CallOutcome) -> CallOutcome {
        if self.call.is_read() || self.unresolved_copies == 0 {
            return outcome;
        }
        match (&outcome, &self.call) {
            // A revision only rises: a put that expects an earlier one fails in each copy.
            (
                CallOutcome::Refused(Refusal::RevisionConflict { revision }),
                Call::PutCell { expected_revision: Some(expected), .. },
            ) if expected < revision => outcome,
            (CallOutcome::Refused(Refusal::RevisionConflict { .. }) | CallOutcome::NotStarted(_), _) => {
                CallOutcome::Unknown
            }
            _ => outcome,
        }
    }
}

/// How a call is brought to the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallRoute {
    /// Into this node's own queue.
    Enqueue(QueuedCall),
    /// To another node.
    Forward {
        /// The leader.
        to: NodeId,
        /// Comes back with the outcome.
        forward_id: u64,
        /// The call.
        call: Call,
    },
}

/// A call that has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedCall {
    /// The caller's request.
    pub id: RequestId,
    /// What became of it.
    pub outcome: CallOutcome,
}

/// The calls without an outcome.
#[derive(Debug, Default)]
pub struct PendingCalls {
    calls: BTreeMap<RequestId, PendingCall>,
    by_forward_id: BTreeMap<u64, RequestId>,
}

impl PendingCalls {
    /// Adds a call. No other call or request of any process has the same `forward_id`.
    pub fn insert(&mut self, now: Nanos, id: RequestId, forward_id: u64, call: Call) {
        let expires_at = now + REQUEST_TIMEOUT + call.wait_ms() * MILLISECOND;
        let pending = PendingCall {
            call,
            forward_id,
            expires_at,
            delivery: Delivery::default(),
            unresolved_copies: 0,
            was_rejected: false,
        };
        self.calls.insert(id, pending);
        self.by_forward_id.insert(forward_id, id);
    }

    /// The calls, in the order in which they came.
    pub fn ids(&self) -> Vec<RequestId> {
        self.calls.keys().copied().collect()
    }

    /// The partition that decides on a call.
    pub fn partition(&self, id: RequestId) -> Option<PartitionId> {
        self.calls.get(&id).map(|pending| pending.call.partition())
    }

    /// Brings a call to the leader, unless it is there or on its way. A leader that does not answer is sent it again, as is every new
    /// leader.
    pub fn route(&mut self, now: Nanos, id: RequestId, leader: RequestLeader) -> Option<CallRoute> {
        let pending = self.calls.get_mut(&id)?;
        match pending.delivery.next_step(now, leader)? {
            DeliveryStep::Enqueue => {
                let (call, expires_at) = (pending.call.clone(), pending.expires_at);
                Some(CallRoute::Enqueue(QueuedCall { requester: Requester::Local(id), call, expires_at }))
            }
            DeliveryStep::Forward(to) => {
                pending.unresolved_copies += 1;
                Some(CallRoute::Forward { to, forward_id: pending.forward_id, call: pending.call.clone() })
            }
        }
    }

    /// This node, as the leader, has proposed what a call asks for.
    pub fn proposed(&mut self, id: RequestId) {
        if let Some(pending) = self.calls.get_mut(&id) {
            pending.unresolved_copies += 1;
        }
    }

    /// This node's own queue of a partition was dropped: its calls are routed anew.
    pub fn requeue(&mut self, partition: PartitionId) {
        for pending in self.calls.values_mut().filter(|pending| pending.call.partition() == partition) {
            pending.delivery.queue_dropped();
        }
    }

    /// Another node has answered a forwarded call. Returns the call where it has ended by that.
    pub fn forwarded_copy_ended(&mut self, forward_id: u64, outcome: CallOutcome) -> Option<EndedCall> {
        let id = *self.by_forward_id.get(&forward_id)?;
        let pending = self.calls.get_mut(&id)?;
        let is_only_copy = pending.unresolved_copies == 1;
        if outcome == CallOutcome::NotStarted(NotStarted::NotLeader) {
            if is_only_copy && !pending.was_rejected {
                (pending.unresolved_copies, pending.was_rejected) = (0, true);
            }
            // It is routed anew, to the same node after a while.
            return None;
        }
        let outcome = if is_only_copy { outcome } else { pending.outcome_of_all_copies(outcome) };
        self.remove(id);
        Some(EndedCall { id, outcome })
    }

    /// This node's own queue has decided on a call. Returns the call where it was pending.
    pub fn local_copy_ended(&mut self, id: RequestId, outcome: CallOutcome) -> Option<EndedCall> {
        let outcome = self.calls.get(&id)?.outcome_of_all_copies(outcome);
        self.remove(id);
        Some(EndedCall { id, outcome })
    }

    /// Removes a call whose caller no longer waits, or that has ended.
    pub fn remove(&mut self, id: RequestId) {
        if let Some(pending) = self.calls.remove(&id) {
            self.by_forward_id.remove(&pending.forward_id);
        }
    }

    /// Removes a call that can't be brought to a leader from here.
    pub fn end_undecided(&mut self, id: RequestId) -> Option<EndedCall> {
        let outcome = self.calls.get(&id)?.undecided_outcome();
        self.remove(id);
        Some(EndedCall { id, outcome })
    }

    /// Removes the calls that have expired.
    pub fn expire(&mut self, now: Nanos) -> Vec<EndedCall> {
        let expired = self.calls.iter().filter(|(_, pending)| now >= pending.expires_at);
        let expired: Vec<RequestId> = expired.map(|(id, _)| *id).collect();
        expired.into_iter().filter_map(|id| self.end_undecided(id)).collect()
    }
}
