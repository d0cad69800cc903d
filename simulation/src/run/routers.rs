//! Routers, as far as they follow: their sessions with control nodes, and what they have in force.

use std::collections::BTreeMap;

use ivyhatch_control::SessionId;
use ivyhatch_protocol::ids::PartitionId;
use ivyhatch_protocol::watch::{Router as Named, RouterState, WatchResponse};
use ivyhatch_protocol::{MILLISECOND, Nanos};
use ivyhatch_routing::watch_client::{EvacuationState, Input, Output, WatchClient};

use super::describe::follower_message;
use super::{CONTACT, Happening, Said, TICK, World, address, place};
use crate::demand::{digest, zone};
use crate::injected_bugs::InjectedBug;
use crate::oracle::FollowerView;

/// Unanswered bytes end a session after this.
const UNANSWERED: Nanos = 2_500 * MILLISECOND;

/// A router ends a session on which nothing came for so long, as its host does.
const SILENT: Nanos = 1_800 * MILLISECOND;

/// A session that a router holds.
#[derive(Clone, Copy, Debug)]
struct Session {
    id: SessionId,
    life: u64,
    heard: Nanos,
}

/// A router.
#[derive(Debug, Default)]
pub(super) struct Router {
    follower: Option<WatchClient>,
    pub(super) life: u64,
    wants: Vec<usize>,
    sessions: BTreeMap<usize, Session>,
    seen: u64,
    /// When it or its links were last in trouble.
    pub(super) event: Nanos,
    pub(super) aside: u32,
}

impl Router {
    pub(super) fn is_calm(&self, now: Nanos) -> bool {
        self.follower.is_some() && self.aside == 0 && now >= self.event + CONTACT
    }

    pub(super) fn view(&self, number: usize, in_touch: bool) -> FollowerView {
        let zones = (0..3).map(zone);
        let evacuated =
            |zone: String| self.follower.as_ref().is_some_and(|follower| follower.evacuation(&zone).active);
        FollowerView {
            number,
            revision: self.revision(),
            evacuated: zones.map(evacuated).collect(),
            in_touch,
        }
    }

    pub(super) fn revision(&self) -> u64 {
        self.follower.as_ref().map_or(0, |follower| follower.document().revision)
    }

    /// What it has in force.
    pub(super) fn summary(&self) -> Vec<u64> {
        let Some(follower) = &self.follower else { return Vec::new() };
        let zones = (0..3).map(zone).flat_map(|zone| {
            let EvacuationState { active, change_count: changes } = follower.evacuation(&zone);
            [u64::from(active), changes]
        });
        [follower.document().revision, follower.sequence()].into_iter().chain(zones).collect()
    }
}

impl World<'_> {
    fn place_of(&self, follower: usize) -> usize {
        self.plan.machines() + follower
    }

    pub(super) fn follower_start(&mut self, follower: usize) {
        let number = self.place_of(follower);
        let router = Named {
            node: address(number),
            client_address: format!("{}:8161", address(number)),
            zone: zone(follower % 3),
            region: "region".to_owned(),
            state: RouterState::Starting,
        };
        let seeds: Vec<_> = self.slots.iter().take(3).map(|one| address(*one)).collect();
        let this = &mut self.routers[follower];
        if this.follower.is_some() {
            return;
        }
        this.life += 1;
        this.event = self.now;
        this.follower = Some(WatchClient::new(router, &seeds, self.now));
        (this.seen, this.wants) = (0, Vec::new());
        this.sessions.clear();
        let life = this.life;
        self.after(0, Happening::FollowerTick(follower, life));
    }

    /// A follower reads its settings anew.
    pub(super) fn settings_read(&mut self, follower: usize) {
        let seeds = self.slots.iter().map(|machine| address(*machine)).collect();
        self.follower_hears(follower, Input::Seeds(seeds));
    }

    pub(super) fn follower_stop(&mut self, follower: usize) {
        let this = &mut self.routers[follower];
        if this.follower.take().is_none() {
            return;
        }
        this.event = self.now;
        for (machine, session) in std::mem::take(&mut this.sessions) {
            self.after(20 * MILLISECOND, Happening::SessionClosed(machine, session.life, session.id));
        }
    }

    pub(super) fn follower_tick(&mut self, follower: usize, life: u64) {
        let this = &self.routers[follower];
        if this.follower.is_none() || this.life != life {
            return;
        }
        let silent = |(_, session): &(&usize, &Session)| self.now >= session.heard + SILENT;
        let silent: Vec<(usize, SessionId)> =
            this.sessions.iter().filter(silent).map(|(machine, session)| (*machine, session.id)).collect();
        for (machine, id) in silent {
            self.session_lost(follower, machine, id);
        }
        self.follower_hears(follower, Input::Tick);
        let wanted: Vec<usize> = self.routers[follower].wants.clone();
        let own = self.place_of(follower);
        for machine in wanted {
            if self.routers[follower].sessions.contains_key(&machine) {
                continue;
            }
            let cut = self.links.is_cut(own, machine) || self.links.is_cut(machine, own);
            if self.machines[machine].is_up() && !cut {
                let of = self.machines[machine].life;
                let id = self.desk.number();
                self.routers[follower].sessions.insert(machine, Session { id, life: of, heard: self.now });
                let after = (10 + self.below(20)) * MILLISECOND;
                self.after(after, Happening::Session(follower, life, machine, id));
            } else {
                self.follower_hears(follower, Input::Disconnected(address(machine)));
            }
        }
        let late = self.below(3) * MILLISECOND;
        self.after(TICK + late, Happening::FollowerTick(follower, life));
    }

    pub(super) fn session(&mut self, follower: usize, life: u64, machine: usize, id: SessionId) {
        let this = &self.routers[follower];
        if this.life == life && this.sessions.get(&machine).is_some_and(|session| session.id == id) {
            self.follower_hears(
                follower,
                Input::Connected { node: address(machine), round_trip: 20 * MILLISECOND },
            );
        }
    }

    /// The follower notices that a session has ended.
    pub(super) fn session_lost(&mut self, follower: usize, machine: usize, id: SessionId) {
        let this = &mut self.routers[follower];
        if this.sessions.get(&machine).is_some_and(|session| session.id == id) {
            let session = this.sessions.remove(&machine);
            self.follower_hears(follower, Input::Disconnected(address(machine)));
            if let Some(session) = session {
                self.after(20 * MILLISECOND, Happening::SessionClosed(machine, session.life, id));
            }
        }
    }

    pub(super) fn session_closed(&mut self, machine: usize, life: u64, id: SessionId) {
        if self.runs(machine, Some(life), || Happening::SessionClosed(machine, life, id)) {
            self.hear(machine, ivyhatch_control::Input::SessionClosed(id));
        }
    }

    /// Sessions with a machine end: at once where its process has, after a silence where it has no power.
    pub(super) fn sessions_of(&mut self, machine: usize, power: bool) {
        let after = if power { UNANSWERED } else { 10 * MILLISECOND };
        let ended = |(number, router): (usize, &Router)| {
            router.sessions.get(&machine).map(|session| (number, session.id))
        };
        let all: Vec<(usize, SessionId)> = self.routers.iter().enumerate().filter_map(ended).collect();
        for (follower, id) in all {
            self.after(after, Happening::SessionLost(follower, machine, id));
        }
    }

    /// A cut around a follower ends its sessions after a silence, if it lasts.
    pub(super) fn sessions_cut(&mut self, follower: usize, machine: usize) {
        if let Some(session) = self.routers[follower].sessions.get(&machine) {
            let id = session.id;
            self.after(UNANSWERED, Happening::SessionLost(follower, machine, id));
        }
    }

    pub(super) fn has_session(&self, id: SessionId) -> bool {
        self.routers.iter().any(|router| router.sessions.values().any(|session| session.id == id))
    }

    fn holder(&self, machine: usize, id: SessionId) -> Option<usize> {
        let holds = |router: &Router| router.sessions.get(&machine).is_some_and(|session| session.id == id);
        self.routers.iter().position(holds)
    }

    /// The control node closes a session.
    pub(super) fn close(&mut self, machine: usize, id: SessionId) {
        if let Some(follower) = self.holder(machine, id) {
            self.after(10 * MILLISECOND, Happening::SessionLost(follower, machine, id));
        }
    }

    pub(super) fn tell_follower(&mut self, machine: usize, id: SessionId, message: WatchResponse) {
        if let Some(follower) = self.holder(machine, id) {
            let life = self.routers[follower].life;
            self.send(machine, self.place_of(follower), life, Said::Told(id, message));
        }
    }

    pub(super) fn told(
        &mut self,
        machine: usize,
        to: usize,
        life: u64,
        id: SessionId,
        message: WatchResponse,
    ) {
        let follower = to - self.plan.machines();
        let this = &mut self.routers[follower];
        let session = this.sessions.get_mut(&machine).filter(|session| session.id == id);
        let Some(session) = session.filter(|_| this.life == life) else { return };
        session.heard = self.now;
        self.note(|| format!("{machine} -> follower {follower} {}", follower_message(&message)));
        let message = match (self.injected_bug, message, &self.routers[follower].follower) {
            (Some(InjectedBug::AppliesOverGap), WatchResponse::Change { to, change, .. }, Some(known)) => {
                WatchResponse::Change { from: known.sequence(), to, change }
            }
            (_, message, _) => message,
        };
        self.follower_hears(follower, Input::Message(address(machine), message));
    }

    fn follower_hears(&mut self, follower: usize, heard: Input) {
        let now = self.now + 1_000 * ivyhatch_protocol::SECOND;
        let Some(follows) = &mut self.routers[follower].follower else { return };
        let mut done = Vec::new();
        follows.handle(now, heard, &mut done);
        if follows.is_ready() {
            follows.handle(now, Input::State(RouterState::Ready), &mut done);
        }
        let own = self.place_of(follower);
        for done in done {
            match done {
                Output::SetConnections(to) => {
                    let wants: Vec<usize> = to.into_iter().map(place).collect();
                    let this = &mut self.routers[follower];
                    let left = this.sessions.extract_if(.., |machine, _| !wants.contains(machine));
                    let left: Vec<_> = left.collect();
                    this.wants = wants;
                    for (machine, session) in left {
                        self.after(
                            20 * MILLISECOND,
                            Happening::SessionClosed(machine, session.life, session.id),
                        );
                    }
                }
                Output::Send(to, message) => {
                    let machine = place(to);
                    if let Some(session) = self.routers[follower].sessions.get(&machine).copied() {
                        self.send(own, machine, session.life, Said::Follower(session.id, message));
                    }
                }
                Output::Log(event) => self.note(|| format!("follower {follower} event={event}")),
                _ => {}
            }
        }
        self.see_follower(follower);
    }

    fn see_follower(&mut self, follower: usize) {
        let who = (address(self.place_of(follower)).0, self.routers[follower].life);
        let this = &mut self.routers[follower];
        let Some(follows) = &this.follower else { return };
        let sequence = follows.sequence();
        if sequence == this.seen {
            return;
        }
        this.seen = sequence;
        let digest = digest(follows.document());
        self.oracle.seen(who, PartitionId::CONFIGURATION, sequence, digest);
        self.oracle.in_force(sequence, follows.document().revision, digest);
    }
}
