//! Connects applications' calls with the partitions: delivery to the leader, decision, and outcome.

use ivyhatch_coordination::{CoordinationState, Decision};
use ivyhatch_protocol::coordination::{Call, CallOutcome, NotStarted};
use ivyhatch_protocol::ids::{NodeId, PartitionId};
use ivyhatch_protocol::peer::PeerMessage;
use ivyhatch_protocol::registers::RegisterChanges;
use ivyhatch_protocol::{MILLISECOND, Nanos, SECOND};

use super::ControlPlane;
use crate::calls::call_queue::{CallQueue, EnqueuedCall, QueuedCall, ReadyOutcome};
use crate::calls::pending_calls::{CallRoute, EndedCall};
use crate::interface::{Output, RequestId};
use crate::log_event::LogEvent;
use crate::requests::delivery::REQUEST_TIMEOUT;
use crate::requests::request_queue::Requester;

/// An expired lock is removed this long after its expiry.
const EXPIRED_LOCK_GRACE: Nanos = 30 * SECOND;
/// The largest number of expired locks that one change removes.
const MAX_LOCKS_REMOVED_PER_CHANGE: usize = 64;

impl ControlPlane {
    pub(super) fn on_call(&mut self, id: RequestId, call: Call) {
        let forward_id = self.requests.next_number();
        self.pending_calls.insert(self.now, id, forward_id, call);
        if !self.config.has_coordination || !self.has_quorum() {
            // This node can't reach a leader: the call fails at once, so that the caller can retry at another node.
            let ended = self.pending_calls.end_undecided(id);
            return self.end_calls(ended);
        }
        self.route_call(id);
    }

    pub(super) fn on_call_cancelled(&mut self, id: RequestId) {
        let Some(partition) = self.pending_calls.partition(id) else { return };
        self.pending_calls.remove(id);
        if let Some(queue) = self.call_queues.get_mut(&partition) {
            queue.cancel(id);
        }
    }

    pub(super) fn route_pending_calls(&mut self) {
        for id in self.pending_calls.ids() {
            self.route_call(id);
        }
    }

    /// Enqueues a call, or forwards it to the leader of its partition. Does nothing while the leader is unknown; each tick tries again.
    fn route_call(&mut self, id: RequestId) {
        let Some(partition) = self.pending_calls.partition(id) else { return };
        let Some(leader) = self.request_leader(partition) else { return };
        match self.pending_calls.route(self.now, id, leader) {
            Some(CallRoute::Enqueue(queued)) => self.enqueue_call(partition, queued),
            Some(CallRoute::Forward { to, forward_id, call }) => {
                let last_heartbeat = self.last_heartbeat_of(to);
                let forward = PeerMessage::ForwardCall { request_id: forward_id, last_heartbeat, call };
                self.outbox.send_to_peer(to, forward);
            }
            None => {}
        }
    }

    /// Handles a call that another node has forwarded. As with operators' requests, a call that may have been delayed for longer than
    /// [`FORWARD_MAX_AGE`](crate::requests::admin_requests::FORWARD_MAX_AGE) is dropped: its caller has retried at another node since.
    pub(super) fn on_forwarded_call(
        &mut self,
        from: NodeId,
        forward_id: u64,
        last_heartbeat: u64,
        call: Call,
    ) {
        if !self.is_fresh_forward(last_heartbeat) {
            return;
        }
        let partition = call.partition();
        let requester = Requester::Remote(from, forward_id);
        if !self.is_leader(partition) {
            return self.send_outcome(requester, CallOutcome::NotStarted(NotStarted::NotLeader));
        }
        let expires_at = self.now + REQUEST_TIMEOUT + call.wait_ms() * MILLISECOND;
        self.enqueue_call(partition, QueuedCall { requester, call, expires_at });
    }

    pub(super) fn on_forwarded_call_outcome(&mut self, forward_id: u64, outcome: CallOutcome) {
        let ended = self.pending_calls.forwarded_copy_ended(forward_id, outcome);
        self.end_calls(ended);
    }

    /// Adds a call to the queue of its partition, which this node leads.
    fn enqueue_call(&mut self, partition: PartitionId, queued: QueuedCall) {
        let Some(queue) = self.call_queues.get_mut(&partition) else { return };
        let requester = queued.requester;
        match queue.enqueue(queued) {
            EnqueuedCall::Queued => self.decide_calls(partition),
            EnqueuedCall::Duplicate => {}
            EnqueuedCall::Answered(outcome) => self.send_outcome(requester, outcome),
            EnqueuedCall::Rejected => {
                self.send_outcome(requester, CallOutcome::NotStarted(NotStarted::Overloaded));
            }
        }
    }

    /// Decides queued calls of a partition that this node leads, until the queue is empty or the limit of proposals in flight is reached.
    pub(super) fn decide_calls(&mut self, partition: PartitionId) {
        while self.partitions.can_propose(partition) && self.prepare_to_decide(partition) {
            let now = self.now;
            let Some(queued) = self.call_queues.get_mut(&partition).and_then(|queue| queue.next(now)) else {
                return;
            };
            self.decide_call(partition, queued);
        }
    }

    /// Returns whether this node, as the leader, may decide calls now. A new leader first commits a barrier (an empty change), and then
    /// reads the partition's state.
    fn prepare_to_decide(&mut self, partition: PartitionId) -> bool {
        let Some(queue) = self.call_queues.get_mut(&partition) else { return false };
        if queue.is_deciding() {
            return true;
        }
        if queue.needs_barrier() {
            // An empty partition needs no barrier before its first call.
            if queue.is_empty() && self.partitions.committed_sequence(partition) == 0 {
                return false;
            }
            queue.barrier_proposed();
            self.propose_registers(partition, Vec::new());
            return false;
        }
        if self.partitions.accepted_sequence(partition) > self.partitions.committed_sequence(partition) {
            return false;
        }
        self.begin_deciding(partition)
    }

    fn begin_deciding(&mut self, partition: PartitionId) -> bool {
        let Some(replica) = self.partitions.replica(partition) else { return false };
        let registers = replica.acceptor().registers();
        let history_retention = self.config.cell_history;
        let Some(state) = CoordinationState::from_registers(self.now, history_retention, registers) else {
            self.outbox.log(LogEvent::StateUndecodable { partition });
            return false;
        };
        self.outbox.log(LogEvent::CoordinationLeader {
            partition,
            locks: state.locks().len(),
            cells: state.cells().len(),
            events: state.cells().history().len(),
        });
        if let Some(queue) = self.call_queues.get_mut(&partition) {
            queue.begin_deciding(state);
        }
        true
    }

    fn decide_call(&mut self, partition: PartitionId, queued: QueuedCall) {
        let sequence = self.partitions.accepted_sequence(partition) + 1;
        let Some(queue) = self.call_queues.get_mut(&partition) else { return };
        let QueuedCall { requester, expires_at, .. } = queued;
        match queue.decide(self.now, sequence, &queued.call) {
            Some(Decision::Respond(outcome)) => {
                self.respond_when_call_confirmed(partition, requester, outcome, expires_at);
            }
            Some(Decision::Propose { changes, reply, publication }) => {
                queue.proposed(sequence, requester, reply, publication);
                if let Requester::Local(id) = requester {
                    self.pending_calls.proposed(id);
                }
                self.propose_registers(partition, changes);
            }
            Some(Decision::Wait) => {
                let wait_ends_at = self.now + queued.call.wait_ms() * MILLISECOND;
                if let Some(ready) = queue.hold_watch(queued, wait_ends_at) {
                    self.send_outcome(ready.requester, ready.outcome);
                }
            }
            None => {}
        }
    }

    fn propose_registers(&mut self, partition: PartitionId, changes: RegisterChanges) {
        let Some(replica) = self.partitions.replica_mut(partition) else { return };
        let mut effects = Vec::new();
        replica.propose(self.now, changes, &mut effects);
        self.apply_effects(partition, effects);
    }

    /// Sends an outcome that proposes no change, once the state that it was decided on is committed and a quorum has confirmed the
    /// leader's ballot: without that confirmation another leader may have changed the state since.
    fn respond_when_call_confirmed(
        &mut self,
        partition: PartitionId,
        requester: Requester,
        outcome: CallOutcome,
        expires_at: Nanos,
    ) {
        let decided_on = self.partitions.accepted_sequence(partition);
        let Some(queue) = self.call_queues.get_mut(&partition) else { return };
        let number = queue.await_confirmation(requester, outcome, decided_on, expires_at);
        self.confirm_leadership(partition, number);
    }

    pub(super) fn on_call_confirmed(&mut self, partition: PartitionId, number: u64) {
        let committed = self.partitions.committed_sequence(partition);
        let queue = self.call_queues.get_mut(&partition);
        let ready = queue.and_then(|queue| queue.confirmed(number, committed));
        self.send_outcomes(partition, ready);
    }

    /// Called when the changes of a partition that this node leads are committed up to this sequence number.
    pub(super) fn on_calls_committed(&mut self, partition: PartitionId, sequence: u64) {
        let queue = self.call_queues.get_mut(&partition);
        let ready = queue.map(|queue| queue.changes_committed(sequence)).unwrap_or_default();
        self.send_outcomes(partition, ready);
        self.decide_calls(partition);
    }

    fn send_outcomes(&mut self, partition: PartitionId, outcomes: impl IntoIterator<Item = ReadyOutcome>) {
        for ready in outcomes {
            if let Some(queue) = self.call_queues.get_mut(&partition) {
                queue.answered(self.now, &ready);
            }
            self.send_outcome(ready.requester, ready.outcome);
        }
    }

    fn send_outcome(&mut self, requester: Requester, outcome: CallOutcome) {
        match requester {
            Requester::Local(id) => {
                let ended = self.pending_calls.local_copy_ended(id, outcome);
                self.end_calls(ended);
            }
            Requester::Remote(to, request_id) => {
                let message = PeerMessage::ForwardCallOutcome { request_id, outcome };
                self.outbox.send_to_peer(to, message);
            }
        }
    }

    fn end_calls(&mut self, ended: impl IntoIterator<Item = EndedCall>) {
        for EndedCall { id, outcome } in ended {
            self.outbox.push(Output::EndCall(id, outcome));
        }
    }

    /// Called when this node no longer leads a partition. Calls that came to this node are routed to the new leader; forwarded calls are
    /// answered with `NotLeader`, so that the nodes that forwarded them route them anew.
    pub(super) fn on_calls_stepped_down(&mut self, partition: PartitionId) {
        let Some(queue) = self.call_queues.get_mut(&partition) else { return };
        let dropped = queue.stepped_down();
        self.pending_calls.requeue(partition);
        for requester in dropped {
            self.send_outcome(requester, CallOutcome::NotStarted(NotStarted::NotLeader));
        }
    }

    pub(super) fn tick_calls(&mut self) {
        let partitions: Vec<PartitionId> = self.call_queues.keys().copied().collect();
        for partition in partitions {
            self.decide_calls(partition);
            self.answer_ended_watches(partition);
            self.remove_expired_locks(partition);
            let now = self.now;
            let expired = self.call_queues.get_mut(&partition).map(|queue| queue.expire(now));
            self.partitions.cancel_confirmations(partition, &expired.unwrap_or_default());
        }
        let expired = self.pending_calls.expire(self.now);
        self.end_calls(expired);
        self.route_pending_calls();
    }

    fn answer_ended_watches(&mut self, partition: PartitionId) {
        let now = self.now;
        let ended = self.call_queues.get_mut(&partition).map(|queue| queue.take_ended_watches(now));
        for (requester, outcome, expires_at) in ended.unwrap_or_default() {
            self.respond_when_call_confirmed(partition, requester, outcome, expires_at);
        }
    }

    fn remove_expired_locks(&mut self, partition: PartitionId) {
        if !self.partitions.can_propose(partition) {
            return;
        }
        let state = self.call_queues.get_mut(&partition).and_then(CallQueue::state_mut);
        let Some(state) = state else { return };
        let changes = state.remove_expired_locks(self.now, EXPIRED_LOCK_GRACE, MAX_LOCKS_REMOVED_PER_CHANGE);
        if !changes.is_empty() {
            self.propose_registers(partition, changes);
        }
    }
}
