//! Messages of the consensus instance of one partition.
//!
//! Each partition is a register that is replicated as in CASPaxos (Rystsov, "CASPaxos: Replicated State
//! Machines without logs"): a change replaces the whole value, and there is no log. A leader runs the first
//! phase of Paxos (Lamport, "Paxos Made Simple", section 2.2) once for its ballot and the second phase once
//! for each change.

use speedy::{Readable, Writable};

use crate::ids::Ballot;

/// A value that an acceptor has accepted.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Readable, Writable)]
pub struct AcceptedValue {
    /// The ballot of the leader that proposed the value.
    pub ballot: Ballot,
    /// The number of the change that made the value, rising by one with each change of the partition. Of two
    /// values under one ballot the one with the higher sequence is newer.
    pub sequence: u64,
    /// The whole state of the partition, encoded.
    pub value: Vec<u8>,
}

/// The durable state of an acceptor of one partition.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Readable, Writable)]
pub struct AcceptorState {
    /// The highest ballot that was promised. Prepare and accept requests with a lower ballot are rejected.
    pub promised: Ballot,
    /// The last value that was accepted.
    pub accepted: Option<AcceptedValue>,
}

impl AcceptorState {
    /// Keeps the higher promise and the newer accepted value of both states. A new voter merges the states of
    /// a quorum of the previous generation before it votes, so that it upholds whatever they have promised
    /// and accepted.
    pub fn merge(&mut self, other: &Self) {
        let version = |state: &Self| state.accepted.as_ref().map(|value| (value.ballot, value.sequence));
        self.promised = self.promised.max(other.promised);
        if version(other) > version(self) {
            self.accepted.clone_from(&other.accepted);
        }
    }
}

/// A message of the consensus instance of one partition.
///
/// Only voters answer `Prepare`, `Accept` and `Confirm`; a replica that may not vote does not answer at all.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Readable, Writable)]
pub enum ConsensusMessage {
    /// Phase 1a, from a candidate to all voters. The receiver promises the ballot, or answers
    /// [`ConsensusMessage::Reject`] if it has promised a higher one.
    Prepare {
        /// The candidate's ballot.
        ballot: Ballot,
    },
    /// Phase 1b, from a voter to the candidate, sent after the promise is durable. A candidate with the
    /// promises of a quorum is the leader and proposes the newest accepted value among them again under its
    /// own ballot.
    Promise {
        /// The ballot that was promised.
        ballot: Ballot,
        /// The last value that the voter has accepted, under a lower ballot.
        accepted: Option<AcceptedValue>,
    },
    /// Phase 2a, from the leader to all voters. The receiver accepts the value, or answers
    /// [`ConsensusMessage::Reject`] if it has promised a higher ballot.
    Accept(AcceptedValue),
    /// Phase 2b, from a voter to the leader, sent after the value is durable. A value that a quorum has
    /// accepted is committed.
    Accepted {
        /// The ballot of the value.
        ballot: Ballot,
        /// The sequence of the value.
        sequence: u64,
    },
    /// From a voter, in answer to a request with a ballot that is lower than its promise. The receiver gives
    /// up candidacy or leadership under any lower ballot.
    Reject {
        /// The highest ballot that the voter has promised.
        promised: Ballot,
    },
    /// From the leader to all nodes, after a quorum has accepted a value. A receiver that has not accepted
    /// this very value asks for it with [`ConsensusMessage::Fetch`].
    Commit {
        /// The ballot of the committed value.
        ballot: Ballot,
        /// The sequence of the committed value.
        sequence: u64,
    },
    /// A request for the newest committed value, from any node to any other. It is answered only if there is
    /// a newer one.
    Fetch {
        /// The sequence of the newest committed value that the sender has; 0 for none.
        after: u64,
    },
    /// The newest committed value, in answer to [`ConsensusMessage::Fetch`].
    Committed(AcceptedValue),
    /// From the leader to all voters, before it answers a read from its committed value: the read is
    /// linearizable once a quorum has confirmed, after the read began, that no higher ballot was promised (as
    /// ReadIndex in Raft).
    Confirm {
        /// The leader's ballot.
        ballot: Ballot,
        /// Returned in the answer; distinguishes the leader's successive requests.
        request_id: u64,
    },
    /// From a voter whose highest promise is the leader's ballot, in answer to [`ConsensusMessage::Confirm`].
    Confirmed {
        /// The leader's ballot.
        ballot: Ballot,
        /// The id of the request.
        request_id: u64,
    },
}
