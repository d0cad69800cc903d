//! The operators' requests at this node that have no response yet, and the delivery of each to the leader of its partition.

use std::collections::BTreeMap;

use ivyhatch_protocol::Nanos;
use ivyhatch_protocol::ids::{NodeId, PartitionId};
use ivyhatch_protocol::peer::AdminRequest;

use crate::interface::RequestId;
use crate::requests::delivery::{Delivery, DeliveryStep, REQUEST_TIMEOUT, RequestLeader};
use crate::requests::request_queue::{QueuedRequest, Requester};

/// A request without a response.
#[derive(Debug)]
struct PendingRequest {
    request: AdminRequest,
    forward_id: u64,
    expires_at: Nanos,
    delivery: Delivery,
}

/// The next step in the delivery of a request to the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route {
    /// Add the request to this node's own queue.
    Enqueue(QueuedRequest),
    /// Send the request to another node.
    Forward {
        /// The leader of the request's partition.
        to: NodeId,
        /// The id that the leader returns with the response.
        forward_id: u64,
        /// A copy of the pending request.
        request: AdminRequest,
    },
}

/// The requests without a response.
#[derive(Debug, Default)]
pub struct PendingRequests {
    requests: BTreeMap<RequestId, PendingRequest>,
}

impl PendingRequests {
    /// Adds a request. `forward_id` has to be unique among the calls and requests of all processes.
    pub fn insert(&mut self, now: Nanos, id: RequestId, forward_id: u64, request: AdminRequest) {
        let expires_at = now + REQUEST_TIMEOUT;
        let pending = PendingRequest { request, forward_id, expires_at, delivery: Delivery::default() };
        self.requests.insert(id, pending);
    }

    /// The ids of the pending requests, in the order in which the requests came.
    pub fn ids(&self) -> Vec<RequestId> {
        self.requests.keys().copied().collect()
    }

    /// The partition that decides on a request; `None` where the request is not pending.
    pub fn partition(&self, id: RequestId) -> Option<PartitionId> {
        self.requests.get(&id).map(|pending| pending.request.partition())
    }

    /// Returns the next step in the delivery of a request to the leader; `None` while the request is queued at this node or was forwarded
    /// to the leader recently. The request is forwarded again to a leader that does not respond, and to every new leader.
    pub fn route(&mut self, now: Nanos, id: RequestId, leader: RequestLeader) -> Option<Route> {
        let pending = self.requests.get_mut(&id)?;
        let step = pending.delivery.next_step(now, leader)?;
        let request = pending.request.clone();
        Some(match step {
            DeliveryStep::Enqueue => {
                let (requester, expires_at) = (Requester::Local(id), pending.expires_at);
                Route::Enqueue(QueuedRequest { requester, request, expires_at })
            }
            DeliveryStep::Forward(to) => Route::Forward { to, forward_id: pending.forward_id, request },
        })
    }

    /// Marks the requests of a partition for another delivery, as this node's own queue of the partition was dropped.
    pub fn requeue(&mut self, partition: PartitionId) {
        for pending in self.requests.values_mut().filter(|pending| pending.request.partition() == partition) {
            pending.delivery.queue_dropped();
        }
    }

    /// Removes a request. Returns whether it was pending.
    pub fn remove(&mut self, id: RequestId) -> bool {
        self.requests.remove(&id).is_some()
    }

    /// Removes the request that was forwarded under this id. Returns its id if it was pending.
    pub fn remove_forwarded(&mut self, forward_id: u64) -> Option<RequestId> {
        let (id, _) = self.requests.iter().find(|(_, pending)| pending.forward_id == forward_id)?;
        let id = *id;
        self.requests.remove(&id);
        Some(id)
    }

    /// Removes the requests that have expired, and returns their ids.
    pub fn expire(&mut self, now: Nanos) -> Vec<RequestId> {
        let expired = self.requests.extract_if(.., |_, pending| now >= pending.expires_at);
        expired.map(|(id, _)| id).collect()
    }
}
