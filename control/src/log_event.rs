//! Typed events for the operator's log; [`LogEvent::name`] and `Display` give their text form.

use std::fmt;

use ivyhatch_protocol::ids::{Ballot, PartitionId, ReplicaId};
use ivyhatch_protocol::peer::ReplicaStatus;
use ivyhatch_protocol::watch::Server;

/// Why a disk is formatted at the start of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FormatReason {
    /// The disk holds no records.
    EmptyDisk,
    /// The disk was formatted on another machine: a copy, or a disk that was moved. The promises on it are another replica's.
    AnotherMachinesDisk,
}

impl fmt::Display for FormatReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::EmptyDisk => "empty_disk",
            Self::AnotherMachinesDisk => "another_machines_disk",
        })
    }
}

/// Where a version of the server list came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerListSource {
    /// Read from the platform by this node for its own use, before any control node has the reader's role.
    Bootstrap,
    /// Read from the platform by this node, in the reader's role.
    Platform,
    /// Replicated from another control node.
    Peer,
}

impl fmt::Display for ServerListSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Bootstrap => "bootstrap",
            Self::Platform => "platform",
            Self::Peer => "peer",
        })
    }
}

/// An event for the operator's log. `docs/operators/system.md` describes what to do about each event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// The disk has been formatted as this replica's.
    DiskFormatted {
        /// The replica that the disk belongs to from now on.
        replica: ReplicaId,
        /// Why the disk was formatted.
        reason: FormatReason,
    },
    /// Contact with a quorum of the voters was made or lost.
    QuorumContact {
        /// Whether there is contact now.
        in_contact: bool,
    },
    /// This replica's status in the membership has changed.
    ReplicaStatus {
        /// The new status.
        status: ReplicaStatus,
        /// The membership's generation; 0 for none.
        generation: u64,
    },
    /// A newer membership is in force.
    Membership {
        /// The membership's generation.
        generation: u64,
        /// The membership's voters.
        voters: Vec<ReplicaId>,
    },
    /// A membership was committed that this release can't decode.
    MembershipUndecodable {
        /// The decoder's error.
        error: String,
    },
    /// A partition's state was committed that this release can't decode.
    StateUndecodable {
        /// The partition with that state.
        partition: PartitionId,
    },
    /// The contents of a partition here differ from those of another replica, and are replaced by that replica's complete contents.
    ContentsDiverged {
        /// The partition whose contents differ.
        partition: PartitionId,
    },
    /// This node no longer leads a partition, nor contends for it.
    SteppedDown {
        /// The partition that this node led or contended for.
        partition: PartitionId,
    },
    /// This node has begun to decide on applications' calls in a partition.
    CoordinationLeader {
        /// The partition of the calls.
        partition: PartitionId,
        /// The number of stored locks.
        locks: usize,
        /// The number of stored cells.
        cells: usize,
        /// The number of puts in the history for watches.
        events: usize,
    },
    /// A configuration was committed.
    Configuration {
        /// The configuration's revision, assigned by operators.
        revision: u64,
        /// The sequence number of the change in the configuration's partition.
        sequence: u64,
        /// The ballot under which the change was committed.
        ballot: Ballot,
    },
    /// This node has started or stopped reading the platform's list of servers.
    ServerListReader {
        /// The ballot under which this node reads the list; `None` where it has stopped.
        ballot: Option<Ballot>,
    },
    /// Another node has read the list under a higher ballot: this node has to renew its ballot before its next read.
    ServerListReaderSuperseded {
        /// The other node's ballot.
        superseded_by: Ballot,
    },
    /// A read of the platform's list has failed.
    ServerListReadFailed {
        /// The number of failed reads since the last success, yield of the role or change of ballot.
        consecutive_failures: u32,
    },
    /// A newer version of the server list is in force.
    ServerList {
        /// The source of the version.
        source: ServerListSource,
        /// The reader's ballot.
        ballot: Ballot,
        /// The number of the version under that ballot.
        number: u64,
        /// The number of servers in the list.
        servers: usize,
    },
    /// A server was added to the list or has changed.
    ServerChanged(Server),
}

impl LogEvent {
    /// The event's name.
    pub fn name(&self) -> &'static str {
        match self {
            Self::DiskFormatted { .. } => "disk_formatted",
            Self::QuorumContact { .. } => "quorum",
            Self::ReplicaStatus { .. } => "replica",
            Self::Membership { .. } => "membership",
            Self::MembershipUndecodable { .. } => "membership_undecodable",
            Self::StateUndecodable { .. } => "state_undecodable",
            Self::ContentsDiverged { .. } => "contents_diverged",
            Self::SteppedDown { .. } => "stepped_down",
            Self::CoordinationLeader { .. } => "coordination_leader",
            Self::Configuration { .. } => "configuration",
            Self::ServerListReader { .. } | Self::ServerListReaderSuperseded { .. } => "server_list_reader",
            Self::ServerListReadFailed { .. } => "server_list_read_failed",
            Self::ServerList { .. } => "server_list",
            Self::ServerChanged(_) => "server_changed",
        }
    }
}

/// The event's fields, as `key=value` pairs with a space between them.
impl fmt::Display for LogEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::DiskFormatted { replica, reason } => write!(f, "replica={replica} reason={reason}"),
            Self::QuorumContact { in_contact } => write!(f, "in_contact={in_contact}"),
            Self::ReplicaStatus { status, generation } => {
                write!(f, "status={status:?} generation={generation}")
            }
            Self::Membership { generation, voters } => {
                let voters: Vec<String> = voters.iter().map(ReplicaId::to_string).collect();
                write!(f, "generation={generation} voters={}", voters.join(","))
            }
            Self::MembershipUndecodable { error } => {
                write!(f, "error={error:?} remedy=bring_all_to_one_release")
            }
            Self::StateUndecodable { partition } => {
                write!(f, "partition={} remedy=bring_all_to_one_release", partition.0)
            }
            Self::ContentsDiverged { partition } => {
                write!(f, "partition={} remedy=none_needed_unless_repeated_then_report_it", partition.0)
            }
            Self::SteppedDown { partition } => write!(f, "partition={}", partition.0),
            Self::CoordinationLeader { partition, locks, cells, events } => {
                write!(f, "partition={} locks={locks} cells={cells} events={events}", partition.0)
            }
            Self::Configuration { revision, sequence, ballot } => {
                write!(f, "revision={revision} sequence={sequence} ballot={ballot}")
            }
            Self::ServerListReader { ballot: Some(ballot) } => write!(f, "active=true ballot={ballot}"),
            Self::ServerListReader { ballot: None } => write!(f, "active=false"),
            Self::ServerListReaderSuperseded { superseded_by } => {
                write!(f, "active=false superseded_by={superseded_by}")
            }
            Self::ServerListReadFailed { consecutive_failures } => {
                write!(f, "consecutive_failures={consecutive_failures}")
            }
            Self::ServerList { source, ballot, number, servers } => {
                write!(f, "source={source} ballot={ballot} number={number} servers={servers}")
            }
            Self::ServerChanged(server) => write_server(f, server),
        }
    }
}

fn write_server(f: &mut fmt::Formatter<'_>, server: &Server) -> fmt::Result {
    let Server { id, zone, draining, warm_up_remaining_ms, .. } = server;
    write!(f, "id={id} zone={zone} draining={draining} warm_up_remaining_ms={warm_up_remaining_ms}")?;
    match server.lifetime_remaining_ms {
        Some(remaining_ms) => write!(f, " lifetime_remaining_ms={remaining_ms}"),
        None => Ok(()),
    }
}
