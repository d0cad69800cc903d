//! Control nodes on their machines: what they hear, what they want done, and what of that the judge sees.

use std::collections::BTreeSet;

use ivyhatch_control::server_list::ReadId;
use ivyhatch_control::state::State;
use ivyhatch_control::{Action, Event, Identity, Node};
use ivyhatch_protocol::feed::Server;
use ivyhatch_protocol::ids::{Epoch, NodeId, Part, hash, mix};
use ivyhatch_protocol::peer::{Deciding, Peer, Standing};
use ivyhatch_protocol::{MILLISECOND, Nanos, SECOND};
use speedy::Writable;

use super::{Happening, Said, TICK, World, address, place};
use crate::chance::draw;
use crate::demand::{digest, zone};
use crate::disk::Disk;
use crate::oracle::Rule;
use crate::planted::Planted;

const PARTS: usize = ivyhatch_protocol::ids::HASHED_PARTS as usize + 1;
/// A sync takes so long at the least and at the most.
const SYNC: (Nanos, Nanos) = (2 * MILLISECOND, 6 * MILLISECOND);

/// A machine of the core.
#[derive(Default)]
pub(super) struct Machine {
    pub(super) node: Option<Node>,
    /// Counts its starts.
    pub(super) life: u64,
    pub(super) frozen_until: Nanos,
    held: Vec<Happening>,
    pub(super) disk: Disk,
    /// Milliseconds that a write takes, where that is more than usual.
    pub(super) slow: Vec<u64>,
    pub(super) stalled: u32,
    wants: Vec<NodeId>,
    pub(super) linked: BTreeSet<usize>,
    /// Who has told one that has lost its disk, until that is enough.
    wiped: Option<BTreeSet<usize>>,
    seen: [u64; PARTS],
    list: (Epoch, u64),
    lower: Option<(Epoch, u64)>,
}

impl Machine {
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

    pub(super) fn places(&self) -> Vec<u64> {
        let place = |part: Part| self.node.as_ref().map_or(0, |node| node.decided(part).0);
        Part::all().map(place).collect()
    }

    pub(super) fn revision(&self) -> u64 {
        match self.node.as_ref().and_then(|node| node.decided(Part::CONFIGURATION).1) {
            Some(State::Configured(configured)) => configured.document.revision,
            _ => 0,
        }
    }

    /// What it has in force, as a follower's.
    pub(super) fn summary(&self) -> Vec<u64> {
        let Some(node) = &self.node else { return Vec::new() };
        let zones = (0..3).map(zone).flat_map(|zone| match node.decided(Part::of(&zone)).1 {
            Some(State::Evacuated(evacuated)) => {
                let (active, changes) = evacuated.zones.get(&zone).copied().unwrap_or_default();
                [u64::from(active), changes]
            }
            _ => [0, 0],
        });
        [self.revision(), node.decided(Part::CONFIGURATION).0].into_iter().chain(zones).collect()
    }

    pub(super) fn reads_list(&self) -> bool {
        self.node.as_ref().is_some_and(|node| node.owns(Part::of("platform-list")).is_some())
    }
}

impl World<'_> {
    /// A machine's own steady clock.
    fn clock(&self, machine: usize) -> Nanos {
        self.now + (machine as u64 + 1) * 100 * SECOND
    }

    pub(super) fn start(&mut self, machine: usize) {
        if self.machines[machine].is_up() {
            return;
        }
        let (now, members) = (self.clock(machine), self.plan.members);
        let this = &mut self.machines[machine];
        this.life += 1;
        let first = this.life == 1;
        let mut stored = this.disk.stored().clone();
        let forgotten = !first && stored.group.is_none();
        this.wiped = forgotten.then(BTreeSet::new);
        if forgotten && self.planted == Some(Planted::VotesAfterWipe) {
            let members = (0..members).map(address).collect();
            stored.group = Some(ivyhatch_protocol::peer::Group { members });
        }
        let identity = Identity {
            me: address(machine),
            life: draw(self.plan.seed, [5, machine as u64, this.life, 0]),
            has_disk: true,
            first_start: first,
            seeds: (0..members.min(3)).map(address).collect(),
            zones: (0..3).map(zone).collect(),
            tolerate: self.plan.tolerate,
            list_every: 500 * MILLISECOND,
        };
        this.node = Some(Node::new(identity, stored, now));
        (this.seen, this.list) = ([0; PARTS], (Epoch::default(), 0));
        (this.wants, this.frozen_until, this.lower) = (Vec::new(), 0, None);
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
        this.disk.cut_short(present);
        for other in 0..self.plan.members {
            self.machines[other].linked.remove(&machine);
        }
        self.machines[machine].linked.clear();
        self.core_event = self.now;
        self.sessions_of(machine, power);
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
        self.hear(machine, Event::Tick);
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
            self.hear(machine, Event::Linked(address(to)));
        }
    }

    pub(super) fn arrives(&mut self, from: usize, to: usize, life: u64, said: Said) {
        match said {
            Said::Told(id, message) => self.told(from, to, life, id, message),
            Said::Follower(id, message) => {
                let held = || Happening::Arrives(from, to, life, Said::Follower(id, message.clone()));
                if self.runs(to, Some(life), held) && self.has_session(id) {
                    self.hear(to, Event::Follower(id, message));
                }
            }
            Said::Peer(message) => {
                let held = || Happening::Arrives(from, to, life, Said::Peer(message.clone()));
                if !self.runs(to, Some(life), held) {
                    return;
                }
                self.heard_by(to, from, &message);
                self.hear(to, Event::Peer(address(from), message));
            }
        }
    }

    fn heard_by(&mut self, machine: usize, from: usize, message: &Peer) {
        self.note(|| format!("{from} -> {machine} {}", short(message)));
        let seed = self.plan.seed;
        let members = self.plan.members;
        let this = &mut self.machines[machine];
        match message {
            // Any so many others know whatever most have helped to acknowledge.
            Peer::Recalled { life, .. } if *life == draw(seed, [5, machine as u64, this.life, 0]) => {
                if let Some(told) = &mut this.wiped {
                    told.insert(from);
                    if told.len() > members - (members / 2 + 1) {
                        this.wiped = None;
                    }
                }
            }
            Peer::Deciding(_, Deciding::Accept(accepted)) => {
                this.lower = Some((accepted.epoch, accepted.sequence))
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
        let tokens = this.disk.end();
        for token in tokens {
            if self.planted != Some(Planted::AcknowledgesBeforeSync) {
                self.hear(machine, Event::Stored(token));
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
            cold_left_ms: 0,
            remaining_ms: None,
        };
        (step..step + 4).map(server).collect()
    }

    pub(super) fn listed(&mut self, machine: usize, life: u64, read: ReadId) {
        if !self.runs(machine, Some(life), || Happening::Listed(machine, life, read)) {
            return;
        }
        let troubled = self.now / MILLISECOND < self.plan.faults_end_ms;
        let event = if troubled && self.below(20) == 0 {
            Event::ListFailed(read)
        } else {
            Event::Listed(read, self.servers())
        };
        self.hear(machine, event);
    }

    /// A node hears something, and what it wants done is done.
    pub(super) fn hear(&mut self, machine: usize, event: Event) {
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

    fn act(&mut self, machine: usize, action: Action, events: &mut Vec<Event>) {
        match action {
            Action::Tell(to, message) => {
                if let Some(message) = self.altered(machine, to, message, events) {
                    self.tell(machine, place(to), message);
                }
            }
            Action::Links(to) => {
                let this = &mut self.machines[machine];
                this.linked.retain(|place| to.contains(&address(*place)));
                this.wants = to;
            }
            Action::Store(token, records) => {
                self.note(|| format!("node {machine} stores {token}: {} records", records.len()));
                self.machines[machine].disk.write(token, records);
                if self.planted == Some(Planted::AcknowledgesBeforeSync) {
                    events.insert(0, Event::Stored(token));
                }
                self.write(machine);
            }
            Action::Answer(id, answer) => {
                self.note(|| format!("node {machine} answers {id}: {answer:?}"));
                let after = (3 + self.below(10)) * MILLISECOND;
                self.after(after, Happening::Answer(id, answer));
            }
            Action::Follower(id, message) => self.tell_follower(machine, id, message),
            Action::Close(id) => self.close(machine, id),
            Action::ReadList(read) => {
                let life = self.machines[machine].life;
                let after = (3 + self.below(30)) * MILLISECOND;
                self.after(after, Happening::Listed(machine, life, read));
            }
            Action::Log(event, pairs) => self.note(|| format!("node {machine} event={event} {pairs}")),
        }
    }

    fn tell(&mut self, machine: usize, to: usize, message: Peer) {
        let votes = matches!(
            message,
            Peer::Recalled { .. }
                | Peer::Deciding(
                    _,
                    Deciding::Promise { .. } | Deciding::Done { .. } | Deciding::Stands { .. }
                )
        );
        if votes && self.machines[machine].wiped.is_some() {
            let text = format!("node {machine} has lost its disk, and says {}", short(&message));
            self.oracle.broken(Rule::WipedIsSilent, text);
        }
        // What is said while no link is up is lost.
        if to < self.plan.members && self.machines[machine].linked.contains(&to) {
            let life = self.machines[to].life;
            self.send(machine, to, life, Said::Peer(message));
        }
    }

    /// A message as it is sent with a known fault put in; none where it is not sent.
    fn altered(
        &mut self,
        machine: usize,
        to: NodeId,
        message: Peer,
        events: &mut Vec<Event>,
    ) -> Option<Peer> {
        match (self.planted, &message) {
            (Some(Planted::SkipsConfirmation), Peer::Deciding(part, Deciding::Confirm { epoch, number })) => {
                let stands = Deciding::Stands { epoch: *epoch, number: *number };
                events.push(Event::Peer(to, Peer::Deciding(*part, stands)));
                None
            }
            (Some(Planted::AcceptsLowerEpoch), Peer::Deciding(part, Deciding::Refuse { .. })) => {
                let done = self.machines[machine].lower.take();
                let done = done.filter(|(epoch, _)| epoch.node == to);
                let Some((epoch, sequence)) = done else { return Some(message) };
                Some(Peer::Deciding(*part, Deciding::Done { epoch, sequence }))
            }
            _ => Some(message),
        }
    }

    /// Shows the judge what a node has in force.
    pub(super) fn see(&mut self, machine: usize) {
        let this = &mut self.machines[machine];
        let Some(node) = &this.node else { return };
        let who = (address(machine).0, this.life);
        for part in Part::all() {
            let (sequence, state) = node.decided(part);
            let seen = &mut this.seen[usize::from(part.0)];
            if sequence == *seen {
                continue;
            }
            *seen = sequence;
            match state {
                Some(State::Configured(configured)) => {
                    let document = &configured.document;
                    let digest = digest(document);
                    self.oracle.seen(who, part, sequence, digest);
                    self.oracle.in_force(sequence, document.revision, digest);
                }
                Some(State::Evacuated(evacuated)) => {
                    let bytes = evacuated.write_to_vec().unwrap_or_default();
                    self.oracle.seen(who, part, sequence, hash(&bytes));
                }
                None => {}
            }
        }
        let position = node.list().position();
        if position != this.list {
            this.list = position;
            let (epoch, number) = position;
            if epoch != Epoch::default() {
                let told = node.list().servers(self.now);
                let digest =
                    told.fold(0, |sum, one| mix(sum ^ hash(one.id.as_bytes()) ^ u64::from(one.draining)));
                let reader = mix(epoch.life ^ mix(u64::from(epoch.node.0)));
                self.oracle.list((epoch.counter, reader, number), digest);
            }
        }
    }
}

fn short(message: &Peer) -> String {
    match message {
        Peer::Beat(beat) => {
            let standing = beat.standing != Standing::Member;
            format!("beat {} not a member: {standing} in touch: {}", beat.number, beat.in_touch)
        }
        Peer::Deciding(part, Deciding::Accept(accepted)) => {
            format!("part {} accept {} {}", part.0, accepted.epoch, accepted.sequence)
        }
        Peer::Deciding(part, Deciding::Promise { epoch, accepted }) => {
            let had = accepted.as_ref().map(|had| format!("{} {}", had.epoch, had.sequence));
            format!("part {} promise {epoch} had {had:?}", part.0)
        }
        Peer::Deciding(part, Deciding::Committed(accepted)) => {
            format!("part {} committed {} {}", part.0, accepted.epoch, accepted.sequence)
        }
        Peer::Deciding(part, deciding) => format!("part {} {deciding:?}", part.0),
        Peer::Recalled { .. } => "recalled".to_owned(),
        Peer::Forward { number, order, .. } => format!("forward {number} part {}", order.part().0),
        Peer::Answered { number, answer } => format!("answered {number} {answer:?}"),
        Peer::Found { .. } => "found".to_owned(),
        Peer::Recall { .. } => "recall".to_owned(),
        Peer::Sessions(_) => "sessions".to_owned(),
        Peer::Servers(news) => format!("servers {} {}", news.epoch, news.to),
        Peer::WantServers => "want servers".to_owned(),
    }
}
