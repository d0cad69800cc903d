//! The operators' requests on one node: those that came to it, and those before it as the leader of their partition.

use std::collections::BTreeMap;

use ivyhatch_protocol::ids::PartitionId;
use ivyhatch_protocol::peer::{AdminRequest, AdminResponse};
use ivyhatch_protocol::{MILLISECOND, Nanos};

use crate::interface::RequestId;
use crate::requests::delivery::RequestLeader;
use crate::requests::pending_requests::{PendingRequests, Route};
use crate::requests::request_queue::{
    CommittedResponses, Enqueued, QueuedRequest, RequestQueue, UnconfirmedResponse,
};

/// A forwarded request is carried out only while the leader knows that it is no older than this. An older one may have been delayed
/// by a network partition, and what the operator has done since must not be undone by it.
pub const FORWARD_MAX_AGE: Nanos = 1500 * MILLISECOND;
/// The bits of the first number of a process that come from its incarnation; the others count from there.
const INCARNATION_BITS: u64 = 0xffff_ffff_0000_0000;

/// Confirmations of a partition that nothing waits for any longer.
#[derive(Debug, PartialEq, Eq)]
pub struct ExpiredConfirmations {
    /// The partition.
    pub partition: PartitionId,
    /// The numbers of the confirmations.
    pub numbers: Vec<u64>,
}

/// The requests of operators.
#[derive(Debug)]
pub struct AdminRequests {
    last_number: u64,
    pending: PendingRequests,
    queues: BTreeMap<PartitionId, RequestQueue>,
}

impl AdminRequests {
    /// No requests. The numbers of one process are not those of another, as they begin with its incarnation.
    pub fn new(incarnation: u64) -> Self {
        Self {
            last_number: incarnation & INCARNATION_BITS,
            pending: PendingRequests::default(),
            queues: PartitionId::control().map(|partition| (partition, RequestQueue::default())).collect(),
        }
    }

    /// A number that no other request or call of any process has.
    pub fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Adds a request that came to this node.
    pub fn submit(&mut self, now: Nanos, id: RequestId, request: AdminRequest) {
        let forward_id = self.next_number();
        self.pending.insert(now, id, forward_id, request);
    }

    /// Drops a request whose operator no longer waits, unless it has been proposed.
    pub fn cancel(&mut self, id: RequestId) {
        let Some(partition) = self.pending.partition(id) else { return };
        self.pending.remove(id);
        if let Some(queue) = self.queues.get_mut(&partition) {
            queue.cancel(id);
        }
    }

    /// The requests that came to this node and have no response, in the order in which they came.
    pub fn pending_ids(&self) -> Vec<RequestId> {
        self.pending.ids()
    }

    /// The partition that decides on a pending request.
    pub fn partition(&self, id: RequestId) -> Option<PartitionId> {
        self.pending.partition(id)
    }

    /// Brings a pending request to the leader of its partition, unless it is there or on its way.
    pub fn route(&mut self, now: Nanos, id: RequestId, leader: RequestLeader) -> Option<Route> {
        self.pending.route(now, id, leader)
    }

    /// Puts a request before this node, the leader of its partition. Returns whether the queue has grown.
    pub fn enqueue(&mut self, partition: PartitionId, queued: QueuedRequest) -> bool {
        let queue = self.queues.get_mut(&partition);
        queue.is_some_and(|queue| queue.enqueue(queued) == Enqueued::Queued)
    }

    /// Removes the next request of a partition to decide on.
    pub fn next(&mut self, now: Nanos, partition: PartitionId) -> Option<QueuedRequest> {
        self.queues.get_mut(&partition)?.next(now)
    }

    /// The change that a request asks for is proposed under this number; the response is sent once it is committed.
    pub fn add_open_proposal(
        &mut self,
        partition: PartitionId,
        sequence: u64,
        queued: &QueuedRequest,
        response: AdminResponse,
    ) {
        if let Some(queue) = self.queues.get_mut(&partition) {
            queue.add_open_proposal(sequence, &queued.request, queued.requester, response);
        }
    }

    /// A response waits until the change of this number is committed, and the leader's ballot is confirmed after it.
    pub fn await_commit(&mut self, partition: PartitionId, sequence: u64, response: UnconfirmedResponse) {
        if let Some(queue) = self.queues.get_mut(&partition) {
            queue.await_commit(sequence, response);
        }
    }

    /// A response waits until a quorum has confirmed the leader's ballot. Returns the number of that confirmation.
    pub fn await_confirmation(&mut self, partition: PartitionId, response: UnconfirmedResponse) -> u64 {
        let number = self.next_number();
        if let Some(queue) = self.queues.get_mut(&partition) {
            queue.await_confirmation(number, response);
        }
        number
    }

    /// A quorum has confirmed the leader's ballot: the response that has waited for it.
    pub fn confirmed(&mut self, partition: PartitionId, number: u64) -> Option<UnconfirmedResponse> {
        self.queues.get_mut(&partition)?.confirmed(number)
    }

    /// All changes of a partition up to this number are committed.
    pub fn changes_committed(&mut self, partition: PartitionId, sequence: u64) -> CommittedResponses {
        let queue = self.queues.get_mut(&partition);
        queue.map(|queue| queue.changes_committed(sequence)).unwrap_or_default()
    }

    /// This node no longer leads a partition. Requests that came to this node go to the new leader; other nodes forward theirs anew.
    pub fn stepped_down(&mut self, partition: PartitionId) {
        if let Some(queue) = self.queues.get_mut(&partition) {
            *queue = RequestQueue::default();
        }
        self.pending.requeue(partition);
    }

    /// Removes a pending request that has its response. Returns whether it was pending.
    pub fn complete(&mut self, id: RequestId) -> bool {
        self.pending.remove(id)
    }

    /// Removes the pending request that was forwarded under this id, which has its response.
    pub fn complete_forwarded(&mut self, forward_id: u64) -> Option<RequestId> {
        self.pending.remove_forwarded(forward_id)
    }

    /// Drops what has expired in the queues.
    pub fn expire_queued(&mut self, now: Nanos) -> Vec<ExpiredConfirmations> {
        let expire = |(partition, queue): (&PartitionId, &mut RequestQueue)| ExpiredConfirmations {
            partition: *partition,
            numbers: queue.expire(now),
        };
        self.queues.iter_mut().map(expire).collect()
    }

    /// Removes the pending requests that have expired.
    pub fn expire_pending(&mut self, now: Nanos) -> Vec<RequestId> {
        self.pending.expire(now)
    }
}
