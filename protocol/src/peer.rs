//! Messages between control nodes.

use speedy::{Readable, Writable};

use crate::ids::{Ballot, NodeId, PartitionId, ReplicaId};
use crate::watch::{Router, ServerListPosition, ServerListUpdate};

/// A control node's seat in the membership: the replica that votes from it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Readable, Writable)]
pub struct Voter {
    /// The replica: its machine, and the disk that it was formatted on.
    pub replica: ReplicaId,
    /// The zone of its machine.
    pub zone: String,
    /// The generation that made it a voter. One that joined after the first generation counts only once it holds the state of a
    /// quorum of the generation before.
    pub joined_generation: u64,
}

/// The replicas that decide together. Each generation is decided by a quorum of the one before, and differs from it in one voter.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Readable, Writable)]
pub struct Membership {
    /// Counts the memberships; the first is 1.
    pub generation: u64,
    /// The voters, ordered by address.
    pub voters: Vec<Voter>,
    /// The voters of the generation before: a new voter takes its state from a quorum of these.
    pub previous: Vec<Voter>,
}

impl Membership {
    /// The number of voters that make a majority.
    pub fn quorum_size(&self) -> usize {
        majority(self.voters.len())
    }

    /// The number of voters that made a majority of the generation before.
    pub fn previous_quorum_size(&self) -> usize {
        majority(self.previous.len())
    }

    /// The addresses of the voters.
    pub fn nodes(&self) -> impl Iterator<Item = NodeId> {
        self.voters.iter().map(|voter| voter.replica.node)
    }

    /// The voter that this replica is, if it is one.
    pub fn voter(&self, replica: ReplicaId) -> Option<&Voter> {
        self.voters.iter().find(|voter| voter.replica == replica)
    }

    /// The voter that this replica was in the generation before, if it was one.
    pub fn previous_voter(&self, replica: ReplicaId) -> Option<&Voter> {
        self.previous.iter().find(|voter| voter.replica == replica)
    }

    /// The next generation: one voter gives its seat to another replica.
    #[must_use]
    pub fn with_replacement(&self, replaced: ReplicaId, successor: ReplicaId, zone: &str) -> Self {
        let generation = self.generation + 1;
        let seat = |voter: &Voter| match voter.replica == replaced {
            true => Voter { replica: successor, zone: zone.to_owned(), joined_generation: generation },
            false => voter.clone(),
        };
        let mut voters: Vec<Voter> = self.voters.iter().map(seat).collect();
        voters.sort_unstable_by_key(|voter| voter.replica);
        Self { generation, voters, previous: self.voters.clone() }
    }
}

/// How many of so many make a majority.
pub fn majority(count: usize) -> usize {
    count / 2 + 1
}

/// Where a control node stands towards the membership.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub enum ReplicaStatus {
    /// It knows of no membership.
    #[default]
    Uninitialized,
    /// It follows what is decided, and does not vote: it is no voter, or does not hold the state yet with which it may vote.
    Learner,
    /// It votes.
    Voter,
    /// It was a voter, and another replica has its seat now. It still hands out its state.
    Removed,
}

/// The value that a replica has accepted for a partition.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Readable, Writable)]
pub struct AcceptedValue {
    /// The ballot of the leader that proposed it.
    pub ballot: Ballot,
    /// Counts the changes of the partition.
    pub sequence: u64,
    /// The value.
    pub value: Vec<u8>,
}

/// What a replica has promised and accepted for a partition.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Readable, Writable)]
pub struct AcceptorState {
    /// Lower ballots are rejected.
    pub promised: Ballot,
    /// The value that was accepted last.
    pub accepted: Option<AcceptedValue>,
}

impl AcceptorState {
    /// Takes over what another replica has promised and accepted, where that is newer.
    pub fn merge(&mut self, other: &Self) {
        let age = |state: &Self| state.accepted.as_ref().map(|value| (value.ballot, value.sequence));
        self.promised = self.promised.max(other.promised);
        if age(other) > age(self) {
            self.accepted.clone_from(&other.accepted);
        }
    }
}

/// A message of the agreement on one partition.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Readable, Writable)]
pub enum ConsensusMessage {
    /// A candidate asks for promises for its ballot.
    Prepare {
        /// Its ballot.
        ballot: Ballot,
    },
    /// The ballot is promised, and the promise is on the disk.
    Promise {
        /// The ballot.
        ballot: Ballot,
        /// What the replica has accepted before.
        accepted: Option<AcceptedValue>,
    },
    /// The leader proposes a value.
    Accept(AcceptedValue),
    /// The value is accepted, and on the disk.
    Accepted {
        /// The leader's ballot.
        ballot: Ballot,
        /// The change.
        sequence: u64,
    },
    /// A higher ballot has been promised.
    Reject {
        /// That ballot.
        promised: Ballot,
    },
    /// A quorum has accepted this change.
    Commit {
        /// The leader's ballot.
        ballot: Ballot,
        /// The change.
        sequence: u64,
    },
    /// Asks for the newest committed value.
    Fetch {
        /// Only a later change is of interest.
        after: u64,
    },
    /// The newest committed value.
    Committed(AcceptedValue),
    /// The leader asks whether its ballot is still the highest that was promised.
    Confirm {
        /// The ballot.
        ballot: Ballot,
        /// Comes back with the answer.
        request_id: u64,
    },
    /// It is.
    Confirmed {
        /// The ballot.
        ballot: Ballot,
        /// As it was asked.
        request_id: u64,
    },
}

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum AdminRequest {
    /// A whole configuration.
    Put {
        /// The version that it builds on.
        base: u64,
        /// The configuration, as it came.
        body: Vec<u8>,
    },
    /// A change of named items.
    Patch {
        /// The version that it builds on.
        base: u64,
        /// The change, as it came.
        body: Vec<u8>,
    },
    /// The newest configuration.
    Read,
    /// Nothing more is to be sent to a zone's servers, or that is withdrawn.
    Evacuate {
        /// The zone.
        zone: String,
        /// Whether it is to be evacuated.
        active: bool,
        /// How often that had changed, as far as the replica knew to which the request came. One that is older than the zone's last
        /// change was given up by its sender, and is not carried out.
        change_count: u64,
    },
}

impl AdminRequest {
    /// The partition that decides on it.
    pub fn partition(&self) -> PartitionId {
        match self {
            Self::Put { .. } | Self::Patch { .. } | Self::Read => PartitionId::CONFIGURATION,
            Self::Evacuate { zone, .. } => PartitionId::for_key(zone),
        }
    }
}

/// What an operator is answered.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum AdminResponse {
    /// It is done, and on the disks of a quorum.
    Applied {
        /// The version that is current with it.
        revision: u64,
    },
    /// The configuration, as text.
    Document(String),
    /// Nothing has been configured yet.
    NotConfigured,
    /// Another version is current.
    Conflict {
        /// That version.
        revision: u64,
    },
    /// It is invalid, and why.
    Invalid(String),
    /// Nobody can tell now; it may have been done. Says what to do.
    Unavailable(String),
}

/// A message from one control node to another.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum PeerMessage {
    /// A sign of life, and how far the sender is.
    Heartbeat(Heartbeat),
    /// A membership that has been decided.
    Membership(Membership),
    /// A replica that may not vote yet asks for the state of one that does.
    StateTransferRequest {
        /// The asking process.
        incarnation: u64,
        /// The membership for which it asks.
        generation: u64,
    },
    /// All that a replica has promised and accepted. It is on its disk, and nothing is added under an older membership.
    StateTransfer {
        /// The asking process.
        incarnation: u64,
        /// The sender's membership.
        generation: u64,
        /// The sender's disk.
        disk: u64,
        /// What it has promised and accepted, by partition.
        partitions: Vec<(PartitionId, AcceptorState)>,
    },
    /// Agreement on one partition, under one membership.
    Consensus {
        /// The sender's membership.
        generation: u64,
        /// The partition.
        partition: PartitionId,
        /// The message.
        message: ConsensusMessage,
    },
    /// An operator's request, for the leader of its partition.
    ForwardRequest {
        /// Comes back with the response.
        request_id: u64,
        /// The number of the leader's heartbeat that the sender has heard last: by it the leader knows how old this may be.
        last_heartbeat: u64,
        /// The request.
        request: AdminRequest,
    },
    /// The response to a forwarded request.
    ForwardResponse {
        /// As it was forwarded.
        request_id: u64,
        /// The response.
        response: AdminResponse,
    },
    /// The routers whose sessions stand with the sender; all of them.
    RouterSessions(Vec<Router>),
    /// News of the list of servers.
    ServerList(ServerListUpdate),
    /// The whole list of servers is wanted.
    ServerListRequest,
}

/// A sign of life.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct Heartbeat {
    /// The sender's process.
    pub incarnation: u64,
    /// Counts the heartbeats of that process.
    pub sequence: u64,
    /// The sender's disk; none where it has no disk, and so can't be a voter.
    pub disk: Option<u64>,
    /// The zone of its machine.
    pub zone: String,
    /// Where the sender stands towards the membership.
    pub status: ReplicaStatus,
    /// The newest membership that it knows; 0 for none.
    pub generation: u64,
    /// It has been told to end.
    pub draining: bool,
    /// From whom it has heard lately.
    pub reachable: Vec<NodeId>,
    /// It hears a quorum of the voters, and they hear it.
    pub has_quorum: bool,
    /// It can read the platform's list.
    pub can_read_server_list: bool,
    /// For each partition, its last committed change as far as the sender knows.
    pub committed: Vec<u64>,
    /// The list of servers that it has.
    pub server_list: ServerListPosition,
}
