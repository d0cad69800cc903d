//! What goes wrong, and how nodes learn which servers there are.

use super::links::Code;
use super::{Attempt, MS, Next, Play, Try};
use crate::Nanos;
use crate::server::ServerState;
use crate::world::{FaultKind, seconds};
use ivyhatch_balancer::{BackendId, BackendState, Event, ListScope, Member, ZoneId};

/// A call for the list that finds nobody fails after this time.
const CALL: Nanos = 250 * MS;

fn stage(state: ServerState) -> BackendState {
    match state {
        ServerState::Serving => BackendState::InService,
        ServerState::Draining => BackendState::Draining,
        ServerState::Gone => BackendState::Removed,
    }
}

impl Play<'_> {
    fn member(&self, server: u32, stage: BackendState, online_since: Option<Nanos>) -> Member {
        let zone = ZoneId(self.zone(server));
        let group = self.servers[server as usize].group;
        // Its size is its cores: what a list can know. How fast they are it cannot.
        let size = f64::from(group.cores);
        Member {
            backend: BackendId(server),
            zone,
            machine_kind: 0,
            state: stage,
            weight: size,
            online_since,
            ..Member::default()
        }
    }

    /// The number of the whole list as calls get it now; those that have gone are not on it.
    pub(super) fn list(&mut self) -> usize {
        if let Some((_, list)) = self.stale {
            return list;
        }
        if !std::mem::replace(&mut self.list_holds, true) {
            let there = (0..).zip(&self.servers).filter(|(_, server)| server.state != ServerState::Gone);
            let list = there.map(|(number, server)| self.member(number, stage(server.state), server.started));
            self.lists_made.push(list.collect());
        }
        self.lists_made.len() - 1
    }

    /// When a node hears what is told now: later by a lag, and nothing overtakes what was told before.
    fn heard_at(&mut self, node: usize) -> Nanos {
        let discovery = self.world.discovery;
        let mut at = self.now + discovery.lag_ms * MS;
        if discovery.jitter_ms > 0 {
            at += (self.lists.unit() * (discovery.jitter_ms * MS) as f64) as Nanos;
        }
        let until = &mut self.nodes[node].told_until;
        *until = at.max(*until);
        *until
    }

    /// A node asks for the list, with or without all changes from now on.
    pub(super) fn watch(&mut self, node: usize, changes: bool) {
        let life = self.nodes[node].life;
        if self.lists_down > 0 {
            return self.at(self.now + CALL, Next::ListFails(node, life));
        }
        let (at, list) = (self.heard_at(node), self.list());
        self.at(at, Next::Listed(node, life, list, changes));
    }

    pub(super) fn listed(&mut self, node: usize, life: u32, list: usize, watch: bool) {
        if self.nodes[node].life != life {
            return;
        }
        if self.lists_down > 0 {
            return self.tell(node, Event::DiscoveryFailed);
        }
        self.nodes[node].watching |= watch;
        let members = self.lists_made[list].to_vec();
        self.tell_list(node, ListScope::Full, members);
    }

    pub(super) fn list_fails(&mut self, node: usize, life: u32) {
        if self.nodes[node].life == life {
            self.nodes[node].watching = false;
            self.tell(node, Event::DiscoveryFailed);
        }
    }

    fn tell_list(&mut self, node: usize, scope: ListScope, members: Vec<Member>) {
        let all = scope == ListScope::Full;
        let serving =
            members.iter().map(|m| (m.backend.0, m.state == BackendState::InService, m.online_since));
        let serving: Vec<_> = serving.collect();
        if all {
            self.oracle.told_all(node, &serving, self.servers.len() as u32, self.now);
        } else {
            serving
                .into_iter()
                .for_each(|(server, on, since)| self.oracle.told(node, server, on, since, self.now));
        }
        self.tell(node, Event::Membership { scope, members });
    }

    pub(super) fn told(&mut self, node: usize, life: u32, server: u32, stage: u8, since: Option<Nanos>) {
        if self.nodes[node].life != life || !self.nodes[node].watching {
            return;
        }
        let stage =
            [BackendState::InService, BackendState::Draining, BackendState::Removed][usize::from(stage)];
        let members = vec![self.member(server, stage, since)];
        self.tell_list(node, ListScope::Changes, members);
    }

    pub(super) fn whole(&mut self) {
        if self.lists_down == 0 {
            for node in 0..self.nodes.len() {
                if self.nodes[node].watching {
                    self.watch(node, true);
                }
            }
        }
        let next = self.now + seconds(self.world.discovery.full_list_interval_s);
        if next < self.end {
            self.at(next, Next::Whole);
        }
    }

    fn announce(&mut self, server: u32, stage: u8, since: Option<Nanos>) {
        self.list_holds = false;
        if self.lists_down > 0 {
            return;
        }
        for node in 0..self.nodes.len() {
            let (at, life) = (self.heard_at(node), self.nodes[node].life);
            self.at(at, Next::Told(node, life, server, stage, since));
        }
    }

    /// A server falls over under what reached it while cold.
    pub(super) fn falls(&mut self, server: u32, rushed: bool) {
        if rushed {
            self.oracle.rushed(server, self.now);
        }
        self.reset(server);
        self.announce(server, 2, None);
    }

    /// A process has died: what stands open to it breaks, in an order that does not depend on any table's.
    fn reset(&mut self, server: u32) {
        let mut out: Vec<Attempt> = Vec::new();
        for (&(node, request), open) in &self.open {
            let to = |made: &Option<Try>| made.as_ref().is_some_and(|made| made.server == server);
            let numbers = open.attempts.iter().zip(0..).filter(|(made, _)| to(made));
            out.extend(numbers.map(|(_, number)| Attempt { node, request, number }));
        }
        out.sort_unstable();
        for attempt in out {
            if let Some(way) = self.way(attempt.node, server) {
                self.at(self.now + way, Next::Ends(attempt, Code::Reset));
            }
        }
        for node in &mut self.nodes {
            let idle = node.idle.remove(&server).map_or(0, |idle| idle.len() as u32);
            node.connections = node.connections.saturating_sub(idle);
        }
    }

    pub(super) fn apply_fault(&mut self, number: usize, begins: bool) {
        let fault = self.world.faults[number].clone();
        let part = if begins { fault.fraction } else { 0.0 };
        let step = |count: &mut u32| *count = if begins { *count + 1 } else { *count - 1 };
        let zone = fault.zone as usize;
        match fault.kind {
            // Told by the arrivals.
            FaultKind::Burst => {}
            FaultKind::ZonePartition => step(&mut self.cut[zone]),
            FaultKind::AddedLatency => {
                self.farther[zone] += if begins { fault.added_latency_ms } else { -fault.added_latency_ms }
            }
            FaultKind::PacketLoss => {
                self.lossy[zone] += if begins { fault.fraction } else { -fault.fraction }
            }
            FaultKind::NoisyNeighbour => {
                fault.servers.iter().for_each(|&s| self.servers[s as usize].neighbour = part)
            }
            FaultKind::Errors => fault.servers.iter().for_each(|&s| self.servers[s as usize].errors = part),
            FaultKind::FalseReadiness => {
                fault.servers.iter().for_each(|&s| self.servers[s as usize].lies = begins)
            }
            FaultKind::Hang => fault.servers.iter().for_each(|&s| self.servers[s as usize].hangs = begins),
            FaultKind::ProbeTimeout => {
                fault.servers.iter().for_each(|&s| self.servers[s as usize].deaf = begins)
            }
            FaultKind::Drain => fault.servers.iter().for_each(|&server| self.drain(server, begins)),
            FaultKind::Restart => fault.servers.iter().for_each(|&server| self.restart(server, begins)),
            FaultKind::DiscoveryDown => {
                step(&mut self.lists_down);
                if self.lists_down == 1 && begins {
                    for node in 0..self.nodes.len() {
                        let life = self.nodes[node].life;
                        self.at(self.now + CALL, Next::ListFails(node, life));
                    }
                }
            }
            FaultKind::DiscoveryStale => self.stale(begins),
            FaultKind::NodeCrash => fault.nodes.iter().for_each(|&node| match begins {
                true => self.crash(node as usize),
                false => self.revive(node as usize),
            }),
            FaultKind::NodeShutdown => fault.nodes.iter().for_each(|&node| match begins {
                true => self.nodes[node as usize].up = false,
                // What it has not finished by then is lost, as with any process that is ended.
                false => {
                    self.crash(node as usize);
                    self.revive(node as usize);
                }
            }),
        }
    }

    fn drain(&mut self, server: u32, begins: bool) {
        let of = &mut self.servers[server as usize];
        match (begins, of.state) {
            (true, ServerState::Serving) => {
                of.state = ServerState::Draining;
                self.announce(server, 1, self.servers[server as usize].started);
            }
            (false, ServerState::Draining) => {
                of.die(self.now);
                self.reset(server);
                self.announce(server, 2, None);
            }
            // It has died meanwhile, or was gone already.
            _ => {}
        }
    }

    fn restart(&mut self, server: u32, begins: bool) {
        if begins {
            self.servers[server as usize].die(self.now);
            self.reset(server);
            self.announce(server, 2, None);
        } else {
            self.servers[server as usize].restart(self.now);
            self.announce(server, 0, Some(self.now));
        }
    }

    /// Whole lists stop, or begin again, to follow what happens, as where a replica that lags answers the calls. Who watches
    /// gets a true one when they do.
    fn stale(&mut self, begins: bool) {
        if begins {
            let (count, list) = self.stale.unwrap_or((0, self.list()));
            self.stale = Some((count + 1, list));
            return;
        }
        self.stale = self.stale.filter(|(count, _)| *count > 1).map(|(count, list)| (count - 1, list));
        if self.stale.is_none() && self.lists_down == 0 {
            (0..self.nodes.len()).for_each(|node| self.watch(node, true));
        }
    }

    /// A node dies with all that it holds: its clients see a broken connection.
    fn crash(&mut self, node: usize) {
        let mut held: Vec<u64> =
            self.open.keys().filter(|(of, _)| *of == node).map(|(_, request)| *request).collect();
        held.sort_unstable();
        let of = &mut self.nodes[node];
        (of.up, of.dead, of.watching) = (false, true, false);
        (of.open, of.connections, of.told_until) = (0, 0, 0);
        of.life += 1;
        let idle: Vec<(u32, u32)> =
            of.idle.drain().map(|(server, idle)| (server, idle.len() as u32)).collect();
        for (server, count) in idle {
            let connections = &mut self.servers[server as usize].connections;
            *connections = connections.saturating_sub(count);
        }
        for request in held {
            let Some(open) = self.open.remove(&(node, request)) else { continue };
            self.oracle.lost(node, request);
            for made in open.attempts.into_iter().flatten() {
                if made.connected {
                    let connections = &mut self.servers[made.server as usize].connections;
                    *connections = connections.saturating_sub(1);
                }
                if made.job > 0
                    && let Some(way) = self.way(node, made.server)
                {
                    self.at(self.now + way, Next::Withdrawn(made.server, made.job));
                }
            }
            if !open.answered {
                self.broken_off(open.client);
            }
        }
        self.oracle.forgets(node);
    }

    /// A node starts, with the list that it held last and nothing else.
    fn revive(&mut self, node: usize) {
        if self.nodes[node].up {
            return;
        }
        self.nodes[node].who = self.decider_of(node);
        (self.nodes[node].up, self.nodes[node].dead) = (true, false);
        self.tell(node, Event::Start);
        let list = self.list();
        let members = self.lists_made[list].to_vec();
        self.oracle.cached(node, &members, self.now);
        self.tell(node, Event::Membership { scope: ListScope::Cached, members });
    }
}
