//! A machine that runs a control node: its process, its disk, its connections, and the state last reported to the oracle.

use std::collections::BTreeSet;

use ivyhatch_control::ControlPlane;
use ivyhatch_control::consensus::partition_state::PartitionState;
use ivyhatch_control::storage::durable_state::DurableState;
use ivyhatch_protocol::Nanos;
use ivyhatch_protocol::ids::{Ballot, HASHED_PARTITIONS, NodeId, PartitionId, ReplicaId};
use ivyhatch_protocol::peer::Membership;
use ivyhatch_protocol::watch::ServerListPosition;

use super::ZONE_COUNT;
use super::event::Event;
use crate::disk::Disk;
use crate::oracle::{AppliedState, ZoneState};
use crate::workload::zone_name;

/// The number of hashed partitions, plus the membership partition.
pub(super) const PARTITION_COUNT: usize = HASHED_PARTITIONS as usize + 1;
/// The generation of the membership that is decided at the first start of the system.
const FIRST_GENERATION: u64 = 1;

/// The identity of a replica whose disk was lost, for [`crate::InjectedBug::VotesAfterDiskLoss`].
pub(super) struct LostReplica {
    pub(super) replica: ReplicaId,
    pub(super) membership: Option<Membership>,
    pub(super) joined_generation: Option<u64>,
}

/// A machine, which holds a member slot or held one before its replacement.
#[derive(Default)]
pub(super) struct Machine {
    /// The process; `None` while it is not running.
    pub(super) node: Option<ControlPlane>,
    /// How often the process has started.
    pub(super) incarnation: u64,
    /// The end of the current suspension; 0 if the process is not suspended.
    pub(super) suspended_until: Nanos,
    /// Events that arrived during the suspension, to be handled when the process resumes.
    pub(super) deferred_events: Vec<Event>,
    pub(super) disk: Disk,
    /// The write times of the active slow-disk faults, in milliseconds; the longest one applies.
    pub(super) slow_write_ms: Vec<u64>,
    /// The number of active faults that stall the disk.
    pub(super) stall_faults: u32,
    /// The number of active faults that fill the disk.
    pub(super) full_disk_faults: u32,
    pub(super) wanted_peers: Vec<NodeId>,
    pub(super) connected_peers: BTreeSet<usize>,
    /// After a disk loss, or on a replacement machine: the machines that have transferred their state. `None` once they form a
    /// quorum, so that the replica may vote.
    pub(super) state_sources: Option<BTreeSet<usize>>,
    /// The number of the machine's zone. A replacement machine has the zone of its predecessor.
    pub(super) zone: usize,
    /// The machine was permanently removed.
    pub(super) is_removed: bool,
    pub(super) lost_replica: Option<LostReplica>,
    /// The ballot and the sequence number of the last accept message that arrived, for
    /// [`crate::InjectedBug::AcceptsLowerBallot`].
    pub(super) last_accept: Option<(Ballot, u64)>,
    pub(super) observed: ObservedState,
}

/// The state of the current incarnation that was last reported to the oracle.
#[derive(Default)]
pub(super) struct ObservedState {
    pub(super) generation: u64,
    pub(super) sequences: [u64; PARTITION_COUNT],
    pub(super) server_list: ServerListPosition,
}

/// Whether a disk holds the state that its replica needs to vote: the replica has completed its state transfer, or is a voter of the
/// first membership.
pub(super) fn may_vote(stored: &DurableState) -> bool {
    let replica = stored.replica.map(|formatted| formatted.id);
    let voter = replica.zip(stored.membership.as_ref()).and_then(|(replica, known)| known.voter(replica));
    stored.joined.is_some() || voter.is_some_and(|voter| voter.joined_generation == FIRST_GENERATION)
}

impl Machine {
    /// A machine that has not started yet.
    pub(super) fn in_zone(zone: usize) -> Self {
        Self { zone, ..Self::default() }
    }

    pub(super) fn is_running(&self) -> bool {
        self.node.is_some()
    }

    /// Whether the machine counts towards a stable core: its process runs, is not suspended, and needs no state transfer.
    pub(super) fn is_serving(&self) -> bool {
        self.is_running() && self.suspended_until == 0 && self.state_sources.is_none()
    }

    /// Requires a state transfer from a quorum before the replica may vote.
    pub(super) fn require_state_transfer(&mut self) {
        self.state_sources = Some(BTreeSet::new());
    }

    /// The committed sequence numbers of all partitions; all 0 if the process is not running.
    pub(super) fn partition_sequences(&self) -> Vec<u64> {
        let sequence =
            |partition: PartitionId| self.node.as_ref().map_or(0, |node| node.committed_state(partition).0);
        PartitionId::all().map(sequence).collect()
    }

    /// The revision of the committed configuration; 0 if there is none.
    pub(super) fn revision(&self) -> u64 {
        self.node.as_ref().map_or(0, revision_of)
    }

    /// The state that the node has in effect; `None` if its process is not running.
    pub(super) fn applied_state(&self) -> Option<AppliedState> {
        let node = self.node.as_ref()?;
        Some(AppliedState {
            revision: revision_of(node),
            sequence: node.committed_state(PartitionId::CONFIGURATION).0,
            zones: (0..ZONE_COUNT).map(|zone| zone_state(node, &zone_name(zone))).collect(),
        })
    }

    /// Whether the node holds the singleton role of reading the platform's server list, as leader of the role's partition.
    pub(super) fn reads_server_list(&self) -> bool {
        self.node
            .as_ref()
            .is_some_and(|node| node.leader_ballot(PartitionId::for_key("platform-list")).is_some())
    }
}

fn revision_of(node: &ControlPlane) -> u64 {
    match node.committed_state(PartitionId::CONFIGURATION).1 {
        Some(PartitionState::Configuration(configured)) => configured.document.revision,
        _ => 0,
    }
}

fn zone_state(node: &ControlPlane, zone: &str) -> ZoneState {
    let Some(PartitionState::Evacuations(partition)) = node.committed_state(PartitionId::for_key(zone)).1
    else {
        return ZoneState::default();
    };
    let status = partition.zones.get(zone).copied().unwrap_or_default();
    ZoneState { evacuated: status.active, change_count: status.change_count }
}
