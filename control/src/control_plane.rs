//! The whole of a control node's decisions: one input goes in, outputs come out.

use std::collections::{BTreeMap, VecDeque};

use ivyhatch_protocol::Nanos;
use ivyhatch_protocol::hash::hash_mix;
use ivyhatch_protocol::ids::{Ballot, NodeId, PartitionId, ReplicaId};
use ivyhatch_protocol::peer::{ConsensusMessage, Membership, PeerMessage, ReplicaStatus};
use ivyhatch_protocol::server_list::ServerList;
use ivyhatch_protocol::watch::Position;

use crate::Record;
use crate::admin::{PartitionQueue, PendingRequest};
use crate::change_feed::ChangeFeed;
use crate::durable_state::DurableState;
use crate::heartbeats::PeerState;
use crate::interface::{Input, NodeConfig, Output, RequestId, SessionId, WriteToken};
use crate::log_event::{FormatReason, LogEvent};
use crate::partition::{Effect, PartitionReplica};
use crate::partition_state::PartitionState;
use crate::router_registry::RouterRegistry;
use crate::server_list_reader::ServerListReader;
use crate::state_transfer::StateCollector;
use crate::watch::WatchSession;

/// The control plane of one control node.
pub struct ControlPlane {
    pub(crate) identity: NodeConfig,
    pub(crate) now: Nanos,
    pub(crate) started: Nanos,
    /// This replica; none without a disk.
    pub(crate) replica: Option<ReplicaId>,
    /// The disk was formatted on the first start of the whole system: only such a replica may found the first membership.
    pub(crate) may_bootstrap: bool,
    /// The record with which the disk is formatted, until it is handed to the embedder, and why that is needed.
    unformatted: Option<(Record, FormatReason)>,
    pub(crate) status: ReplicaStatus,
    pub(crate) membership: Option<Membership>,
    /// The generation in which this replica became a voter with all the state that it needs.
    pub(crate) joined: Option<u64>,
    /// The write that holds the first membership, until it is on the disk: no other node is sent one that a loss of power undoes.
    pub(crate) bootstrap_write: Option<WriteToken>,
    pub(crate) collection: StateCollector,
    pub(crate) state_asked: Nanos,
    /// The write that holds the collected state, and the generation for which it was collected.
    pub(crate) state_write: Option<(WriteToken, u64)>,
    /// Decides on the next membership, for the present generation only.
    pub(crate) membership_partition: PartitionReplica,
    pub(crate) leaving_since: Option<Nanos>,
    pub(crate) peers: BTreeMap<NodeId, PeerState>,
    pub(crate) links: Vec<NodeId>,
    pub(crate) partitions: BTreeMap<PartitionId, PartitionReplica>,
    pub(crate) states: BTreeMap<PartitionId, PartitionState>,
    pub(crate) queues: BTreeMap<PartitionId, PartitionQueue>,
    /// Until when this node, once it has stepped down, does not start an election.
    pub(crate) backoff_until: BTreeMap<PartitionId, Nanos>,
    pub(crate) fetched_at: BTreeMap<PartitionId, Nanos>,
    pub(crate) servers_asked: Nanos,
    pub(crate) feed: ChangeFeed,
    pub(crate) list: ServerList,
    pub(crate) list_reader: ServerListReader,
    pub(crate) routers: RouterRegistry,
    pub(crate) sessions: BTreeMap<SessionId, WatchSession>,
    pub(crate) sessions_sent: Nanos,
    pub(crate) pending: BTreeMap<RequestId, PendingRequest>,
    writes: BTreeMap<WriteToken, Vec<(NodeId, PeerMessage)>>,
    next_token: WriteToken,
    pub(crate) next_number: u64,
    pub(crate) heartbeats: VecDeque<(u64, Nanos)>,
    pub(crate) heartbeat_at: Nanos,
    /// Since when this node has been in contact with a quorum.
    pub(crate) quorum_since: Option<Nanos>,
    inbox: VecDeque<(NodeId, PeerMessage)>,
}

impl ControlPlane {
    /// A control node with what its disk holds.
    pub fn new(identity: NodeConfig, stored: DurableState, now: Nanos) -> Self {
        let here = |replica: &ReplicaId| replica.node == identity.node;
        let foreign = stored.replica.is_some_and(|(replica, _)| !here(&replica));
        // A disk that was formatted on another machine is a copy, or was moved: what it promised was promised by another replica.
        let mut stored = if foreign { DurableState::default() } else { stored };
        let drawn = ReplicaId { node: identity.node, disk: hash_mix(identity.incarnation) };
        let format = Record::Formatted { replica: drawn, first_start: identity.first_start };
        let reason = if foreign { FormatReason::AnotherMachinesDisk } else { FormatReason::EmptyDisk };
        let unformatted = (identity.has_disk && stored.replica.is_none()).then_some((format, reason));
        unformatted.iter().for_each(|(record, _)| stored.apply(record.clone()));
        let mut partition = |part: PartitionId| {
            let state = stored.partitions.remove(&part).unwrap_or_default();
            (part, PartitionReplica::new(identity.node, identity.incarnation, state))
        };
        let membership_partition = partition(PartitionId::MEMBERSHIP).1;
        let partitions = PartitionId::all().map(&mut partition).collect();
        let mut plane = Self {
            now,
            started: now,
            replica: stored.replica.map(|(replica, _)| replica),
            may_bootstrap: stored.replica.is_some_and(|(_, first_start)| first_start),
            unformatted,
            status: ReplicaStatus::Uninitialized,
            membership: stored.membership,
            joined: stored.joined,
            bootstrap_write: None,
            collection: StateCollector::default(),
            state_asked: 0,
            state_write: None,
            membership_partition,
            leaving_since: None,
            peers: BTreeMap::new(),
            links: Vec::new(),
            partitions,
            states: PartitionId::all().map(|part| (part, PartitionState::empty(part))).collect(),
            queues: PartitionId::all().map(|part| (part, PartitionQueue::default())).collect(),
            backoff_until: BTreeMap::new(),
            fetched_at: BTreeMap::new(),
            servers_asked: 0,
            feed: ChangeFeed::default(),
            list: ServerList::default(),
            list_reader: ServerListReader::new(identity.server_list_interval),
            routers: RouterRegistry::default(),
            sessions: BTreeMap::new(),
            sessions_sent: 0,
            pending: BTreeMap::new(),
            writes: BTreeMap::new(),
            next_token: 0,
            // Numbers of an earlier process must not be taken for this one's.
            next_number: identity.incarnation & 0xffff_ffff_0000_0000,
            heartbeats: VecDeque::new(),
            heartbeat_at: 0,
            quorum_since: None,
            inbox: VecDeque::new(),
            identity,
        };
        plane.status = plane.status_in_membership();
        plane.set_voters(&mut Vec::new());
        plane.hand_out_committed(stored.committed);
        plane
    }

    /// What is known to be committed is handed out right after a start: followers need not wait until there is a quorum. They are
    /// told that it may not be the newest.
    fn hand_out_committed(&mut self, committed: BTreeMap<PartitionId, (Ballot, u64)>) {
        for (part, (ballot, sequence)) in committed {
            let partition = self.partitions.get_mut(&part);
            let known = partition.and_then(|partition| partition.mark_committed(ballot, sequence));
            if let Some(state) = known.and_then(|committed| PartitionState::decode(part, &committed.value)) {
                self.feed.committed(part, sequence, &state);
                self.states.insert(part, state);
            }
        }
    }

    /// Takes one input in and adds what is to be done.
    pub fn handle(&mut self, now: Nanos, input: Input, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        if let Some((formatted, reason)) = self.unformatted.take() {
            let replica = self.replica.unwrap_or_default();
            out.push(Output::Log(LogEvent::DiskFormatted { replica, reason }));
            self.store(vec![formatted], Vec::new(), out);
        }
        match input {
            Input::Tick => self.tick(out),
            Input::Connected(node) => self.connected(node, out),
            Input::Peer(from, message) => self.inbox.push_back((from, message)),
            Input::Stored(token) => self.stored(token, out),
            Input::Admin(id, request) => self.admin_request(id, request, out),
            Input::AdminCancelled(id) => self.admin_cancelled(id),
            Input::Watch(session, message) => self.follower_message(session, message, out),
            Input::SessionClosed(session) => self.session_closed(session),
            Input::ServerList(read, servers) => self.server_list_read(read, servers, out),
            Input::ServerListFailed(read) => self.server_list_failed(read, out),
            Input::Seeds(seeds) => self.identity.seeds = seeds,
            Input::Drain => self.leave(out),
        }
        while let Some((from, message)) = self.inbox.pop_front() {
            self.peer_message(from, message, out);
        }
        self.publish(out);
    }

    fn tick(&mut self, out: &mut Vec<Output>) {
        self.choose_links(out);
        self.bootstrap(out);
        self.replace_voters(out);
        self.collect_state(out);
        self.contend(out);
        self.expire_requests(out);
        self.route_all(out);
        self.check_list_duty(out);
        self.tend_sessions(out);
        self.note_quorum(out);
        self.heartbeat_if_due(out);
        self.end_if_left(out);
    }

    fn peer_message(&mut self, from: NodeId, message: PeerMessage, out: &mut Vec<Output>) {
        self.note_heard(from, out);
        match message {
            PeerMessage::Heartbeat(heartbeat) => self.on_heartbeat(from, heartbeat, out),
            PeerMessage::Membership(membership) => self.adopt(membership, out),
            PeerMessage::StateTransferRequest { incarnation, generation } => {
                self.hand_out_state(from, incarnation, generation, out);
            }
            PeerMessage::StateTransfer { incarnation, generation, disk, partitions } => {
                if incarnation == self.identity.incarnation {
                    self.state_arrived(ReplicaId { node: from, disk }, generation, partitions, out);
                }
            }
            PeerMessage::Consensus { generation, partition: part, message } => {
                self.on_consensus(from, generation, part, message, out);
            }
            PeerMessage::ForwardRequest { request_id: number, last_heartbeat: heard, request } => {
                self.on_forward(from, number, heard, request, out)
            }
            PeerMessage::ForwardResponse { request_id, response } => {
                self.on_forwarded(request_id, response, out)
            }
            PeerMessage::RouterSessions(routers) => self.routers.apply_report(self.now, from, routers),
            PeerMessage::ServerList(news) => self.on_server_news(from, news, out),
            PeerMessage::ServerListRequest => self.send_server_list(from, out),
        }
    }

    fn on_consensus(
        &mut self,
        from: NodeId,
        generation: u64,
        part: PartitionId,
        message: ConsensusMessage,
        out: &mut Vec<Output>,
    ) {
        // What is committed stays so under any membership; everything else counts only under the sender's.
        let learns = matches!(
            message,
            ConsensusMessage::Commit { .. } | ConsensusMessage::Fetch { .. } | ConsensusMessage::Committed(_)
        );
        if generation != self.generation() && !learns {
            if generation < self.generation() {
                self.send_membership(from, out);
            }
            return;
        }
        let (now, votes) = (self.now, self.votes());
        let Some(partition) = self.partition_mut(part) else { return };
        let mut effects = Vec::new();
        partition.handle(now, from, message, votes, &mut effects);
        self.carry_out(part, effects, out);
        if part == PartitionId::MEMBERSHIP {
            self.replace_voters(out);
        }
        self.drive(part, out);
    }

    fn partition_mut(&mut self, part: PartitionId) -> Option<&mut PartitionReplica> {
        match part {
            PartitionId::MEMBERSHIP => Some(&mut self.membership_partition),
            _ => self.partitions.get_mut(&part),
        }
    }

    /// Carries out what a partition wants done.
    pub(crate) fn carry_out(&mut self, part: PartitionId, effects: Vec<Effect>, out: &mut Vec<Output>) {
        let generation = self.generation();
        let consensus = |message| PeerMessage::Consensus { generation, partition: part, message };
        for effect in effects {
            match effect {
                Effect::Send(to, message) => self.send(to, consensus(message), out),
                Effect::Promise(ballot, to, message) => {
                    self.store(vec![Record::Promised(part, ballot)], vec![(to, consensus(message))], out);
                }
                Effect::Accept(value, to, message) => {
                    self.store(vec![Record::Accepted(part, value)], vec![(to, consensus(message))], out);
                }
                Effect::Committed(value) if part == PartitionId::MEMBERSHIP => {
                    self.membership_decided(&value, out);
                }
                Effect::Committed(value) => self.committed(part, value, out),
                Effect::QuorumConfirmed(number) => self.quorum_confirmed(part, number, out),
                Effect::SteppedDown => self.stepped_down(part, out),
            }
        }
    }

    pub(crate) fn send(&mut self, to: NodeId, message: PeerMessage, out: &mut Vec<Output>) {
        if to == self.identity.node {
            self.inbox.push_back((to, message));
        } else {
            out.push(Output::Send(to, message));
        }
    }

    pub(crate) fn send_to_all(&self, message: &PeerMessage, out: &mut Vec<Output>) {
        out.extend(self.peers.keys().map(|to| Output::Send(*to, message.clone())));
    }

    /// Has records stored, and messages sent once they and all before them are on the disk.
    pub(crate) fn store(
        &mut self,
        records: Vec<Record>,
        then: Vec<(NodeId, PeerMessage)>,
        out: &mut Vec<Output>,
    ) -> WriteToken {
        self.next_token += 1;
        self.writes.insert(self.next_token, then);
        out.push(Output::Store(self.next_token, records));
        self.next_token
    }

    fn stored(&mut self, token: WriteToken, out: &mut Vec<Output>) {
        if self.bootstrap_write == Some(token) {
            self.bootstrap_write = None;
        }
        if let Some((_, generation)) = self.state_write.take_if(|(write, _)| *write == token) {
            self.state_stored(generation, out);
        }
        for (to, message) in self.writes.remove(&token).unwrap_or_default() {
            self.send(to, message, out);
        }
    }

    /// Where clients of a region should go.
    pub fn router_addresses(&self, region: &str) -> Vec<String> {
        self.routers.addresses_for_region(region)
    }

    /// Whether a zone is one of the deployment's.
    pub fn has_zone(&self, zone: &str) -> bool {
        self.identity.zones.contains(zone)
    }

    /// This replica; none without a disk.
    pub fn replica(&self) -> Option<ReplicaId> {
        self.replica
    }

    /// Where the replica stands towards the membership.
    pub fn status(&self) -> ReplicaStatus {
        self.status
    }

    /// The newest membership that is known here.
    pub fn membership(&self) -> Option<&Membership> {
        self.membership.as_ref()
    }

    /// What is known to be committed of a partition: its number, and what it holds.
    pub fn committed_state(&self, part: PartitionId) -> (u64, Option<&PartitionState>) {
        (self.partitions.get(&part).map_or(0, PartitionReplica::committed_sequence), self.states.get(&part))
    }

    /// The ballot under which this node leads a partition now, if it does.
    pub fn leader_ballot(&self, part: PartitionId) -> Option<Ballot> {
        self.partitions.get(&part).and_then(PartitionReplica::leader_ballot)
    }

    /// The list of servers as it is known here.
    pub fn server_list(&self) -> &ServerList {
        &self.list
    }

    /// How far this node is with all that is followed.
    pub(crate) fn position(&self) -> Position {
        Position { server_list: self.list.position(), ..self.feed.position() }
    }
}
