//! The calls at this node that have no outcome yet, and the delivery of each to the leader of its partition.
//!
//! Several leaders may receive copies of a call: it is sent again to a leader that does not answer, and to each new leader. That is safe,
//! as each kind of call may be executed twice: a lock is granted to its holder again, a repeated put is recognised by its value, and a
//! repeated number leaves a gap. A call that times out ends as not started only where no copy of it can be executed any longer;
//! otherwise its outcome is unknown.

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
    /// The number of copies that may have been executed or may still be: the forwarded copies and those that this node has proposed.
    unresolved_copies: u32,
    /// Whether a node that does not lead has answered `NotLeader` for the only copy. Such an answer counts once, and only while there is
    /// one copy: a second answer may be a duplicate of the first one, and does not say which copy it concerns.
    was_rejected: bool,
}

impl PendingCall {
    /// The outcome of a call that ends without an answer from a leader.
    fn undecided_outcome(&self) -> CallOutcome {
        if self.call.is_read() || self.unresolved_copies == 0 {
            CallOutcome::NotStarted(NotStarted::NoQuorum)
        } else {
            CallOutcome::Unknown
        }
    }

    /// The outcome of the call when one copy of it has ended with `outcome`: `Unknown` where another copy may have a different effect.
    fn outcome_of_all_copies(&self, outcome: CallOutcome) -> CallOutcome {
        if self.call.is_read() || self.unresolved_copies == 0 {
            return outcome;
        }
        match (&outcome, &self.call) {
            // Revisions only increase: a put that expects an earlier revision fails in every copy.
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

/// The next step in the delivery of a call to the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallRoute {
    /// Add the call to this node's own queue.
    Enqueue(QueuedCall),
    /// Send the call to another node.
    Forward {
        /// The leader of the call's partition.
        to: NodeId,
        /// The id that the leader returns with the outcome.
        forward_id: u64,
        /// A copy of the pending call.
        call: Call,
    },
}

/// A call that has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedCall {
    /// The id under which the call came to this node.
    pub id: RequestId,
    /// The outcome to send to the caller.
    pub outcome: CallOutcome,
}

/// The calls without an outcome.
#[derive(Debug, Default)]
pub struct PendingCalls {
    calls: BTreeMap<RequestId, PendingCall>,
    by_forward_id: BTreeMap<u64, RequestId>,
}

impl PendingCalls {
    /// Adds a call. `forward_id` has to be unique among the calls and requests of all processes.
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

    /// The ids of the pending calls, in the order in which the calls came.
    pub fn ids(&self) -> Vec<RequestId> {
        self.calls.keys().copied().collect()
    }

    /// The partition that decides on a call; `None` where the call is not pending.
    pub fn partition(&self, id: RequestId) -> Option<PartitionId> {
        self.calls.get(&id).map(|pending| pending.call.partition())
    }

    /// Returns the next step in the delivery of a call to the leader; `None` while the call is queued at this node or was forwarded to the
    /// leader recently. The call is forwarded again to a leader that does not answer, and to every new leader.
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

    /// Records that this node, as the leader, has proposed the change of a call.
    pub fn proposed(&mut self, id: RequestId) {
        if let Some(pending) = self.calls.get_mut(&id) {
            pending.unresolved_copies += 1;
        }
    }

    /// Marks the calls of a partition for another delivery, as this node's own queue of the partition was dropped.
    pub fn requeue(&mut self, partition: PartitionId) {
        for pending in self.calls.values_mut().filter(|pending| pending.call.partition() == partition) {
            pending.delivery.queue_dropped();
        }
    }

    /// Handles another node's answer to a forwarded call. Returns the call if that answer ends it.
    pub fn forwarded_copy_ended(&mut self, forward_id: u64, outcome: CallOutcome) -> Option<EndedCall> {
        let id = *self.by_forward_id.get(&forward_id)?;
        let pending = self.calls.get_mut(&id)?;
        let is_only_copy = pending.unresolved_copies == 1;
        if outcome == CallOutcome::NotStarted(NotStarted::NotLeader) {
            if is_only_copy && !pending.was_rejected {
                (pending.unresolved_copies, pending.was_rejected) = (0, true);
            }
            // The call stays pending and is routed again; to the same node only after the forward interval.
            return None;
        }
        let outcome = if is_only_copy { outcome } else { pending.outcome_of_all_copies(outcome) };
        self.remove(id);
        Some(EndedCall { id, outcome })
    }

    /// Handles the outcome that this node's own queue decided for a call. Returns the call if it was pending.
    pub fn local_copy_ended(&mut self, id: RequestId, outcome: CallOutcome) -> Option<EndedCall> {
        let outcome = self.calls.get(&id)?.outcome_of_all_copies(outcome);
        self.remove(id);
        Some(EndedCall { id, outcome })
    }

    /// Removes a call that has ended or whose caller no longer waits.
    pub fn remove(&mut self, id: RequestId) {
        if let Some(pending) = self.calls.remove(&id) {
            self.by_forward_id.remove(&pending.forward_id);
        }
    }

    /// Removes a call that can't be delivered to a leader or has expired. Returns the call with its outcome; `None` if it was not
    /// pending.
    pub fn end_undecided(&mut self, id: RequestId) -> Option<EndedCall> {
        let outcome = self.calls.get(&id)?.undecided_outcome();
        self.remove(id);
        Some(EndedCall { id, outcome })
    }

    /// Removes the expired calls, and returns them with their outcomes.
    pub fn expire(&mut self, now: Nanos) -> Vec<EndedCall> {
        let expired = self.calls.iter().filter(|(_, pending)| now >= pending.expires_at);
        let expired: Vec<RequestId> = expired.map(|(id, _)| *id).collect();
        expired.into_iter().filter_map(|id| self.end_undecided(id)).collect()
    }
}
