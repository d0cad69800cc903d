//! The requests at the leader of one partition: decided one at a time, and answered once a quorum has stored the change or has
//! confirmed the leader's ballot.

use std::collections::{BTreeMap, VecDeque};

use ivyhatch_protocol::Nanos;
use ivyhatch_protocol::ids::NodeId;
use ivyhatch_protocol::peer::{AdminRequest, AdminResponse};

use crate::consensus::partition_state;
use crate::interface::RequestId;

/// The receiver of the response to a request or call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Requester {
    /// An operator or application whose request or call came to this node.
    Local(RequestId),
    /// Another node, which has forwarded the request or call under this id.
    Remote(NodeId, u64),
}

/// A request that waits for its decision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedRequest {
    /// The receiver of the response.
    pub requester: Requester,
    /// What the operator asks for.
    pub request: AdminRequest,
    /// The time at which an undecided request is dropped from the queue.
    pub expires_at: Nanos,
}

/// The result of adding a request to the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Enqueued {
    /// The request waits for its decision.
    Queued,
    /// The request equals a proposal in flight, and shares the response of that proposal.
    JoinedProposal,
    /// The request is in the queue already, or was decided and its response waits.
    Duplicate,
}

/// A proposal in flight, and the response that the requesters get once it is committed.
#[derive(Debug)]
struct OpenProposal {
    digest: u64,
    response: AdminResponse,
    requesters: Vec<Requester>,
}

/// A response that waits until a quorum has confirmed the leader's ballot.
#[derive(Debug, PartialEq, Eq)]
pub struct UnconfirmedResponse {
    /// The receiver of the response.
    pub requester: Requester,
    /// The response; `None` for the configuration that is current at the confirmation.
    pub response: Option<AdminResponse>,
    /// The time at which the response is dropped.
    pub expires_at: Nanos,
}

/// A response that is ready to be sent.
#[derive(Debug, PartialEq, Eq)]
pub struct ReadyResponse {
    /// The receiver of the response.
    pub requester: Requester,
    /// The response to the requester's request.
    pub response: AdminResponse,
}

/// The responses that a commit releases.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct CommittedResponses {
    /// Responses to the requests whose changes are committed.
    pub ready: Vec<ReadyResponse>,
    /// Responses that were decided on the newly committed state, and still need the confirmation of the leader's ballot.
    pub unconfirmed: Vec<UnconfirmedResponse>,
}

/// The queue of one partition's leader.
#[derive(Debug, Default)]
pub struct RequestQueue {
    waiting: VecDeque<QueuedRequest>,
    /// Proposals in flight, by the sequence number of the proposed change.
    open_proposals: BTreeMap<u64, OpenProposal>,
    /// Responses that were decided on the state after a change that is not committed yet, by the sequence number of that change.
    uncommitted: BTreeMap<u64, Vec<UnconfirmedResponse>>,
    /// Responses by the number of the confirmation that they wait for.
    unconfirmed: BTreeMap<u64, UnconfirmedResponse>,
}

impl RequestQueue {
    /// Adds a request to the queue. A request that is repeated while it waits or while its proposal is in flight is not decided twice.
    pub fn enqueue(&mut self, queued: QueuedRequest) -> Enqueued {
        if self.contains(queued.requester) {
            return Enqueued::Duplicate;
        }
        let digest = partition_state::digest(&queued.request);
        let mut open_proposals = self.open_proposals.values_mut();
        if let Some(open) = open_proposals.find(|open| digest != 0 && open.digest == digest) {
            if !open.requesters.contains(&queued.requester) {
                open.requesters.push(queued.requester);
            }
            return Enqueued::JoinedProposal;
        }
        self.waiting.push_back(queued);
        Enqueued::Queued
    }

    fn contains(&self, requester: Requester) -> bool {
        let mut decided = self.unconfirmed.values().chain(self.uncommitted.values().flatten());
        self.waiting.iter().any(|queued| queued.requester == requester)
            || decided.any(|response| response.requester == requester)
    }

    /// Removes and returns the oldest request that has not expired. Drops expired requests before it.
    pub fn next(&mut self, now: Nanos) -> Option<QueuedRequest> {
        while let Some(queued) = self.waiting.pop_front() {
            if now < queued.expires_at {
                return Some(queued);
            }
        }
        None
    }

    /// Removes the request of an operator that no longer waits. A proposal in flight is not cancelled.
    pub fn cancel(&mut self, id: RequestId) {
        self.waiting.retain(|queued| queued.requester != Requester::Local(id));
    }

    /// Records that the change of a request was proposed with this sequence number. The response is sent once that change is committed.
    pub fn add_open_proposal(
        &mut self,
        sequence: u64,
        request: &AdminRequest,
        requester: Requester,
        response: AdminResponse,
    ) {
        let digest = partition_state::digest(request);
        let open = OpenProposal { digest, response, requesters: vec![requester] };
        self.open_proposals.insert(sequence, open);
    }

    /// Holds a response until the change with this sequence number is committed and the leader's ballot is confirmed after that.
    pub fn await_commit(&mut self, sequence: u64, response: UnconfirmedResponse) {
        self.uncommitted.entry(sequence).or_default().push(response);
    }

    /// Records that all changes up to this sequence number are committed. Returns the responses that waited for them.
    pub fn changes_committed(&mut self, sequence: u64) -> CommittedResponses {
        let proposals = self.open_proposals.extract_if(..=sequence, |_, _| true);
        let ready = proposals.flat_map(|(_, OpenProposal { response, requesters, .. })| {
            let ready = move |requester| ReadyResponse { requester, response: response.clone() };
            requesters.into_iter().map(ready)
        });
        let ready = ready.collect();
        let uncommitted = self.uncommitted.extract_if(..=sequence, |_, _| true);
        CommittedResponses { ready, unconfirmed: uncommitted.flat_map(|(_, responses)| responses).collect() }
    }

    /// Holds a response until the leader's ballot is confirmed under this number.
    pub fn await_confirmation(&mut self, number: u64, response: UnconfirmedResponse) {
        self.unconfirmed.insert(number, response);
    }

    /// Removes and returns the response that waited for the confirmation of this number, which a quorum has given.
    pub fn confirmed(&mut self, number: u64) -> Option<UnconfirmedResponse> {
        self.unconfirmed.remove(&number)
    }

    /// Drops expired requests and responses. Returns the numbers of the confirmations that no response waits for any longer.
    pub fn expire(&mut self, now: Nanos) -> Vec<u64> {
        self.waiting.retain(|queued| now < queued.expires_at);
        for responses in self.uncommitted.values_mut() {
            responses.retain(|response| now < response.expires_at);
        }
        let expired = self.unconfirmed.extract_if(.., |_, response| now >= response.expires_at);
        expired.map(|(number, _)| number).collect()
    }
}
