//! What lies between nodes and servers: ways, cuts, loss, and the connections over them.

use super::{MS, Next, Play, usual};
use crate::Nanos;
use crate::world::millis;
use ivyhatch_balancer::Outcome;

/// A message that is lost is sent again after this time.
const AGAIN: Nanos = 200 * MS;
/// An idle connection is closed after this time.
const IDLE: Nanos = 5_000 * MS;

/// How an attempt or a probe ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Code {
    Served,
    Error,
    Full,
    Unreached,
    TimedOut,
    Cancelled,
    Reset,
}

impl Code {
    pub(super) fn outcome(self) -> Outcome {
        match self {
            Self::Served => Outcome::Served,
            Self::Error => Outcome::Error,
            Self::Full => Outcome::Rejected,
            Self::Unreached => Outcome::ConnectFailed,
            Self::TimedOut => Outcome::TimedOut,
            Self::Cancelled => Outcome::Cancelled,
            Self::Reset => Outcome::Reset,
        }
    }

    /// Whether it is the server's word, which a cut or the server's death keeps from coming.
    pub(super) fn is_answer(self) -> bool {
        matches!(self, Self::Served | Self::Error | Self::Full)
    }
}

impl Play<'_> {
    pub(super) fn is_cut(&self, node: usize, server: u32) -> bool {
        let (home, zone) = (self.home(node), self.zone(server));
        home != zone && (self.cut[home as usize] > 0 || self.cut[zone as usize] > 0)
    }

    /// One way between a node and a server, for one message; none while a cut lies between.
    pub(super) fn way(&mut self, node: usize, server: u32) -> Option<Nanos> {
        if self.is_cut(node, server) {
            return None;
        }
        let (home, zone) = (self.home(node) as usize, self.zone(server) as usize);
        let same = home == zone;
        let mut way = usual(self.world, same);
        let mut loss = self.world.loss;
        if !same {
            way += millis(self.farther[home] + self.farther[zone]);
            loss += self.lossy[home] + self.lossy[zone];
        }
        if self.world.jitter_ms > 0.0 {
            way += millis(self.world.jitter_ms * self.links.unit());
        }
        // No more than twice: who loses three in a row is cut off, and that is a trouble of its own.
        if loss > 0.0 {
            way += (0..2).take_while(|_| self.links.unit() < loss).count() as Nanos * AGAIN;
        }
        Some(way)
    }

    /// Takes a connection to a server: an idle one, or a new one, which takes a handshake. How much later the request
    /// goes out, or none where the server takes no more connections.
    pub(super) fn connect(&mut self, node: usize, server: u32, way: Nanos) -> Option<Nanos> {
        let idle = self.nodes[node].idle.get_mut(&server).and_then(std::collections::VecDeque::pop_back);
        if idle.is_some() {
            return Some(0);
        }
        if !self.servers[server as usize].connect() {
            return None;
        }
        self.nodes[node].connections += 1;
        self.most_connections = self.most_connections.max(self.nodes[node].connections);
        // One way there and back before the first byte of the request.
        Some(2 * way)
    }

    /// Gives a connection back: kept for the next request, or closed where it is not known what is on it.
    pub(super) fn release(&mut self, node: usize, server: u32, sound: bool) {
        if sound {
            self.nodes[node].idle.entry(server).or_default().push_back(self.now);
            self.at(self.now + IDLE, Next::Closes(node, server));
        } else {
            self.hang_up(node, server);
        }
    }

    fn hang_up(&mut self, node: usize, server: u32) {
        let (node, server) = (&mut self.nodes[node], &mut self.servers[server as usize]);
        node.connections = node.connections.saturating_sub(1);
        server.connections = server.connections.saturating_sub(1);
    }

    pub(super) fn closes(&mut self, node: usize, server: u32) {
        let now = self.now;
        let idle = self.nodes[node].idle.get_mut(&server);
        if idle.is_some_and(|idle| idle.pop_front_if(|since| *since + IDLE <= now).is_some()) {
            self.hang_up(node, server);
        }
    }
}
