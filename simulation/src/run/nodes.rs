//! The inputs of control nodes: ticks, connections, messages, completed writes and the platform's server list.

use ivyhatch_control::Input;
use ivyhatch_control::server_list::reader::ReadId;
use ivyhatch_protocol::peer::{ConsensusMessage, PeerMessage};
use ivyhatch_protocol::watch::Server;
use ivyhatch_protocol::{MILLISECOND, Nanos, SECOND};

use super::describe::peer_message;
use super::event::{Delivery, Event, LinkMessage};
use super::{Simulation, TICK_INTERVAL, ZONE_COUNT, address, index_of};
use crate::injected_bugs::InjectedBug;
use crate::workload::zone_name;

/// The bounds of a sync of an undisturbed disk.
const MIN_SYNC: Nanos = 2 * MILLISECOND;
const MAX_SYNC: Nanos = 6 * MILLISECOND;
/// The interval at which a write to a full disk is retried.
const FULL_DISK_RETRY: Nanos = 200 * MILLISECOND;
/// The interval at which a write to a stalled disk is retried.
const STALLED_DISK_RETRY: Nanos = 20 * MILLISECOND;
/// The number of servers in the platform's list. Every [`SERVER_ROTATION_INTERVAL`] the oldest server starts to drain and a new one joins.
const SERVER_COUNT: u64 = 4;
const SERVER_ROTATION_INTERVAL: Nanos = 3 * SECOND;
/// Until the last fault ends, one in this many reads of the platform's list fails at random.
const READS_PER_FAILURE: u64 = 20;

impl Simulation<'_> {
    pub(super) fn tick_node(&mut self, machine: usize, incarnation: u64) {
        if !self.accepts_event(machine, Some(incarnation), || Event::NodeTick { machine, incarnation }) {
            return;
        }
        self.input_to_node(machine, Input::Tick);
        self.connect_wanted_peers(machine);
        let jitter = self.random_below(3) * MILLISECOND;
        self.schedule_after(TICK_INTERVAL + jitter, Event::NodeTick { machine, incarnation });
    }

    /// Opens the missing connections to the peers that a node wants, as far as the peer is running and no direction is partitioned.
    fn connect_wanted_peers(&mut self, machine: usize) {
        let this = &self.machines[machine];
        let incarnation = this.incarnation;
        let missing: Vec<usize> = this
            .wanted_peers
            .iter()
            .map(|node| index_of(*node))
            .filter(|peer| !this.connected_peers.contains(peer) && self.machines[*peer].is_running())
            .filter(|peer| !self.links.is_partitioned_either_way(machine, *peer))
            .collect();
        for peer in missing {
            self.machines[machine].connected_peers.insert(peer);
            let delay = (5 + self.random_below(25)) * MILLISECOND;
            self.schedule_after(delay, Event::PeerConnected { machine, incarnation, peer });
        }
    }

    pub(super) fn peer_connected(&mut self, machine: usize, incarnation: u64, peer: usize) {
        let event = || Event::PeerConnected { machine, incarnation, peer };
        if self.accepts_event(machine, Some(incarnation), event) {
            self.input_to_node(machine, Input::Connected(address(peer)));
        }
    }

    pub(super) fn message_arrives(&mut self, delivery: Delivery) {
        if matches!(delivery.message, LinkMessage::WatchResponse(..)) {
            return self.watch_response_arrives(delivery);
        }
        let deferred = || Event::MessageArrives(delivery.clone());
        if !self.accepts_event(delivery.to, Some(delivery.incarnation), deferred) {
            return;
        }
        let Delivery { from, to, message, .. } = delivery;
        match message {
            LinkMessage::Peer(message) => {
                self.track_peer_message(from, to, &message);
                self.input_to_node(to, Input::Peer(address(from), message));
            }
            LinkMessage::WatchRequest(session, message) => {
                if self.has_session(session) {
                    self.input_to_node(to, Input::Watch(session, message));
                }
            }
            LinkMessage::WatchResponse(..) => {}
        }
    }

    /// Tracks state transfers and accept messages between control nodes, which the checks and injected bugs depend on.
    fn track_peer_message(&mut self, from: usize, machine: usize, message: &PeerMessage) {
        self.record(|| format!("{from} -> {machine} {}", peer_message(message)));
        let process_id = self.process_id(machine);
        let majority = self.plan.members / 2 + 1;
        let this = &mut self.machines[machine];
        match message {
            // Any majority includes a member of each quorum, so its members together have every acknowledged change.
            PeerMessage::StateTransfer { incarnation, .. }
            | PeerMessage::RegisterTransfer { incarnation, .. }
                if *incarnation == process_id =>
            {
                if let Some(sources) = &mut this.state_sources {
                    sources.insert(from);
                    if sources.len() >= majority {
                        this.state_sources = None;
                    }
                }
            }
            PeerMessage::Consensus { message: ConsensusMessage::Accept(accepted), .. } => {
                this.last_accept = Some((accepted.version.ballot, accepted.version.sequence));
            }
            _ => {}
        }
    }

    /// Completes the write in progress, unless a disk fault delays the write. The disk keeps writing while its process is suspended; the
    /// process handles the completion when it resumes.
    pub(super) fn complete_write(&mut self, machine: usize, incarnation: u64) {
        let completed = Event::WriteCompleted { machine, incarnation };
        if !self.accepts_event(machine, Some(incarnation), || completed.clone()) {
            return;
        }
        if self.machines[machine].stall_faults > 0 {
            return self.schedule_after(STALLED_DISK_RETRY, completed);
        }
        if self.machines[machine].full_disk_faults > 0 {
            return self.schedule_after(FULL_DISK_RETRY, completed);
        }
        for token in self.machines[machine].disk.complete_write() {
            if self.injected_bug != Some(InjectedBug::AcknowledgesBeforeSync) {
                self.input_to_node(machine, Input::Stored(token));
            }
        }
        self.start_write(machine);
    }

    /// Starts the next write of a machine's disk if a write is queued and none is in progress.
    pub(super) fn start_write(&mut self, machine: usize) {
        if !self.machines[machine].disk.start_write() {
            return;
        }
        let sync = MIN_SYNC + self.random_below(MAX_SYNC - MIN_SYNC);
        let this = &self.machines[machine];
        let slow_sync = this.slow_write_ms.iter().max().copied().unwrap_or_default() * MILLISECOND;
        let incarnation = this.incarnation;
        self.schedule_after(sync.max(slow_sync), Event::WriteCompleted { machine, incarnation });
    }

    /// The platform's server list at the current virtual time.
    fn platform_servers(&self) -> Vec<Server> {
        let first = self.now / SERVER_ROTATION_INTERVAL;
        let server = |number: u64| Server {
            id: format!("i-{number}"),
            service: "s".to_owned(),
            address: "10.128.0.9:8080".to_owned(),
            zone: zone_name(number as usize % ZONE_COUNT),
            slots: 8,
            draining: number == first,
            warm_up_remaining_ms: 0,
            lifetime_remaining_ms: None,
        };
        (first..first + SERVER_COUNT).map(server).collect()
    }

    pub(super) fn server_list_read(&mut self, machine: usize, incarnation: u64, read: ReadId) {
        let event = || Event::ServerListRead { machine, incarnation, read };
        if !self.accepts_event(machine, Some(incarnation), event) {
            return;
        }
        let faults_may_occur = self.now_ms() < self.plan.faults_end_ms;
        let input = if faults_may_occur && self.random_below(READS_PER_FAILURE) == 0 {
            Input::ServerListFailed(read)
        } else {
            Input::ServerList(read, self.platform_servers())
        };
        self.input_to_node(machine, input);
    }
}
