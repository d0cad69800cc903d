//! Control nodes on their machines: what they hear, what they want done, and what of that the judge sees.

use std::collections::BTreeSet;

use ivyhatch_control::partition_state::PartitionState;
use ivyhatch_control::server_list_reader::ReadId;
use ivyhatch_control::{ControlPlane, Input, NodeConfig, Output};
use ivyhatch_protocol::ids::{Ballot, NodeId, PartitionId, ReplicaId};
use ivyhatch_protocol::peer::{ConsensusMessage, Membership, PeerMessage};
use ivyhatch_protocol::watch::{Server, ServerListPosition};
use ivyhatch_protocol::{MILLISECOND, Nanos, SECOND};

use super::describe::peer_message;
use super::{Happening, Said, TICK, World, address, place};
use crate::chance::draw;
use crate::demand::zone;
use crate::disk::Disk;
use crate::injected_bugs::InjectedBug;
use crate::oracle::Invariant;

const PARTS: usize = ivyhatch_protocol::ids::HASHED_PARTITIONS as usize + 1;
/// A sync takes so long at the least and at the most.
const SYNC: (Nanos, Nanos) = (2 * MILLISECOND, 6 * MILLISECOND);
/// A write that a disk has refused is tried again after this.
const WRITE_AGAIN: Nanos = 200 * MILLISECOND;
/// A process that is told to end waits no longer than this for its successor.
const GRACE: Nanos = 6_500 * MILLISECOND;

/// Whether a disk says that it belongs to a voter of the first membership.
fn first_generation(stored: &ivyhatch_control::durable_state::DurableState) -> bool {
    let voter = stored.replica.zip(stored.membership.as_ref());
    voter
        .and_then(|((replica, _), membership)| membership.voter(replica))
        .is_some_and(|voter| voter.joined_generation == 1)
}

/// A machine of the core.
#[derive(Default)]
pub(super) struct Machine {
    pub(super) node: Option<ControlPlane>,
    /// Counts its starts.
    pub(super) life: u64,
    pub(super) frozen_until: Nanos,
    held: Vec<Happening>,
    pub(super) disk: Disk,
    /// Milliseconds that a write takes, where that is more than usual.
    pub(super) slow: Vec<u64>,
    pub(super) stalled: u32,
    /// Troubles under which its disk refuses writes.
    pub(super) full: u32,
    wants: Vec<NodeId>,
    pub(super) linked: BTreeSet<usize>,
    /// Who has handed its state to one that has lost its disk, or is new, until they are enough.
    wiped: Option<BTreeSet<usize>>,
    /// Its place: the number of the machine that was there first.
    pub(super) place: usize,
    /// It has been replaced, and does not come back.
    pub(super) is_gone: bool,
    /// The newest membership that it had when the judge looked last.
    pub(super) generation: u64,
    /// What it was before it lost its disk, for the fault that it goes on as that.
    before_wipe: Option<(ReplicaId, Option<Membership>, Option<u64>)>,
    pub(super) seen: [u64; PARTS],
    pub(super) list: ServerListPosition,
    pub(super) lower: Option<(Ballot, u64)>,
}

impl Machine {
    pub(super) fn at(place: usize) -> Self {
        Self { place, ..Self::default() }
    }

    pub(super) fn is_up(&self) -> bool {
        self.node.is_some()
    }

    pub(super) fn is_frozen(&self, now: Nanos) -> bool {
        now < self.frozen_until
    }

    /// Whether it counts as running: one that still has to be told what it has forgotten does not.
    pub(super) fn counts(&self) -> bool {
        self.is_up() && self.frozen_until == 0 && self.wiped.is_none()
    }

    /// Whether its disk does not hold the state with which it may vote.
    pub(super) fn lacks_state(&self) -> bool {
        let stored = self.disk.stored();
        stored.joined.is_none() && !first_generation(stored)
    }

    /// It comes with an empty disk, and counts once it has been handed the state.
    pub(super) fn await_state(&mut self) {
        self.wiped = Some(BTreeSet::new());
    }

    /// Whether it takes part at the end of a world.
    pub(super) fn takes_part(&self) -> bool {
        !self.is_gone
    }

    pub(super) fn places(&self) -> Vec<u64> {
        let place = |part: PartitionId| self.node.as_ref().map_or(0, |node| node.committed_state(part).0);
        PartitionId::all().map(place).collect()
    }

    pub(super) fn revision(&self) -> u64 {
        match self.node.as_ref().and_then(|node| node.committed_state(PartitionId::CONFIGURATION).1) {
            Some(PartitionState::Configuration(configured)) => configured.document.revision,
            _ => 0,
        }
    }

    /// What it has in force, as a follower's.
    pub(super) fn summary(&self) -> Vec<u64> {
        let Some(node) = &self.node else { return Vec::new() };
        let zones =
            (0..3).map(zone).flat_map(|zone| match node.committed_state(PartitionId::for_key(&zone)).1 {
                Some(PartitionState::Evacuations(evacuated)) => {
                    let (active, changes) = evacuated.zones.get(&zone).copied().unwrap_or_default();
                    [u64::from(active), changes]
                }
                _ => [0, 0],
            });
        [self.revision(), node.committed_state(PartitionId::CONFIGURATION).0]
            .into_iter()
            .chain(zones)
            .collect()
    }

    pub(super) fn reads_list(&self) -> bool {
        self.node
            .as_ref()
            .is_some_and(|node| node.leader_ballot(PartitionId::for_key("platform-list")).is_some())
    }
}

impl World<'_> {
    /// A machine's own steady clock.
    fn clock(&self, machine: usize) -> Nanos {
        self.now + (machine as u64 + 1) * 100 * SECOND
    }

    /// The control nodes that a machine's settings name: those that were there when it came.
    fn seeds_of(&self, machine: usize) -> Vec<NodeId> {
        let seeds = self.seeds.get(&machine).unwrap_or(&self.slots);
        seeds.iter().take(3).map(|one| address(*one)).collect()
    }

    pub(super) fn start(&mut self, machine: usize) {
        if self.machines[machine].is_up() || self.machines[machine].is_gone {
            return;
        }
        let now = self.clock(machine);
        let seeds = self.seeds_of(machine);
        let this = &mut self.machines[machine];
        this.life += 1;
        // The first machines start with the whole system.
        let first = this.life == 1 && machine < self.plan.members;
        let mut stored = this.disk.stored().clone();
        let forgotten = !first && stored.joined.is_none() && !first_generation(&stored);
        this.wiped = forgotten.then(BTreeSet::new);
        if let (Some(InjectedBug::VotesAfterWipe), Some(before)) =
            (self.injected_bug, this.before_wipe.take())
        {
            (stored.replica, stored.membership, stored.joined) =
                (Some((before.0, false)), before.1, before.2);
        }
        let identity = NodeConfig {
            node: address(machine),
            zone: zone(this.place),
            incarnation: draw(self.plan.seed, [5, machine as u64, this.life, 0]),
            has_disk: true,
            first_start: first,
            seeds,
            zones: (0..3).map(zone).collect(),
            server_list_interval: 500 * MILLISECOND,
            drain_timeout: GRACE,
        };
        this.node = Some(ControlPlane::new(identity, stored, now));
        (this.seen, this.list) = ([0; PARTS], ServerListPosition::default());
        (this.wants, this.frozen_until, this.lower, this.generation) = (Vec::new(), 0, None, 0);
        this.linked.clear();
        this.held.clear();
        let life = this.life;
        if !first {
            self.core_event = self.now;
        }
        self.note(|| format!("node {machine} starts, life {life}, forgotten {forgotten}"));
        self.after(0, Happening::Tick(machine, life));
        self.see(machine);
    }

    /// A process ends. `power` tells whether its machine goes too.
    pub(super) fn stop(&mut self, machine: usize, power: bool) {
        if !self.machines[machine].is_up() {
            return;
        }
        self.note(|| format!("node {machine} ends, power lost: {power}"));
        let present = self.below(3) == 0;
        let this = &mut self.machines[machine];
        this.node = None;
        this.held.clear();
        this.frozen_until = 0;
        // A full disk has nothing of the block.
        this.disk.cut_short(present && this.full == 0);
        for other in 0..self.machines.len() {
            self.machines[other].linked.remove(&machine);
        }
        self.machines[machine].linked.clear();
        self.core_event = self.now;
        self.sessions_of(machine, power);
    }

    /// A process that was told to end has done so: its machine is given back, with its disk.
    fn left(&mut self, machine: usize) {
        let life = self.machines[machine].life;
        self.after(0, Happening::Gone(machine, life));
    }

    /// A machine goes for good.
    pub(super) fn gone(&mut self, machine: usize) {
        self.stop(machine, true);
        self.machines[machine].disk.wipe();
        self.machines[machine].is_gone = true;
    }

    pub(super) fn wipe(&mut self, machine: usize) {
        let this = &mut self.machines[machine];
        let stored = this.disk.stored();
        let replica = stored.replica.map(|(replica, _)| replica);
        this.before_wipe = replica.map(|replica| (replica, stored.membership.clone(), stored.joined));
        this.disk.wipe();
        this.await_state();
    }

    pub(super) fn thaw(&mut self, machine: usize) {
        let now = self.now;
        let this = &mut self.machines[machine];
        if this.frozen_until == 0 || this.is_frozen(now) {
            return;
        }
        this.frozen_until = 0;
        self.core_event = now;
        self.note(|| format!("node {machine} thaws"));
        for happening in std::mem::take(&mut self.machines[machine].held) {
            self.after(0, happening);
        }
    }

    /// Whether a process of this life runs. One that stands still hears it later.
    pub(super) fn runs(
        &mut self,
        machine: usize,
        life: Option<u64>,
        happening: impl FnOnce() -> Happening,
    ) -> bool {
        let now = self.now;
        let this = &mut self.machines[machine];
        if !this.is_up() || life.is_some_and(|life| life != this.life) {
            return false;
        }
        if this.frozen_until > 0 {
            debug_assert!(now <= this.frozen_until, "it thaws in time");
            this.held.push(happening());
            return false;
        }
        true
    }

    pub(super) fn tick(&mut self, machine: usize, life: u64) {
        if !self.runs(machine, Some(life), || Happening::Tick(machine, life)) {
            return;
        }
        self.hear(machine, Input::Tick);
        self.dial(machine);
        let late = self.below(3) * MILLISECOND;
        self.after(TICK + late, Happening::Tick(machine, life));
    }

    /// Opens links that are wanted and not there.
    fn dial(&mut self, machine: usize) {
        let this = &self.machines[machine];
        let life = this.life;
        let open: Vec<usize> = this
            .wants
            .iter()
            .map(|node| place(*node))
            .filter(|to| !this.linked.contains(to) && self.machines[*to].is_up())
            .filter(|to| !self.links.is_cut(machine, *to) && !self.links.is_cut(*to, machine))
            .collect();
        for to in open {
            self.machines[machine].linked.insert(to);
            let after = (5 + self.below(25)) * MILLISECOND;
            self.after(after, Happening::Linked(machine, life, to));
        }
    }

    pub(super) fn linked(&mut self, machine: usize, life: u64, to: usize) {
        if self.runs(machine, Some(life), || Happening::Linked(machine, life, to)) {
            self.hear(machine, Input::Connected(address(to)));
        }
    }

    pub(super) fn arrives(&mut self, from: usize, to: usize, life: u64, said: Said) {
        match said {
            Said::Told(id, message) => self.told(from, to, life, id, message),
            Said::Follower(id, message) => {
                let held = || Happening::Arrives(from, to, life, Said::Follower(id, message.clone()));
                if self.runs(to, Some(life), held) && self.has_session(id) {
                    self.hear(to, Input::Watch(id, message));
                }
            }
            Said::Peer(message) => {
                let held = || Happening::Arrives(from, to, life, Said::Peer(message.clone()));
                if !self.runs(to, Some(life), held) {
                    return;
                }
                self.heard_by(to, from, &message);
                self.hear(to, Input::Peer(address(from), message));
            }
        }
    }

    fn heard_by(&mut self, machine: usize, from: usize, message: &PeerMessage) {
        self.note(|| format!("{from} -> {machine} {}", peer_message(message)));
        let seed = self.plan.seed;
        let members = self.plan.members;
        let this = &mut self.machines[machine];
        match message {
            // Any so many others know whatever a quorum has helped to acknowledge.
            PeerMessage::StateTransfer { incarnation, .. }
                if *incarnation == draw(seed, [5, machine as u64, this.life, 0]) =>
            {
                if let Some(told) = &mut this.wiped {
                    told.insert(from);
                    if told.len() > members / 2 {
                        this.wiped = None;
                    }
                }
            }
            PeerMessage::Consensus { message: ConsensusMessage::Accept(accepted), .. } => {
                this.lower = Some((accepted.ballot, accepted.sequence));
            }
            _ => {}
        }
    }

    pub(super) fn synced(&mut self, machine: usize, life: u64) {
        let this = &mut self.machines[machine];
        if !this.is_up() || this.life != life {
            return;
        }
        // The disk goes on while the process stands still; it learns of it later.
        if this.frozen_until > 0 {
            this.held.push(Happening::Synced(machine, life));
            return;
        }
        if this.stalled > 0 {
            self.after(20 * MILLISECOND, Happening::Synced(machine, life));
            return;
        }
        if this.full > 0 {
            self.after(WRITE_AGAIN, Happening::Synced(machine, life));
            return;
        }
        let tokens = this.disk.end();
        for token in tokens {
            if self.injected_bug != Some(InjectedBug::AcknowledgesBeforeSync) {
                self.hear(machine, Input::Stored(token));
            }
        }
        self.write(machine);
    }

    fn write(&mut self, machine: usize) {
        if !self.machines[machine].disk.begin() {
            return;
        }
        let usual = SYNC.0 + self.below(SYNC.1 - SYNC.0);
        let this = &self.machines[machine];
        let slow = this.slow.iter().max().copied().unwrap_or_default() * MILLISECOND;
        let life = this.life;
        self.after(usual.max(slow), Happening::Synced(machine, life));
    }

    /// The platform's list at this time.
    fn servers(&self) -> Vec<Server> {
        let step = self.now / (3 * SECOND);
        let server = |number: u64| Server {
            id: format!("i-{number}"),
            service: "s".to_owned(),
            address: "10.128.0.9:8080".to_owned(),
            zone: zone(number as usize % 3),
            slots: 8,
            draining: number == step,
            warm_up_remaining_ms: 0,
            lifetime_remaining_ms: None,
        };
        (step..step + 4).map(server).collect()
    }

    pub(super) fn listed(&mut self, machine: usize, life: u64, read: ReadId) {
        if !self.runs(machine, Some(life), || Happening::Listed(machine, life, read)) {
            return;
        }
        let troubled = self.now / MILLISECOND < self.plan.faults_end_ms;
        let event = if troubled && self.below(20) == 0 {
            Input::ServerListFailed(read)
        } else {
            Input::ServerList(read, self.servers())
        };
        self.hear(machine, event);
    }

    /// A node hears something, and what it wants done is done.
    pub(super) fn hear(&mut self, machine: usize, event: Input) {
        let now = self.clock(machine);
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let Some(node) = &mut self.machines[machine].node else { return };
            let mut actions = Vec::new();
            node.handle(now, event, &mut actions);
            for action in actions {
                self.act(machine, action, &mut events);
            }
        }
        self.see(machine);
    }

    fn act(&mut self, machine: usize, action: Output, events: &mut Vec<Input>) {
        match action {
            Output::Send(to, message) => {
                if let Some(message) = self.altered(machine, to, message, events) {
                    self.tell(machine, place(to), message);
                }
            }
            Output::ConnectTo(to) => {
                let this = &mut self.machines[machine];
                this.linked.retain(|place| to.contains(&address(*place)));
                this.wants = to;
            }
            Output::Store(token, records) => {
                self.note(|| format!("node {machine} stores {token}: {} records", records.len()));
                self.machines[machine].disk.write(token, records);
                if self.injected_bug == Some(InjectedBug::AcknowledgesBeforeSync) {
                    events.insert(0, Input::Stored(token));
                }
                self.write(machine);
            }
            Output::Respond(id, answer) => {
                self.note(|| format!("node {machine} answers {id}: {answer:?}"));
                if self.loses_answer() {
                    return self.answer_lost(id, &answer);
                }
                let after = (3 + self.below(10)) * MILLISECOND;
                self.after(after, Happening::Answer(id, answer));
            }
            Output::Watch(id, message) => self.tell_follower(machine, id, message),
            Output::CloseSession(id) => self.close(machine, id),
            Output::Drained => self.left(machine),
            Output::ReadServerList(read) => {
                let life = self.machines[machine].life;
                let after = (3 + self.below(30)) * MILLISECOND;
                self.after(after, Happening::Listed(machine, life, read));
            }
            Output::Log(event) => {
                self.note(|| format!("node {machine} event={} {event}", event.name()));
            }
        }
    }

    fn tell(&mut self, machine: usize, to: usize, message: PeerMessage) {
        let votes = matches!(
            message,
            PeerMessage::StateTransfer { .. }
                | PeerMessage::Consensus {
                    message: ConsensusMessage::Promise { .. }
                        | ConsensusMessage::Accepted { .. }
                        | ConsensusMessage::Confirmed { .. },
                    ..
                }
        );
        if votes && self.machines[machine].wiped.is_some() {
            let text = format!("node {machine} has lost its disk, and says {}", peer_message(&message));
            self.oracle.broken(Invariant::WipedIsSilent, text);
        }
        self.judge_vote(machine, &message);
        // What is said while no link is up is lost.
        if to < self.machines.len() && self.machines[machine].linked.contains(&to) {
            let life = self.machines[to].life;
            self.send(machine, to, life, Said::Peer(message));
        }
    }
}
