//! The operators' requests at this node that have no response yet, and the way of each to the leader of its partition.

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

/// How a request is brought to the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route {
    /// Into this node's own queue.
    Enqueue(QueuedRequest),
    /// To another node.
    Forward {
        /// The leader.
        to: NodeId,
        /// Comes back with the response.
        forward_id: u64,
        /// The request.
        request: AdminRequest,
    },
}

/// The requests without a response.
#[derive(Debug, Default)]
pub struct PendingRequests {
    requests: BTreeMap<RequestId, PendingRequest>,
}

impl PendingRequests {
    /// Adds a request. No other request of any process has the same `forward_id`.
    pub fn insert(&mut self, now: Nanos, id: RequestId, forward_id: u64, request: AdminRequest) {
        let expires_at = now + REQUEST_TIMEOUT;
        let pending = PendingRequest { request, forward_id, expires_at, delivery: Delivery::default() };
        self.requests.insert(id, pending);
    }

    /// The requests, in the order in which they came.
    pub fn ids(&self) -> Vec<RequestId> {
        self.requests.keys().copied().collect()
    }

    /// The partition that decides on a request.
    pub fn partition(&self, id: RequestId) -> Option<PartitionId> {
        self.requests.get(&id).map(|pending| pending.request.partition())
    }

    /// Brings a request to the leader, unless it is there or on its way. A leader that does not respond is sent it again, as is
    /// every new leader.
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

    /// This node's own queue of a partition was dropped: its requests are routed anew.
    pub fn requeue(&mut self, partition: PartitionId) {
        for pending in self.requests.values_mut().filter(|pending| pending.request.partition() == partition) {
            pending.delivery.queue_dropped();
        }
    }

    /// Removes a request. Returns whether it was pending.
    pub fn remove(&mut self, id: RequestId) -> bool {
        self.requests.remove(&id).is_some()
    }

    /// Removes the request that was forwarded under this id.
    pub fn remove_forwarded(&mut self, forward_id: u64) -> Option<RequestId> {
        let (id, _) = self.requests.iter().find(|(_, pending)| pending.forward_id == forward_id)?;
        let id = *id;
        self.requests.remove(&id);
        Some(id)
    }

    /// Removes the requests that have expired.
    pub fn expire(&mut self, now: Nanos) -> Vec<RequestId> {
        let expired = self.requests.extract_if(.., |_, pending| now >= pending.expires_at);
        expired.map(|(id, _)| id).collect()
    }
}
