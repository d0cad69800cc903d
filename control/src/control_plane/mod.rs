//! The control plane of one node: owns the components, dispatches each input to the components that handle it, and connects their
//! decisions.
//!
//! Each component has its own module, state and tests, and does not depend on this module. The submodules connect the components, one
//! submodule for each concern.

mod calls;
mod consensus;
mod peers;
mod reconfiguration;
mod requests;
mod server_list;
mod watchers;

use std::collections::BTreeMap;

use ivyhatch_protocol::Nanos;
use ivyhatch_protocol::hash::hash_mix;
use ivyhatch_protocol::ids::{Ballot, NodeId, PartitionId, ReplicaId};
use ivyhatch_protocol::peer::{
    LegacyAcceptorState, Membership, PeerMessage, ReplicaStatus, TransferredState,
};
use ivyhatch_protocol::server_list::ServerList;

use crate::calls::call_queue::CallQueue;
use crate::calls::pending_calls::PendingCalls;
use crate::consensus::catch_up::CatchUp;
use crate::consensus::elections::{self, ElectionBackoff};
use crate::consensus::partition_state::PartitionState;
use crate::consensus::partitions::Partitions;
use crate::consensus::whole_values;
use crate::interface::{Input, NodeConfig, Output, WriteToken};
use crate::liveness::failure_detector::FailureDetector;
use crate::liveness::heartbeat_schedule::HeartbeatSchedule;
use crate::liveness::quorum_contact::QuorumContact;
use crate::log_event::{FormatReason, LogEvent};
use crate::membership::cluster_view::ClusterView;
use crate::membership::drain::Drain;
use crate::membership::local_replica::{LocalReplica, StoredReplica};
use crate::membership::sender::MembershipSender;
use crate::membership::state_transfer::StateTransfer;
use crate::outbox::Outbox;
use crate::report::{self, Report};
use crate::requests::admin_requests::AdminRequests;
use crate::server_list::role::ServerListRole;
use crate::storage::durable_state::DurableState;
use crate::storage::record::Record;
use crate::watch::change_feed::ChangeFeed;
use crate::watch::home_regions::HomeRegions;
use crate::watch::router_registry::RouterRegistry;
use crate::watch::sessions::WatchSessions;

/// The format record that must be written to the disk before anything else.
#[derive(Debug)]
struct PendingFormat {
    replica: ReplicaId,
    record: Record,
    reason: FormatReason,
}

/// The control plane of one control node.
#[derive(Debug)]
pub struct ControlPlane {
    config: NodeConfig,
    now: Nanos,
    started_at: Nanos,
    pending_format: Option<PendingFormat>,
    outbox: Outbox,
    peers: FailureDetector,
    heartbeats: HeartbeatSchedule,
    quorum_contact: QuorumContact,
    replica: LocalReplica,
    membership_sender: MembershipSender,
    state_transfer: StateTransfer,
    partitions: Partitions,
    election_backoff: ElectionBackoff,
    catch_up: CatchUp,
    requests: AdminRequests,
    pending_calls: PendingCalls,
    call_queues: BTreeMap<PartitionId, CallQueue>,
    feed: ChangeFeed,
    server_list: ServerListRole,
    routers: RouterRegistry,
    home_regions: HomeRegions,
    sessions: WatchSessions,
    drain: Drain,
}

impl ControlPlane {
    /// Creates a control node from the state that was read from its disk.
    pub fn new(config: NodeConfig, stored: DurableState, now: Nanos) -> Self {
        let (stored, pending_format) = format_if_needed(&config, stored);
        let replica = LocalReplica::new(StoredReplica {
            replica: stored.replica.map(|formatted| formatted.id),
            may_bootstrap: stored.replica.is_some_and(|formatted| formatted.first_start),
            membership: stored.membership,
            joined: stored.joined,
        });
        let mut partitions =
            Partitions::new(config.node, config.incarnation, config.has_coordination, stored.partitions);
        let voters: Vec<NodeId> = replica.voter_nodes().collect();
        // This node leads no partition yet, so no replica steps down.
        partitions.set_voters(&voters);
        let mut plane = Self {
            now,
            started_at: now,
            pending_format,
            outbox: Outbox::new(config.node),
            peers: FailureDetector::new(config.node, now),
            heartbeats: HeartbeatSchedule::default(),
            quorum_contact: QuorumContact::default(),
            replica,
            membership_sender: MembershipSender::default(),
            state_transfer: StateTransfer::default(),
            partitions,
            election_backoff: ElectionBackoff::default(),
            catch_up: CatchUp::default(),
            requests: AdminRequests::new(config.incarnation),
            pending_calls: PendingCalls::default(),
            call_queues: PartitionId::coordination()
                .filter(|_| config.has_coordination)
                .map(|partition| (partition, CallQueue::default()))
                .collect(),
            feed: ChangeFeed::default(),
            server_list: ServerListRole::new(config.server_list_interval),
            routers: RouterRegistry::default(),
            home_regions: HomeRegions::default(),
            sessions: WatchSessions::default(),
            drain: Drain::new(config.drain_timeout),
            config,
        };
        plane.publish_stored();
        plane
    }

    /// Publishes the state that the disk holds as committed, so that watchers need not wait for a quorum. The progress messages to
    /// watchers say that this node has no quorum yet.
    fn publish_stored(&mut self) {
        for partition in PartitionId::control() {
            if self.partitions.committed_sequence(partition) > 0 {
                self.publish_committed(partition);
            }
        }
    }

    /// Handles one input, and appends the resulting outputs to `out`. `now` is the time of a monotonic clock; an earlier time than that
    /// of the previous input counts as that time.
    pub fn handle(&mut self, now: Nanos, input: Input, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        self.format_disk();
        match input {
            Input::Tick => self.tick(),
            Input::Connected(node) => self.on_connected(node),
            Input::Peer(from, message) => self.on_peer_message(from, message),
            Input::Stored(token) => self.on_stored(token),
            Input::Admin(id, request) => self.on_admin_request(id, request),
            Input::AdminCancelled(id) => self.requests.cancel(id),
            Input::Call(id, call) => self.on_call(id, call),
            Input::CallCancelled(id) => self.on_call_cancelled(id),
            Input::Watch(session, request) => self.on_watch_request(session, request),
            Input::SessionClosed(session) => self.on_session_closed(session),
            Input::ServerList(read, servers) => self.on_server_list_read(read, servers),
            Input::ServerListFailed(read) => self.on_server_list_read_failed(read),
            Input::Seeds(seeds) => self.config.seeds = seeds,
            Input::Drain => self.on_drain(),
        }
        while let Some(message) = self.outbox.next_loopback() {
            self.on_peer_message(self.config.node, message);
        }
        self.publish_to_watchers();
        self.outbox.drain_into(out);
    }

    fn format_disk(&mut self) {
        if let Some(PendingFormat { replica, record, reason }) = self.pending_format.take() {
            self.outbox.log(LogEvent::DiskFormatted { replica, reason });
            self.outbox.store(vec![record]);
        }
    }

    fn tick(&mut self) {
        self.update_connections();
        self.bootstrap();
        self.replace_voters();
        self.request_state_transfer();
        self.run_elections();
        self.expire_requests();
        self.route_pending_requests();
        self.tick_calls();
        self.tick_server_list_role();
        self.maintain_watch_sessions();
        self.update_quorum_contact();
        self.send_heartbeat_if_due();
        self.complete_drain();
        self.outbox.flush_deferred();
    }

    fn on_peer_message(&mut self, from: NodeId, message: PeerMessage) {
        if self.peers.record_message(self.now, from) {
            self.update_connections();
        }
        match message {
            PeerMessage::Heartbeat(heartbeat) => self.on_heartbeat(from, heartbeat),
            PeerMessage::Membership(membership) => self.adopt_membership(membership),
            PeerMessage::StateTransferRequest { incarnation, generation } => {
                self.on_state_transfer_request(from, incarnation, generation);
            }
            PeerMessage::StateTransfer { incarnation, generation, disk, partitions } => {
                if incarnation == self.config.incarnation {
                    let partitions = convert_whole_states(&partitions);
                    self.on_state_transfer(ReplicaId { node: from, disk }, generation, partitions);
                }
            }
            PeerMessage::Consensus { generation, partition, message } => {
                self.on_consensus_message(from, generation, partition, message);
            }
            PeerMessage::ForwardRequest { request_id, last_heartbeat, request } => {
                self.on_forwarded_request(from, request_id, last_heartbeat, request);
            }
            PeerMessage::ForwardResponse { request_id, response } => {
                self.on_forwarded_response(request_id, response);
            }
            PeerMessage::ForwardCall { request_id, last_heartbeat, call } => {
                self.on_forwarded_call(from, request_id, last_heartbeat, call);
            }
            PeerMessage::ForwardCallOutcome { request_id, outcome } => {
                self.on_forwarded_call_outcome(request_id, outcome);
            }
            PeerMessage::RouterSessions(routers) => self.routers.apply_report(self.now, from, routers),
            PeerMessage::ServerList(update) => self.on_server_list_change(from, update.into()),
            PeerMessage::ServerListChange(change) => self.on_server_list_change(from, change),
            PeerMessage::ServerListFetch(position) => self.on_server_list_fetch(from, position),
            PeerMessage::RouterChanges(changes) => self.on_router_changes(from, changes),
            PeerMessage::RouterSessionsRequest => self.send_all_routers(from),
            PeerMessage::ServerListRequest => self.on_server_list_request(from),
            PeerMessage::RegisterTransferRequest { incarnation, generation, committed } => {
                self.on_register_transfer_request(from, incarnation, generation, &committed);
            }
            PeerMessage::RegisterTransfer { incarnation, generation, disk, partitions } => {
                if incarnation == self.config.incarnation {
                    self.on_state_transfer(ReplicaId { node: from, disk }, generation, partitions);
                }
            }
        }
    }

    fn on_stored(&mut self, token: WriteToken) {
        self.membership_sender.write_completed(token);
        if let Some(joined_generation) = self.state_transfer.write_completed(token) {
            self.on_collected_state_durable(joined_generation);
        }
        self.outbox.write_completed(token);
    }

    /// A view of the cluster from the local replica, the peers' heartbeats and the current time.
    fn view(&self) -> ClusterView<'_> {
        ClusterView {
            now: self.now,
            node: self.config.node,
            local: &self.replica,
            peers: &self.peers,
            is_draining: self.drain.is_active(),
            can_read_server_list: self.server_list.can_read(self.now),
        }
    }

    fn leader(&self, partition: PartitionId) -> Option<NodeId> {
        elections::leader(&self.view(), partition)
    }

    fn is_leader(&self, partition: PartitionId) -> bool {
        self.leader(partition) == Some(self.config.node)
    }

    fn broadcast(&mut self, message: &PeerMessage) {
        self.outbox.send_to_peers(self.peers.nodes().collect(), message.clone());
    }

    /// Whether this node is in contact with a quorum of the voters.
    pub fn has_quorum(&self) -> bool {
        self.view().has_quorum()
    }

    /// The addresses of the routers that clients of a region should use. Without contact with a quorum, the region counts as partitioned
    /// from the other regions: its routers can't serve requests that are bound to other regions, so its clients get addresses of routers of
    /// other regions as well.
    pub fn router_addresses(&self, region: &str) -> Vec<String> {
        if self.has_quorum() {
            return self.routers.addresses_for_region(region);
        }
        let other_regions = self.home_regions.homes_common_to_routes_excluding(region);
        if other_regions.is_empty() {
            return self.routers.addresses_for_region(region);
        }
        self.routers.addresses_while_partitioned(region, &other_regions)
    }

    /// The other control nodes that this node can reach now.
    pub fn reachable_peers(&self) -> Vec<NodeId> {
        self.peers.reachable_nodes(self.now)
    }

    /// The zone of another control node, from its last heartbeat; `None` before its first heartbeat.
    pub fn zone_of_peer(&self, node: NodeId) -> Option<&str> {
        self.peers.heartbeat(node).map(|heartbeat| heartbeat.zone.as_str())
    }

    /// Whether this node has the partitions of applications' locks, numbers and cells, and so accepts calls for them.
    pub fn has_coordination(&self) -> bool {
        self.config.has_coordination
    }

    /// Whether the deployment has a zone of this name.
    pub fn has_zone(&self, zone: &str) -> bool {
        self.config.zones.contains(zone)
    }

    /// The id of this node's replica; `None` without a disk.
    pub fn replica(&self) -> Option<ReplicaId> {
        self.replica.id()
    }

    /// The status of this node's replica in the newest known membership.
    pub fn status(&self) -> ReplicaStatus {
        self.replica.status()
    }

    /// The newest membership that this node knows; `None` before the first one.
    pub fn membership(&self) -> Option<&Membership> {
        self.replica.membership()
    }

    /// The sequence number of a partition's last change that this node knows to be committed, and the partition's state.
    pub fn committed_state(&self, partition: PartitionId) -> (u64, Option<&PartitionState>) {
        (self.partitions.committed_sequence(partition), self.partitions.state(partition))
    }

    /// The ballot under which this node leads a partition; `None` where this node does not lead the partition.
    pub fn leader_ballot(&self, partition: PartitionId) -> Option<Ballot> {
        self.partitions.leader_ballot(partition)
    }

    /// This node's copy of the server list.
    pub fn server_list(&self) -> &ServerList {
        self.server_list.list()
    }

    /// A report for operators of the state of the cluster as this node knows it.
    pub fn report(&self) -> Report {
        report::report(&self.view(), &self.partitions)
    }
}

/// Converts the partitions' whole values, as a node of a release before registers sends them, to states with registers.
fn convert_whole_states(
    partitions: &[(PartitionId, LegacyAcceptorState)],
) -> Vec<(PartitionId, TransferredState)> {
    let state = |(partition, state): &(PartitionId, LegacyAcceptorState)| {
        (*partition, whole_values::to_transferred_state(*partition, state))
    };
    partitions.iter().map(state).collect()
}

/// Returns the state that the disk holds, and the format record to write first if the disk is empty or was formatted on another machine. A
/// disk that was formatted on another machine is a copy or was moved: its promises are those of another replica, and its state is
/// discarded.
fn format_if_needed(config: &NodeConfig, stored: DurableState) -> (DurableState, Option<PendingFormat>) {
    let is_foreign = stored.replica.is_some_and(|formatted| formatted.id.node != config.node);
    let mut stored = if is_foreign { DurableState::default() } else { stored };
    if !config.has_disk || stored.replica.is_some() {
        return (stored, None);
    }
    let replica = ReplicaId { node: config.node, disk: hash_mix(config.incarnation) };
    let record = Record::Formatted { replica, first_start: config.first_start };
    stored.apply(record.clone());
    let reason = if is_foreign { FormatReason::AnotherMachinesDisk } else { FormatReason::EmptyDisk };
    (stored, Some(PendingFormat { replica, record, reason }))
}
