//! Messages of the consensus instance of one partition.
//!
//! The contents of a partition are a map of registers ([`crate::registers`]), and its changes are numbered. A leader
//! runs the first phase of Paxos (Lamport, "Paxos Made Simple", section 2.2) once for its ballot and the second phase
//! once for each change. There is no log: a message carries the registers that were written by the changes that its
//! receiver lacks.
//!
//! The variants whose names begin with `Legacy` are those of releases before registers, in which the contents of a
//! partition were one encoded value. These variants are exchanged only with nodes of such releases; see
//! [`super::Heartbeat::supports_registers`].

use speedy::{Readable, Writable};

use crate::ids::Ballot;
use crate::registers::{StateUpdate, Version};

/// The whole contents of a partition, in the encoding of releases before registers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Readable, Writable)]
pub struct AcceptedValue {
    /// The ballot of the leader that proposed the value.
    pub ballot: Ballot,
    /// The number of the change that produced the value; it increases by one with each change of the partition. Of
    /// two values under one ballot the one with the higher sequence is newer.
    pub sequence: u64,
    /// The whole state of the partition, encoded.
    pub value: Vec<u8>,
}

/// The durable state of an acceptor of one partition, in the encoding of releases before registers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Readable, Writable)]
pub struct LegacyAcceptorState {
    /// The highest ballot that the acceptor has promised. Prepare and accept requests with a lower ballot are
    /// rejected.
    pub promised: Ballot,
    /// The value that the acceptor has accepted last; `None` if it has accepted none.
    pub accepted: Option<AcceptedValue>,
}

/// The durable state of an acceptor of one partition, as sent in a state transfer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Readable, Writable)]
pub struct TransferredState {
    /// The highest ballot that the acceptor has promised.
    pub promised: Ballot,
    /// The update from the receiver's committed version to the version that the acceptor has accepted last; `None`
    /// if it has accepted none.
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
        /// The promised ballot.
        ballot: Ballot,
        /// The value that the voter has accepted last, under a lower ballot; `None` if there is none.
        accepted: Option<AcceptedValue>,
    },
    /// [`ConsensusMessage::Accept`] of a release before registers.
    LegacyAccept(AcceptedValue),
    /// Phase 2b, from a voter to the leader: the voter has accepted all changes of the ballot up to this one. Sent
    /// after these changes are durable. A change that a quorum has accepted is committed, as are all changes before
    /// it.
    Accepted {
        /// The leader's ballot.
        ballot: Ballot,
        /// The number of the last change that the voter has accepted.
        sequence: u64,
    },
    /// From a voter, in answer to a request with a ballot lower than the one that the voter has promised. The
    /// receiver ends its candidacy or leadership under any lower ballot.
    Reject {
        /// The highest ballot that the voter has promised.
        promised: Ballot,
    },
    /// From the leader to all nodes, after a quorum has accepted a change. A receiver that has not accepted the
    /// change requests it with [`ConsensusMessage::Fetch`].
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
    /// From the leader to all voters, before the leader answers a read from its committed contents: the read is
    /// linearizable once a quorum has confirmed, after the read began, that no higher ballot was promised (like
    /// ReadIndex in Raft).
    Confirm {
        /// The leader's ballot.
        ballot: Ballot,
        /// Returned in [`ConsensusMessage::Confirmed`]; distinguishes the leader's successive requests.
        request_id: u64,
    },
    /// From a voter whose highest promise is the leader's ballot, in answer to [`ConsensusMessage::Confirm`].
    Confirmed {
        /// The leader's ballot.
        ballot: Ballot,
        /// The id in [`ConsensusMessage::Confirm`].
        request_id: u64,
    },
    /// Phase 1a, from a candidate to all voters. The receiver promises the ballot, or answers
    /// [`ConsensusMessage::Reject`] if it has promised a higher ballot.
    Prepare {
        /// The candidate's ballot.
        ballot: Ballot,
        /// The number of the last change that the candidate knows to be committed; `None` if the candidate needs
        /// the whole contents.
        committed: Option<u64>,
        /// The version that the candidate has accepted.
        accepted: Version,
    },
    /// Phase 1b, from a voter to the candidate, sent after the promise is durable. A candidate with the
    /// promises of a quorum is the leader, and proposes the newest version in these promises again under its own
    /// ballot.
    Promise {
        /// The promised ballot.
        ballot: Ballot,
        /// The version that the voter has accepted under a lower ballot; `None` if this version is not newer than
        /// that of the candidate.
        accepted: Option<StateUpdate>,
        /// The number of the last change that the voter knows to be committed.
        committed: u64,
    },
    /// Phase 2a, from the leader to a voter: one change or several. The receiver accepts the changes, or answers
    /// [`ConsensusMessage::Reject`] if it has promised a higher ballot, or [`ConsensusMessage::Behind`] if the
    /// update does not apply to its contents.
    Accept(StateUpdate),
    /// From a voter to the leader: the update up to this change does not apply to the voter's contents.
    Behind {
        /// The leader's ballot.
        ballot: Ballot,
        /// The number of the update's last change.
        sequence: u64,
        /// The number of the last change that the voter knows to be committed; `None` if the voter needs the whole
        /// contents, because its own differ from the leader's.
        committed: Option<u64>,
    },
    /// Requests the committed contents, from any node to any other one. The receiver answers only if it knows a
    /// newer committed version than the sender.
    Fetch {
        /// The number of the last change that the sender knows to be committed; `None` if the sender needs the
        /// whole contents.
        committed: Option<u64>,
    },
    /// The newest committed version, in answer to [`ConsensusMessage::Fetch`].
    Committed(StateUpdate),
}
