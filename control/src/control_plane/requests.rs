//! Connects operators' requests with the partitions: delivery to the leader, decision, and response.

use ivyhatch_protocol::ids::{NodeId, PartitionId};
use ivyhatch_protocol::peer::{AdminRequest, AdminResponse, PeerMessage};
use ivyhatch_protocol::registers::RegisterChanges;

use super::ControlPlane;
use crate::consensus::partition_state::{Decision, PartitionState};
use crate::interface::{Output, RequestId};
use crate::requests::admin_requests::FORWARD_MAX_AGE;
use crate::requests::delivery::{REQUEST_TIMEOUT, RequestLeader};
use crate::requests::pending_requests::Route;
use crate::requests::request_queue::{QueuedRequest, ReadyResponse, Requester, UnconfirmedResponse};

/// The text of the `Unavailable` response to a request that was not decided in time.
const NO_QUORUM_TEXT: &str =
    "most control nodes can't be reached from this one: send the request again unchanged, to any of them";

impl ControlPlane {
    pub(super) fn on_admin_request(&mut self, id: RequestId, request: AdminRequest) {
        let request = self.with_known_change_count(request);
        self.requests.submit(self.now, id, request);
        self.route_request(id);
    }

    /// Adds to an evacuation request the number of evacuation changes of its zone that this node knows, so that a delayed copy of the
    /// request does not undo a later request: an evacuation has no base revision that would prevent that.
    fn with_known_change_count(&self, request: AdminRequest) -> AdminRequest {
        match request {
            AdminRequest::Evacuate { zone, active, .. } => {
                let state = self.partitions.state(PartitionId::for_key(&zone));
                let change_count = state.map_or(0, |state| state.evacuation_change_count(&zone));
                AdminRequest::Evacuate { zone, active, change_count }
            }
            request => request,
        }
    }

    pub(super) fn route_pending_requests(&mut self) {
        for id in self.requests.pending_ids() {
            self.route_request(id);
        }
    }

    /// The leader of a partition, as the target of a request; `None` while the leader is unknown.
    pub(super) fn request_leader(&self, partition: PartitionId) -> Option<RequestLeader> {
        let leader = self.leader(partition)?;
        let is_local = leader == self.config.node;
        Some(if is_local { RequestLeader::Local } else { RequestLeader::Remote(leader) })
    }

    /// The sequence number of the last heartbeat from another node, which is sent with each call or request forwarded to that node; 0
    /// where there is no current heartbeat.
    pub(super) fn last_heartbeat_of(&self, node: NodeId) -> u64 {
        self.view().current_heartbeat(node).map_or(0, |heartbeat| heartbeat.sequence)
    }

    /// Whether a forwarded call or request is no older than [`FORWARD_MAX_AGE`], measured from the send time of this node's last
    /// heartbeat that the forwarding node had received.
    pub(super) fn is_fresh_forward(&self, last_heartbeat: u64) -> bool {
        let heartbeat_sent_at = self.heartbeats.sent_at(last_heartbeat);
        heartbeat_sent_at.is_some_and(|at| self.now <= at + FORWARD_MAX_AGE)
    }

    /// Enqueues a request, or forwards it to the leader of its partition. Does nothing while the leader is unknown; each tick tries again.
    fn route_request(&mut self, id: RequestId) {
        let Some(partition) = self.requests.partition(id) else { return };
        let Some(leader) = self.request_leader(partition) else { return };
        match self.requests.route(self.now, id, leader) {
            Some(Route::Enqueue(queued)) => self.enqueue_request(partition, queued),
            Some(Route::Forward { to, forward_id, request }) => {
                let last_heartbeat = self.last_heartbeat_of(to);
                let forward = PeerMessage::ForwardRequest { request_id: forward_id, last_heartbeat, request };
                self.outbox.send_to_peer(to, forward);
            }
            None => {}
        }
    }

    /// Handles a request that another node has forwarded. `last_heartbeat`, the last of this node's heartbeats that the forwarding node
    /// had received, bounds the age of the request. A stale request is dropped, as is one whose partition this node does not lead.
    pub(super) fn on_forwarded_request(
        &mut self,
        from: NodeId,
        forward_id: u64,
        last_heartbeat: u64,
        request: AdminRequest,
    ) {
        let partition = request.partition();
        if !self.is_fresh_forward(last_heartbeat) || !self.is_leader(partition) {
            return;
        }
        let requester = Requester::Remote(from, forward_id);
        let queued = QueuedRequest { requester, request, expires_at: self.now + REQUEST_TIMEOUT };
        self.enqueue_request(partition, queued);
    }

    /// Adds a request to the queue of its partition, which this node leads.
    fn enqueue_request(&mut self, partition: PartitionId, queued: QueuedRequest) {
        if self.requests.enqueue(partition, queued) {
            self.decide_requests(partition);
        }
    }

    pub(super) fn on_forwarded_response(&mut self, forward_id: u64, response: AdminResponse) {
        if let Some(id) = self.requests.complete_forwarded(forward_id) {
            self.outbox.push(Output::Respond(id, response));
        }
    }

    /// Decides queued requests of a partition that this node leads, until the queue is empty or the limit of proposals in flight is
    /// reached.
    pub(super) fn decide_requests(&mut self, partition: PartitionId) {
        while self.partitions.can_propose(partition) {
            let Some(queued) = self.requests.next(self.now, partition) else { return };
            self.decide(partition, queued);
        }
    }

    fn decide(&mut self, partition: PartitionId, queued: QueuedRequest) {
        let Some(state) = self.partitions.proposed_state(partition) else { return };
        let decision = state.decide(&queued.request);
        let QueuedRequest { requester, expires_at, .. } = queued;
        match decision {
            Decision::Propose { changes, next, response } => {
                self.propose(partition, &queued, changes, next, response);
            }
            Decision::Respond(response) => {
                let response = Some(response);
                self.respond_once_committed(
                    partition,
                    UnconfirmedResponse { requester, response, expires_at },
                );
            }
            Decision::ReadConfiguration => {
                let unconfirmed = UnconfirmedResponse { requester, response: None, expires_at };
                self.respond_when_confirmed(partition, unconfirmed);
            }
        }
    }

    fn propose(
        &mut self,
        partition: PartitionId,
        queued: &QueuedRequest,
        changes: RegisterChanges,
        next: PartitionState,
        response: AdminResponse,
    ) {
        let Some(replica) = self.partitions.replica_mut(partition) else { return };
        let mut effects = Vec::new();
        if let Some(sequence) = replica.propose(self.now, changes, &mut effects) {
            self.requests.add_open_proposal(partition, sequence, queued, response);
            self.partitions.set_proposed_state(partition, next);
        }
        self.apply_effects(partition, effects);
    }

    /// Sends a response that was decided on the proposed state of a partition, once that state is committed.
    fn respond_once_committed(&mut self, partition: PartitionId, response: UnconfirmedResponse) {
        let proposed = self.partitions.accepted_sequence(partition);
        if proposed > self.partitions.committed_sequence(partition) {
            self.requests.await_commit(partition, proposed, response);
        } else {
            self.respond_when_confirmed(partition, response);
        }
    }

    /// Sends a response once a quorum has confirmed the leader's ballot: without that confirmation another leader may have changed the
    /// state since.
    pub(super) fn respond_when_confirmed(&mut self, partition: PartitionId, response: UnconfirmedResponse) {
        let number = self.requests.await_confirmation(partition, response);
        self.confirm_leadership(partition, number);
    }

    pub(super) fn confirm_leadership(&mut self, partition: PartitionId, number: u64) {
        let Some(replica) = self.partitions.replica_mut(partition) else { return };
        let mut effects = Vec::new();
        replica.confirm(number, &mut effects);
        self.apply_effects(partition, effects);
    }

    pub(super) fn on_quorum_confirmed(&mut self, partition: PartitionId, number: u64) {
        if partition.is_coordination() {
            return self.on_call_confirmed(partition, number);
        }
        let Some(unconfirmed) = self.requests.confirmed(partition, number) else { return };
        let response = unconfirmed.response.unwrap_or_else(|| match self.feed.document() {
            document if document.revision == 0 => AdminResponse::NotConfigured,
            document => AdminResponse::Document(document.to_json()),
        });
        self.respond(ReadyResponse { requester: unconfirmed.requester, response });
    }

    pub(super) fn respond(&mut self, ready: ReadyResponse) {
        let ReadyResponse { requester, response } = ready;
        match requester {
            Requester::Local(id) => {
                if self.requests.complete(id) {
                    self.outbox.push(Output::Respond(id, response));
                }
            }
            Requester::Remote(to, request_id) => {
                self.outbox.send_to_peer(to, PeerMessage::ForwardResponse { request_id, response });
            }
        }
    }

    pub(super) fn expire_requests(&mut self) {
        for expired in self.requests.expire_queued(self.now) {
            self.partitions.cancel_confirmations(expired.partition, &expired.numbers);
        }
        for id in self.requests.expire_pending(self.now) {
            let response = AdminResponse::Unavailable(NO_QUORUM_TEXT.to_owned());
            self.outbox.push(Output::Respond(id, response));
        }
    }
}
