//! The operators' requests at this node: the requests that came to this node, and the requests queued here for the partitions that this
//! node leads.

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

/// The highest age at which the leader accepts a forwarded request. An older request may have been delayed by a network partition, and
/// must not undo what the operator has done since.
pub const FORWARD_MAX_AGE: Nanos = 1500 * MILLISECOND;
/// The bits of a request's number that are taken from the incarnation of the process; the other bits are a counter.
const INCARNATION_BITS: u64 = 0xffff_ffff_0000_0000;

/// Confirmations of a partition that no response waits for any longer.
#[derive(Debug, PartialEq, Eq)]
pub struct ExpiredConfirmations {
    /// The partition whose leader requested the confirmations.
    pub partition: PartitionId,
    /// The numbers of the confirmations.
    pub numbers: Vec<u64>,
}

/// The operators' requests that wait for a response, and the queue of each partition.
#[derive(Debug)]
pub struct AdminRequests {
    last_number: u64,
    pending: PendingRequests,
    queues: BTreeMap<PartitionId, RequestQueue>,
}

impl AdminRequests {
    /// Creates an empty set of requests. Request numbers begin with bits of the incarnation, so that processes use different numbers.
    pub fn new(incarnation: u64) -> Self {
        Self {
            last_number: incarnation & INCARNATION_BITS,
            pending: PendingRequests::default(),
            queues: PartitionId::control().map(|partition| (partition, RequestQueue::default())).collect(),
        }
    }

    /// Returns a new number, which no other request or call of any process has.
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

    /// The ids of the requests that came to this node and have no response, in the order in which they came.
    pub fn pending_ids(&self) -> Vec<RequestId> {
        self.pending.ids()
    }

    /// The partition that decides on a request; `None` where the request is not pending.
    pub fn partition(&self, id: RequestId) -> Option<PartitionId> {
        self.pending.partition(id)
    }

    /// Returns the next step in the delivery of a pending request to the leader; see [`PendingRequests::route`].
    pub fn route(&mut self, now: Nanos, id: RequestId, leader: RequestLeader) -> Option<Route> {
        self.pending.route(now, id, leader)
    }

    /// Adds a request to the queue of its partition, which this node leads. Returns false where the request is a duplicate or shares a
    /// proposal in flight.
    pub fn enqueue(&mut self, partition: PartitionId, queued: QueuedRequest) -> bool {
        let queue = self.queues.get_mut(&partition);
        queue.is_some_and(|queue| queue.enqueue(queued) == Enqueued::Queued)
    }

    /// Removes and returns the oldest queued request of a partition that has not expired.
    pub fn next(&mut self, now: Nanos, partition: PartitionId) -> Option<QueuedRequest> {
        self.queues.get_mut(&partition)?.next(now)
    }

    /// Records that the change of a request was proposed with this sequence number. The response is sent once that change is committed.
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

    /// Holds a response until the change with this sequence number is committed and the leader's ballot is confirmed after that.
    pub fn await_commit(&mut self, partition: PartitionId, sequence: u64, response: UnconfirmedResponse) {
        if let Some(queue) = self.queues.get_mut(&partition) {
            queue.await_commit(sequence, response);
        }
    }

    /// Holds a response until a quorum has confirmed the leader's ballot. Returns the number of the confirmation that the caller has to
    /// request.
    pub fn await_confirmation(&mut self, partition: PartitionId, response: UnconfirmedResponse) -> u64 {
        let number = self.next_number();
        if let Some(queue) = self.queues.get_mut(&partition) {
            queue.await_confirmation(number, response);
        }
        number
    }

    /// Removes and returns the response that waited for the confirmation of this number, which a quorum has given.
    pub fn confirmed(&mut self, partition: PartitionId, number: u64) -> Option<UnconfirmedResponse> {
        self.queues.get_mut(&partition)?.confirmed(number)
    }

    /// Records that all changes of a partition up to this sequence number are committed. Returns the responses that waited for them.
    pub fn changes_committed(&mut self, partition: PartitionId, sequence: u64) -> CommittedResponses {
        let queue = self.queues.get_mut(&partition);
        queue.map(|queue| queue.changes_committed(sequence)).unwrap_or_default()
    }

    /// Clears the queue of a partition that this node no longer leads. Requests that came to this node are routed to the new leader; other
    /// nodes forward their requests again.
    pub fn stepped_down(&mut self, partition: PartitionId) {
        if let Some(queue) = self.queues.get_mut(&partition) {
            *queue = RequestQueue::default();
        }
        self.pending.requeue(partition);
    }

    /// Removes a request that was answered. Returns whether it was pending.
    pub fn complete(&mut self, id: RequestId) -> bool {
        self.pending.remove(id)
    }

    /// Removes the request that was forwarded under this id and was answered. Returns its id if it was pending.
    pub fn complete_forwarded(&mut self, forward_id: u64) -> Option<RequestId> {
        self.pending.remove_forwarded(forward_id)
    }

    /// Drops expired requests and responses from the queues. Returns the confirmations that no response waits for any longer.
    pub fn expire_queued(&mut self, now: Nanos) -> Vec<ExpiredConfirmations> {
        let expire = |(partition, queue): (&PartitionId, &mut RequestQueue)| ExpiredConfirmations {
            partition: *partition,
            numbers: queue.expire(now),
        };
        self.queues.iter_mut().map(expire).collect()
    }

    /// Removes the pending requests that have expired, and returns their ids.
    pub fn expire_pending(&mut self, now: Nanos) -> Vec<RequestId> {
        self.pending.expire(now)
    }
}
