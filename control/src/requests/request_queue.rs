//! The requests before the leader of one partition: decided one at a time, and answered once a quorum has stored the change or has
//! confirmed the leader's ballot.

use std::collections::{BTreeMap, VecDeque};

use ivyhatch_protocol::Nanos;
use ivyhatch_protocol::ids::NodeId;
use ivyhatch_protocol::peer::{AdminRequest, AdminResponse};

use crate::consensus::partition_state;
use crate::interface::RequestId;

/// Who is sent the response to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Requester {
    /// An operator, or an application, at this node.
    Local(RequestId),
    /// Another node, which has forwarded the request under this id.
    Remote(NodeId, u64),
}

/// A request that waits for its decision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedRequest {
    /// Who is sent the response.
    pub requester: Requester,
    /// The request.
    pub request: AdminRequest,
    /// It is dropped undecided at this time.
    pub expires_at: Nanos,
}

/// What became of a request that was put into the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Enqueued {
    /// It waits for its decision.
    Queued,
    /// It equals a proposal in flight, and shares that one's response.
    JoinedProposal,
    /// It was in the queue already.
    Duplicate,
}

/// A proposal in flight, and who is sent the response once it is committed.
#[derive(Debug)]
struct OpenProposal {
    digest: u64,
    response: AdminResponse,
    requesters: Vec<Requester>,
}

/// A response that waits until a quorum has confirmed the leader's ballot.
#[derive(Debug, PartialEq, Eq)]
pub struct UnconfirmedResponse {
    /// Who is sent it.
    pub requester: Requester,
    /// The response; `None` for the configuration that is current by then.
    pub response: Option<AdminResponse>,
    /// It is dropped at this time.
    pub expires_at: Nanos,
}

/// A response that is ready to be sent.
#[derive(Debug, PartialEq, Eq)]
pub struct ReadyResponse {
    /// Who is sent it.
    pub requester: Requester,
    /// The response.
    pub response: AdminResponse,
}

/// What a commit allows to be sent.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct CommittedResponses {
    /// Responses to the requests whose changes are committed.
    pub ready: Vec<ReadyResponse>,
    /// Responses that were decided on the state which is committed now, and wait for the confirmation of the leader's ballot.
    pub unconfirmed: Vec<UnconfirmedResponse>,
}

/// The queue of one partition's leader.
#[derive(Debug, Default)]
pub struct RequestQueue {
    waiting: VecDeque<QueuedRequest>,
    /// By the number of the proposed change.
    open_proposals: BTreeMap<u64, OpenProposal>,
    /// Responses that were decided on the state after a change that is not committed yet, by the number of the change.
    uncommitted: BTreeMap<u64, Vec<UnconfirmedResponse>>,
    unconfirmed: BTreeMap<u64, UnconfirmedResponse>,
}

impl RequestQueue {
    /// Puts a request into the queue. A request that is repeated while it waits, or is being agreed on, is not decided twice.
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

    /// Removes the oldest request that has not expired.
    pub fn next(&mut self, now: Nanos) -> Option<QueuedRequest> {
        while let Some(queued) = self.waiting.pop_front() {
            if now < queued.expires_at {
                return Some(queued);
            }
        }
        None
    }

    /// Removes the requests of an operator that no longer waits. Proposals in flight go on.
    pub fn cancel(&mut self, id: RequestId) {
        self.waiting.retain(|queued| queued.requester != Requester::Local(id));
    }

    /// The change that a request asks for is proposed under this number; the response is sent once it is committed.
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

    /// A response waits until the change of this number is committed, and the leader's ballot is confirmed after it.
    pub fn await_commit(&mut self, sequence: u64, response: UnconfirmedResponse) {
        self.uncommitted.entry(sequence).or_default().push(response);
    }

    /// All changes up to this number are committed.
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

    /// A response waits for the confirmation of this number.
    pub fn await_confirmation(&mut self, number: u64, response: UnconfirmedResponse) {
        self.unconfirmed.insert(number, response);
    }

    /// A quorum has confirmed the leader's ballot: the response that has waited for it.
    pub fn confirmed(&mut self, number: u64) -> Option<UnconfirmedResponse> {
        self.unconfirmed.remove(&number)
    }

    /// Drops what has expired. Returns the numbers of confirmations that nothing waits for any longer.
    pub fn expire(&mut self, now: Nanos) -> Vec<u64> {
        self.waiting.retain(|queued| now < queued.expires_at);
        for responses in self.uncommitted.values_mut() {
            responses.retain(|response| now < response.expires_at);
        }
        let expired = self.unconfirmed.extract_if(.., |_, response| now >= response.expires_at);
        expired.map(|(number, _)| number).collect()
    }
}
