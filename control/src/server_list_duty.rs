//! The duty to read the platform's list of servers for all: it lies with the leader of one partition.

use ivyhatch_protocol::feed::{Server, Servers};
use ivyhatch_protocol::ids::{Epoch, NodeId, Part};
use ivyhatch_protocol::peer::Peer;
use ivyhatch_protocol::servers::List;
use ivyhatch_protocol::{Nanos, SECOND};

use crate::control_plane::ControlPlane;
use crate::heartbeats::ASK_AGAIN;
use crate::interface::Output;

/// After so many failures in a row another node reads the platform's list, for so long.
const FAILURES_MAX: u32 = 3;
const LEFT_TO_OTHERS: Nanos = 5 * SECOND;
/// Pause between two readings by a node that nobody has handed a list out to yet.
const FIRST_READ_INTERVAL: Nanos = SECOND;
/// The duty's name: it lies with the leader of the partition into which this falls.
const DUTY: &str = "platform-list";

/// The partition whose leader has the duty.
pub(crate) fn partition() -> Part {
    Part::of(DUTY)
}

/// How far a node is with reading the list.
#[derive(Debug, Default)]
pub(crate) struct ListDuty {
    epoch: Epoch,
    reading: bool,
    next: Nanos,
    failures: u32,
    left_to_others_until: Nanos,
}

impl ControlPlane {
    pub(crate) fn can_read_server_list(&self) -> bool {
        self.now >= self.list_duty.left_to_others_until
    }

    fn has_list(&self) -> bool {
        self.list.position() != List::default().position()
    }

    pub(crate) fn read_server_list(&mut self, out: &mut Vec<Output>) {
        // Right after its start a node reads the list once by itself, for those who follow it: until there is a quorum nobody has
        // the duty. Its epoch is the lowest of all, so that the first reader's list takes its place.
        let reads_by_itself = !self.has_list() && self.list_duty.epoch == Epoch::default();
        if reads_by_itself && !self.list_duty.reading && self.now >= self.list_duty.next {
            self.list_duty.reading = true;
            self.list_duty.next = self.now + FIRST_READ_INTERVAL;
            out.push(Output::ReadServerList);
        }
        let Some(epoch) = self.leads(partition()).filter(|_| self.has_quorum()) else { return };
        if epoch != self.list_duty.epoch {
            let left_to_others_until = self.list_duty.left_to_others_until;
            self.list_duty = ListDuty { epoch, left_to_others_until, ..ListDuty::default() };
        }
        if !self.list_duty.reading && self.now >= self.list_duty.next {
            self.list_duty.reading = true;
            self.list_duty.next = self.now + self.identity.list_every;
            out.push(Output::ReadServerList);
        }
    }

    pub(crate) fn server_list_read(&mut self, servers: Vec<Server>, out: &mut Vec<Output>) {
        self.list_duty.reading = false;
        self.list_duty.failures = 0;
        let epoch = self.list_duty.epoch;
        if epoch == Epoch::default() && !self.has_list() && !servers.is_empty() {
            self.list.read(self.now, epoch, servers);
            self.log_list("first", out);
            return;
        }
        if self.leads(partition()) != Some(epoch) {
            return;
        }
        if let Some(news) = self.list.read(self.now, epoch, servers) {
            self.log_list("read", out);
            let changed = news.upsert.iter().filter(|_| news.from.is_some());
            out.extend(changed.map(|server| Output::Log("server", describe(server))));
            self.send_to_all(&Peer::Servers(news), out);
        }
    }

    pub(crate) fn server_list_failed(&mut self, out: &mut Vec<Output>) {
        self.list_duty.reading = false;
        self.list_duty.failures += 1;
        self.list_duty.next = self.list_duty.next.min(self.now + ASK_AGAIN);
        out.push(Output::Log("list_failed", format!("in_a_row={}", self.list_duty.failures)));
        if self.list_duty.failures >= FAILURES_MAX {
            self.list_duty.failures = 0;
            self.list_duty.left_to_others_until = self.now + LEFT_TO_OTHERS;
        }
    }

    pub(crate) fn on_server_news(&mut self, from: NodeId, news: Servers, out: &mut Vec<Output>) {
        let before = self.list.position();
        if !self.list.follow(self.now, news) {
            out.push(Output::Send(from, Peer::WantServers));
        } else if before != self.list.position() {
            self.log_list("followed", out);
        }
    }

    pub(crate) fn send_server_list(&mut self, to: NodeId, out: &mut Vec<Output>) {
        if self.has_list() {
            out.push(Output::Send(to, Peer::Servers(self.list.whole(self.now))));
        }
    }

    fn log_list(&self, how: &str, out: &mut Vec<Output>) {
        let (epoch, number) = self.list.position();
        let pairs = format!("how={how} epoch={epoch} number={number} servers={}", self.list.len());
        out.push(Output::Log("servers", pairs));
    }
}

fn describe(server: &Server) -> String {
    let Server { id, zone, draining, cold_left_ms, .. } = server;
    let left = server.remaining_ms.map_or_else(String::new, |left| format!(" remaining_ms={left}"));
    format!("id={id} zone={zone} draining={draining} cold_left_ms={cold_left_ms}{left}")
}
