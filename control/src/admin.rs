//! Operators' requests: each is brought to the leader of its partition, decided there one at a time, and answered once a quorum has
//! stored the change, or has confirmed that the leader still leads.

use std::collections::{BTreeMap, VecDeque};

use ivyhatch_protocol::ids::{NodeId, PartitionId};
use ivyhatch_protocol::peer::{AdminRequest, AdminResponse, PeerMessage};
use ivyhatch_protocol::{MILLISECOND, Nanos};

use crate::control_plane::ControlPlane;
use crate::interface::{Output, RequestId};
use crate::partition_state::{self, Decision};

/// A request is answered within this: operators turn to another node after a second of silence.
const REQUEST_TIMEOUT: Nanos = 920 * MILLISECOND;
/// A request that was forwarded and not answered is forwarded again after this.
const FORWARD_RETRY: Nanos = 300 * MILLISECOND;
/// A forwarded request is carried out only while the leader is sure that it is no older than this. An older one may have been held
/// up by a cut, and overtaken by what the operator did since.
pub(crate) const FORWARD_MAX_AGE: Nanos = 1500 * MILLISECOND;

/// Who waits for a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Waiter {
    Local(RequestId),
    Remote(NodeId, u64),
}

/// A request that came to this node.
#[derive(Debug)]
pub(crate) struct PendingRequest {
    pub(crate) request: AdminRequest,
    number: u64,
    expires: Nanos,
    forwarded: Option<(NodeId, Nanos)>,
    /// It waits in this node's own queue, as this node leads the partition.
    pub(crate) queued: bool,
}

#[derive(Debug)]
struct QueuedRequest {
    waiter: Waiter,
    request: AdminRequest,
    expires: Nanos,
}

/// The change that is being agreed on.
#[derive(Debug)]
struct OpenChange {
    digest: u64,
    response: AdminResponse,
    waiters: Vec<Waiter>,
}

/// A response that goes out once a quorum has confirmed that the leader still leads.
#[derive(Debug)]
struct UnconfirmedResponse {
    waiter: Waiter,
    /// None for the configuration as it is by then.
    response: Option<AdminResponse>,
    expires: Nanos,
}

/// What the leader of a partition has before it.
#[derive(Debug, Default)]
pub(crate) struct PartitionQueue {
    requests: VecDeque<QueuedRequest>,
    open: Option<OpenChange>,
    unconfirmed: BTreeMap<u64, UnconfirmedResponse>,
}

impl PartitionQueue {
    fn holds(&self, waiter: Waiter) -> bool {
        self.requests.iter().any(|queued| queued.waiter == waiter)
            || self.unconfirmed.values().any(|response| response.waiter == waiter)
    }
}

impl ControlPlane {
    pub(crate) fn admin_request(&mut self, id: RequestId, request: AdminRequest, out: &mut Vec<Output>) {
        self.next_number += 1;
        let pending = PendingRequest {
            request: self.with_known_changes(request),
            number: self.next_number,
            expires: self.now + REQUEST_TIMEOUT,
            forwarded: None,
            queued: false,
        };
        self.pending.insert(id, pending);
        self.route(id, out);
    }

    /// An evacuation names no version that it builds on. It gets one: how often the zone had changed as far as this node knows, so
    /// that a copy that was held up does not undo what came after it.
    fn with_known_changes(&self, request: AdminRequest) -> AdminRequest {
        match request {
            AdminRequest::Evacuate { zone, active, .. } => {
                let state = self.states.get(&PartitionId::for_key(&zone));
                let changes = state.map_or(0, |state| state.evacuation_changes(&zone));
                AdminRequest::Evacuate { zone, active, change_count: changes }
            }
            request => request,
        }
    }

    /// The operator has given a request up. What has not been begun is not begun any more.
    pub(crate) fn admin_cancelled(&mut self, id: RequestId) {
        let Some(pending) = self.pending.remove(&id) else { return };
        if let Some(queue) = self.queues.get_mut(&pending.request.partition()) {
            queue.requests.retain(|queued| queued.waiter != Waiter::Local(id));
        }
    }

    pub(crate) fn route_all(&mut self, out: &mut Vec<Output>) {
        for id in self.pending.keys().copied().collect::<Vec<_>>() {
            self.route(id, out);
        }
    }

    /// Brings a request to the leader of its partition, as soon as there is one.
    fn route(&mut self, id: RequestId, out: &mut Vec<Output>) {
        let Some(part) = self.pending.get(&id).map(|pending| pending.request.partition()) else { return };
        let Some(leader) = self.leader(part) else { return };
        let heartbeat = self.heartbeat_of(leader).map_or(0, |heartbeat| heartbeat.sequence);
        let now = self.now;
        let Some(pending) = self.pending.get_mut(&id) else { return };
        if leader == self.identity.node {
            if !std::mem::replace(&mut pending.queued, true) {
                let (request, expires) = (pending.request.clone(), pending.expires);
                self.enqueue(part, QueuedRequest { waiter: Waiter::Local(id), request, expires }, out);
            }
            return;
        }
        let due = |(to, at): (NodeId, Nanos)| to != leader || now >= at + FORWARD_RETRY;
        if pending.forwarded.is_none_or(due) {
            pending.forwarded = Some((leader, now));
            let (number, request) = (pending.number, pending.request.clone());
            out.push(Output::Send(
                leader,
                PeerMessage::ForwardRequest { request_id: number, last_heartbeat: heartbeat, request },
            ));
        }
    }

    pub(crate) fn on_forward(
        &mut self,
        from: NodeId,
        number: u64,
        heard: u64,
        request: AdminRequest,
        out: &mut Vec<Output>,
    ) {
        let part = request.partition();
        let sent = self.heartbeats.iter().find(|(heartbeat, _)| *heartbeat == heard).map(|(_, at)| *at);
        let is_fresh = sent.is_some_and(|at| self.now <= at + FORWARD_MAX_AGE);
        if !is_fresh || self.leader(part) != Some(self.identity.node) {
            return;
        }
        let expires = self.now + REQUEST_TIMEOUT;
        self.enqueue(part, QueuedRequest { waiter: Waiter::Remote(from, number), request, expires }, out);
    }

    /// The leader's response to a request that was forwarded. It names a number that no other request of any process has.
    pub(crate) fn on_forwarded(&mut self, number: u64, response: AdminResponse, out: &mut Vec<Output>) {
        let pending = self.pending.iter().find(|(_, pending)| pending.number == number);
        if let Some(id) = pending.map(|(id, _)| *id) {
            self.pending.remove(&id);
            out.push(Output::Respond(id, response));
        }
    }

    fn enqueue(&mut self, part: PartitionId, queued: QueuedRequest, out: &mut Vec<Output>) {
        let Some(queue) = self.queues.get_mut(&part) else { return };
        if queue.holds(queued.waiter) {
            return;
        }
        // The same request is being agreed on already.
        let digest = partition_state::digest(&queued.request);
        if let Some(open) = queue.open.as_mut().filter(|open| digest != 0 && open.digest == digest) {
            if !open.waiters.contains(&queued.waiter) {
                open.waiters.push(queued.waiter);
            }
            return;
        }
        queue.requests.push_back(queued);
        self.drive(part, out);
    }

    /// Does what is before the leader of a partition, one change at a time.
    pub(crate) fn drive(&mut self, part: PartitionId, out: &mut Vec<Output>) {
        loop {
            let is_ready =
                self.partitions.get(&part).is_some_and(|partition| partition.ready_ballot().is_some());
            let queue = self.queues.get_mut(&part).filter(|_| is_ready);
            let Some(queued) = queue.and_then(|queue| queue.requests.pop_front()) else { return };
            if self.now < queued.expires {
                self.decide(part, queued, out);
            }
        }
    }

    fn decide(&mut self, part: PartitionId, queued: QueuedRequest, out: &mut Vec<Output>) {
        let (Some(partition), Some(queue), Some(state)) =
            (self.partitions.get_mut(&part), self.queues.get_mut(&part), self.states.get(&part))
        else {
            return;
        };
        let QueuedRequest { waiter, request, expires } = queued;
        let mut effects = Vec::new();
        let response = match state.decide(&request) {
            Decision::Propose { value, response } => {
                let digest = partition_state::digest(&request);
                queue.open = Some(OpenChange { digest, response, waiters: vec![waiter] });
                partition.propose(self.now, value, &mut effects);
                return self.carry_out(part, effects, out);
            }
            Decision::Respond(response) => Some(response),
            Decision::ReadConfiguration => None,
        };
        // Also that nothing changes is said only by a leader that is sure to lead still.
        self.next_number += 1;
        queue.unconfirmed.insert(self.next_number, UnconfirmedResponse { waiter, response, expires });
        partition.confirm(self.next_number, &mut effects);
        self.carry_out(part, effects, out);
    }

    pub(crate) fn quorum_confirmed(&mut self, part: PartitionId, number: u64, out: &mut Vec<Output>) {
        let unconfirmed = self.queues.get_mut(&part).and_then(|queue| queue.unconfirmed.remove(&number));
        let Some(unconfirmed) = unconfirmed else { return };
        let response = unconfirmed.response.unwrap_or_else(|| match self.feed.document() {
            document if document.revision == 0 => AdminResponse::NotConfigured,
            document => AdminResponse::Document(document.to_json()),
        });
        self.respond(unconfirmed.waiter, response, out);
    }

    /// The change that was proposed is committed: whoever waits for it is answered.
    pub(crate) fn answer_proposal(&mut self, part: PartitionId, out: &mut Vec<Output>) {
        let Some(open) = self.queues.get_mut(&part).and_then(|queue| queue.open.take()) else { return };
        for waiter in open.waiters {
            self.respond(waiter, open.response.clone(), out);
        }
    }

    fn respond(&mut self, waiter: Waiter, response: AdminResponse, out: &mut Vec<Output>) {
        match waiter {
            Waiter::Local(id) => {
                if self.pending.remove(&id).is_some() {
                    out.push(Output::Respond(id, response));
                }
            }
            Waiter::Remote(to, number) => {
                out.push(Output::Send(to, PeerMessage::ForwardResponse { request_id: number, response }));
            }
        }
    }

    pub(crate) fn expire_requests(&mut self, out: &mut Vec<Output>) {
        let now = self.now;
        for (part, queue) in &mut self.queues {
            queue.requests.retain(|queued| now < queued.expires);
            let late: Vec<u64> = queue
                .unconfirmed
                .extract_if(.., |_, one| now >= one.expires)
                .map(|(number, _)| number)
                .collect();
            let partition = self.partitions.get_mut(part);
            partition
                .into_iter()
                .for_each(|partition| late.iter().for_each(|number| partition.cancel_confirmation(*number)));
        }
        let late = self.pending.extract_if(.., |_, pending| now >= pending.expires);
        let text =
            "most control nodes can't be reached from here now: send it again unchanged, to any of them";
        out.extend(late.map(|(id, _)| Output::Respond(id, AdminResponse::Unavailable(text.to_owned()))));
    }
}
