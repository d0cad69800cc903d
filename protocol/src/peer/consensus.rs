//! Messages of the consensus instance of one partition.
//!
//! The contents of a partition are a map of registers ([`crate::registers`]), and its changes are numbered. A leader runs the first
//! phase of Paxos (Lamport, "Paxos Made Simple", section 2.2) once for its ballot and the second phase once for each change. There is
//! no log: a message carries the registers that its receiver lacks, by the numbers of the changes that wrote them.
//!
//! The variants whose names begin with `Legacy` are those of releases before registers, in which the contents were one encoded value.
//! They are exchanged with nodes of such releases only, see [`super::Heartbeat::supports_registers`].

use speedy::{Readable, Writable};

use crate::ids::Ballot;
use crate::registers::{StateUpdate, Version};

/// The whole contents of a partition, as releases before registers encode them.
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

/// The durable state of an acceptor of one partition, as releases before registers encode it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Readable, Writable)]
pub struct LegacyAcceptorState {
    /// The highest ballot that was promised. Prepare and accept requests with a lower ballot are rejected.
    pub promised: Ballot,
    /// The last value that was accepted.
    pub accepted: Option<AcceptedValue>,
}

/// The durable state of an acceptor of one partition.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Readable, Writable)]
pub struct TransferredState {
    /// The highest ballot that was promised.
    pub promised: Ballot,
    /// The version that was accepted last, relative to what the receiver has committed; `None` for none.
    pub accepted: Option<StateUpdate>,
}

/// A message of the consensus instance of one partition.
///
/// Only voters answer `Prepare`, `Accept` and `Confirm`; a replica that may not vote does not answer at all.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Readable, Writable)]
pub enum ConsensusMessage {
    /// [`ConsensusMessage::Prepare`] of a release before registers.
    LegacyPrepare {
        /// The candidate's ballot.
        ballot: Ballot,
    },
    /// [`ConsensusMessage::Promise`] of a release before registers.
    LegacyPromise {
        /// The ballot that was promised.
        ballot: Ballot,
        /// The last value that the voter has accepted, under a lower ballot.
        accepted: Option<AcceptedValue>,
    },
    /// [`ConsensusMessage::Accept`] of a release before registers.
    LegacyAccept(AcceptedValue),
    /// Phase 2b, from a voter to the leader, sent after what it accepted is durable: it has accepted all changes
    /// of the ballot up to this one. A change that a quorum has accepted is committed, and all before it are.
    Accepted {
        /// The ballot.
        ballot: Ballot,
        /// The number of the last change that the voter has accepted.
        sequence: u64,
    },
    /// From a voter, in answer to a request with a ballot that is lower than its promise. The receiver gives
    /// up candidacy or leadership under any lower ballot.
    Reject {
        /// The highest ballot that the voter has promised.
        promised: Ballot,
    },
    /// From the leader to all nodes, after a quorum has accepted a change. A receiver that has not accepted it
    /// asks for it with [`ConsensusMessage::Fetch`].
    Commit {
        /// The ballot of the change.
        ballot: Ballot,
        /// The number of the change.
        sequence: u64,
    },
    /// [`ConsensusMessage::Fetch`] of a release before registers.
    LegacyFetch {
        /// The sequence of the newest committed value that the sender has; 0 for none.
        after: u64,
    },
    /// [`ConsensusMessage::Committed`] of a release before registers.
    LegacyCommitted(AcceptedValue),
    /// From the leader to all voters, before it answers a read from its committed contents: the read is
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
    /// Phase 1a, from a candidate to all voters. The receiver promises the ballot, or answers
    /// [`ConsensusMessage::Reject`] if it has promised a higher one.
    Prepare {
        /// The candidate's ballot.
        ballot: Ballot,
        /// The number of the last change that the candidate knows to be committed; `None` if it needs whole
        /// contents.
        committed: Option<u64>,
        /// The version that the candidate has accepted.
        accepted: Version,
    },
    /// Phase 1b, from a voter to the candidate, sent after the promise is durable. A candidate with the
    /// promises of a quorum is the leader and proposes the newest version among them again under its own
    /// ballot.
    Promise {
        /// The ballot that was promised.
        ballot: Ballot,
        /// The version that the voter has accepted, under a lower ballot; `None` if it is not newer than the
        /// candidate's.
        accepted: Option<StateUpdate>,
        /// The number of the last change that the voter knows to be committed.
        committed: u64,
    },
    /// Phase 2a, from the leader to a voter: one change or several. The receiver accepts them, or answers
    /// [`ConsensusMessage::Reject`] if it has promised a higher ballot, or [`ConsensusMessage::Behind`] if the
    /// update does not apply to what it has.
    Accept(StateUpdate),
    /// From a voter to the leader: the update up to this change does not apply to what the voter has.
    Behind {
        /// The leader's ballot.
        ballot: Ballot,
        /// The number of the update's last change.
        sequence: u64,
        /// The number of the last change that the voter knows to be committed; `None` if it needs whole
        /// contents, as its own differ from the leader's.
        committed: Option<u64>,
    },
    /// A request for what was committed, from any node to any other. It is answered only if there is something
    /// newer.
    Fetch {
        /// The number of the last change that the sender knows to be committed; `None` if it needs whole
        /// contents.
        committed: Option<u64>,
    },
    /// The newest committed version, in answer to [`ConsensusMessage::Fetch`].
    Committed(StateUpdate),
}
