//! The duty to read the platform's list of servers for all: it lies with the leader of one partition.

use ivyhatch_protocol::ids::{Ballot, NodeId, PartitionId};
use ivyhatch_protocol::peer::PeerMessage;
use ivyhatch_protocol::server_list::ServerList;
use ivyhatch_protocol::watch::{Server, ServerListPosition, ServerListUpdate};

use crate::control_plane::ControlPlane;
use crate::interface::Output;
use crate::log_event::{LogEvent, ServerListSource};
use crate::server_list_reader::{self, ReadId, ReaderRole};

/// The duty's name: it lies with the leader of the partition into which this falls.
const DUTY: &str = "platform-list";

/// The partition whose leader has the duty.
pub(crate) fn partition() -> PartitionId {
    PartitionId::for_key(DUTY)
}

impl ControlPlane {
    pub(crate) fn can_read_server_list(&self) -> bool {
        self.list_reader.can_read(self.now)
    }

    fn has_list(&self) -> bool {
        self.list.position() != ServerList::default().position()
    }

    /// What this node knows of the duty.
    fn list_duty(&self) -> ReaderRole {
        let heartbeats = self.peers.values().filter_map(|peer| peer.heartbeat.as_ref());
        let ServerListPosition { ballot: known, number } = self.list.position();
        let newest =
            heartbeats.map(|heartbeat| heartbeat.server_list.ballot).chain([known]).max().unwrap_or_default();
        ReaderRole {
            ballot: self.leader_ballot(partition()).filter(|_| self.has_quorum()),
            highest_ballot: newest,
            highest_is_reachable: newest.node == self.identity.node || self.is_bidirectional(newest.node),
            has_list: number > 0,
        }
    }

    pub(crate) fn check_list_duty(&mut self, out: &mut Vec<Output>) {
        let duty = self.list_duty();
        self.drive_list_reader(server_list_reader::Input::Tick(duty), None, out);
    }

    pub(crate) fn server_list_read(&mut self, read: ReadId, servers: Vec<Server>, out: &mut Vec<Output>) {
        let duty = self.list_duty();
        self.drive_list_reader(server_list_reader::Input::ReadSucceeded(read, duty), Some(servers), out);
    }

    pub(crate) fn server_list_failed(&mut self, read: ReadId, out: &mut Vec<Output>) {
        self.drive_list_reader(server_list_reader::Input::ReadFailed(read), None, out);
    }

    fn drive_list_reader(
        &mut self,
        input: server_list_reader::Input,
        mut servers: Option<Vec<Server>>,
        out: &mut Vec<Output>,
    ) {
        let mut outputs = Vec::new();
        let before = self.list_reader.reading_ballot();
        self.list_reader.handle(self.now, input, &mut outputs);
        let after = self.list_reader.reading_ballot();
        if after != before {
            out.push(Output::Log(LogEvent::ServerListReader { ballot: after }));
        }
        for output in outputs {
            match output {
                server_list_reader::Output::Read(read) => out.push(Output::ReadServerList(read)),
                server_list_reader::Output::Publish(ballot) => {
                    self.publish_list(ballot, servers.take().unwrap_or_default(), out);
                }
                server_list_reader::Output::RenewBallot { superseded_by: newest } => {
                    self.renew_list_duty(newest, out)
                }
                server_list_reader::Output::ReadFailing { consecutive_failures } => {
                    out.push(Output::Log(LogEvent::ServerListReadFailed { consecutive_failures }));
                }
                // The others are told at once, so that one of them begins.
                server_list_reader::Output::YieldRole => self.heartbeat(out),
            }
        }
    }

    /// Another node has led the duty's partition since: this one steps down, and starts an election at its next tick.
    fn renew_list_duty(&mut self, newest: Ballot, out: &mut Vec<Output>) {
        out.push(Output::Log(LogEvent::ServerListReaderSuperseded { superseded_by: newest }));
        let Some(duty) = self.partitions.get_mut(&partition()) else { return };
        let mut effects = Vec::new();
        duty.observe_ballot(newest, &mut effects);
        self.carry_out(partition(), effects, out);
    }

    /// The platform has handed its list to this node, the reader under this ballot.
    fn publish_list(&mut self, ballot: Ballot, servers: Vec<Server>, out: &mut Vec<Output>) {
        if ballot == Ballot::default() {
            // For those who follow this node: until there is a quorum nobody has the duty.
            if !servers.is_empty() {
                self.list.apply_platform_list(self.now, ballot, servers);
                self.log_list(ServerListSource::Bootstrap, out);
            }
            return;
        }
        let Some(news) = self.list.apply_platform_list(self.now, ballot, servers) else { return };
        self.log_list(ServerListSource::Platform, out);
        let changed = news.upsert.iter().filter(|_| news.from.is_some());
        out.extend(changed.map(|server| Output::Log(LogEvent::ServerChanged(server.clone()))));
        self.send_to_all(&PeerMessage::ServerList(news), out);
    }

    pub(crate) fn on_server_news(&mut self, from: NodeId, news: ServerListUpdate, out: &mut Vec<Output>) {
        let before = self.list.position();
        if !self.list.apply_update(self.now, news) {
            out.push(Output::Send(from, PeerMessage::ServerListRequest));
        } else if before != self.list.position() {
            self.log_list(ServerListSource::Peer, out);
        }
    }

    pub(crate) fn send_server_list(&mut self, to: NodeId, out: &mut Vec<Output>) {
        if self.has_list() {
            out.push(Output::Send(to, PeerMessage::ServerList(self.list.full_update(self.now))));
        }
    }

    fn log_list(&self, source: ServerListSource, out: &mut Vec<Output>) {
        let ServerListPosition { ballot, number } = self.list.position();
        let servers = self.list.len();
        out.push(Output::Log(LogEvent::ServerList { source, ballot, number, servers }));
    }
}
