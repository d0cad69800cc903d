//! A control node: its links to the others, its parts, the duties that fall to it, the sessions of routers, and the operator's
//! orders. One event goes in, actions come out.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use ivyhatch_protocol::feed::{FromFollower, Position, Router, Server, ToFollower};
use ivyhatch_protocol::ids::{Epoch, NodeId, Part};
use ivyhatch_protocol::peer::{Accepted, Answer, Beat, Deciding, Group, Kept, Order, Peer, Standing};
use ivyhatch_protocol::servers::List;
use ivyhatch_protocol::{MILLISECOND, Nanos, SECOND};

use crate::Record;
use crate::feed::Feed;
use crate::group::{self, Recollection};
use crate::register::{Effect, Register};
use crate::routers::Routers;
use crate::server_list::{Duty, Input, ListReader, Output, ReadId};
use crate::state::{self, State, Verdict};
use crate::stored::Stored;

/// Pause between two signs of life to other control nodes.
pub const BEAT: Nanos = 200 * MILLISECOND;
/// One that was not heard for so long counts as lost: four beats, as links between regions hold one up now and then.
const LOST: Nanos = 850 * MILLISECOND;
/// Pause between two signs of life to followers.
const HEADS: Nanos = 500 * MILLISECOND;
/// An order is answered within this: operators turn to another node after a second of silence.
const ORDER: Nanos = 920 * MILLISECOND;
/// An order that was forwarded and not answered is forwarded again after this.
const FORWARD_AGAIN: Nanos = 300 * MILLISECOND;
/// A forwarded order is done only while the owner is sure that it is no older than this. An older one may have been held up by a
/// cut, and overtaken by what the operator did since.
const FORWARD_OLDEST: Nanos = 1500 * MILLISECOND;
/// What is asked for is not asked for again before this.
const ASK_AGAIN: Nanos = 250 * MILLISECOND;
/// The founder waits for so long after its start, so that all who start with it are members.
const GATHER: Nanos = 1500 * MILLISECOND;
/// Control nodes that are neither members nor seeds are forgotten when they have been silent for so long.
const FORGET: Nanos = 60 * SECOND;
/// A follower that was silent for so long has its session closed.
const SESSION_ENDS: Nanos = 4 * SECOND;
/// So long after it has come into touch with its group a control node has heard of all routers.
const SETTLED: Nanos = 2 * SECOND;
/// An owner that was deposed by a higher epoch rests for so long, times its place in the order.
const REST: Nanos = 300 * MILLISECOND;
/// The name of the duty to read the platform's list: it lies with the owner of the part into which this falls.
const LIST_DUTY: &str = "platform-list";

/// An order of the operator, as the embedder numbers them.
pub type OrderId = u64;
/// A session of a follower, as the embedder numbers them.
pub type SessionId = u64;
/// A write, numbered in the order in which they have to reach the disk.
pub type Token = u64;

/// Who a control node is.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Its machine.
    pub me: NodeId,
    /// Drawn by chance at each start.
    pub life: u64,
    /// Whether it has a disk: it can be a member only with one.
    pub has_disk: bool,
    /// The very first start of the whole system.
    pub first_start: bool,
    /// Control nodes that the settings name.
    pub seeds: Vec<NodeId>,
    /// The zones that there are.
    pub zones: BTreeSet<String>,
    /// Disks that may be lost at once.
    pub tolerate: usize,
    /// Pause between two readings of the platform's list.
    pub list_every: Nanos,
}

/// What a control node hears.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed. Comes every 100 ms or so.
    Tick,
    /// The link to another control node is open.
    Linked(NodeId),
    /// Another control node has said something.
    Peer(NodeId, Peer),
    /// A write, and all before it, is on the disk.
    Stored(Token),
    /// The operator orders something.
    Ordered(OrderId, Order),
    /// A follower has said something on its session.
    Follower(SessionId, FromFollower),
    /// A session has ended.
    Closed(SessionId),
    /// The platform has told the whole list.
    Listed(ReadId, Vec<Server>),
    /// The platform could not be asked.
    ListFailed(ReadId),
    /// The settings name these seeds now.
    Seeds(Vec<NodeId>),
}

/// What a control node wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Tell another control node.
    Tell(NodeId, Peer),
    /// Keep links open to these, and to no others.
    Links(Vec<NodeId>),
    /// Store these records, behind all earlier ones.
    Store(Token, Vec<Record>),
    /// Answer the operator.
    Answer(OrderId, Answer),
    /// Tell a follower.
    Follower(SessionId, ToFollower),
    /// Close a session.
    Close(SessionId),
    /// Ask the platform for the whole list. Whatever reading is still under way is given up.
    ReadList(ReadId),
    /// A line for the log: the event's name, and its key=value pairs.
    Log(&'static str, String),
}

/// Another control node.
#[derive(Debug, Default)]
struct Other {
    heard: Option<Nanos>,
    beat: Option<Beat>,
    found_told: Option<Nanos>,
}

/// Who waits for an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Waiter {
    Local(OrderId),
    Remote(NodeId, u64),
}

/// An order that came to this node.
#[derive(Debug)]
struct Pending {
    order: Order,
    number: u64,
    expires: Nanos,
    asked: Option<(NodeId, Nanos)>,
    queued: bool,
}

#[derive(Debug)]
struct Queued {
    waiter: Waiter,
    order: Order,
    expires: Nanos,
}

/// The proposal that is open.
#[derive(Debug)]
struct Open {
    digest: u64,
    answer: Answer,
    waiters: Vec<Waiter>,
}

/// An answer that goes out once the owner is sure that it still is the owner.
#[derive(Debug)]
struct Unconfirmed {
    waiter: Waiter,
    /// None for the configuration as it is by then.
    answer: Option<Answer>,
    expires: Nanos,
}

/// What the owner of a part has before it.
#[derive(Debug, Default)]
struct Work {
    queue: VecDeque<Queued>,
    open: Option<Open>,
    unconfirmed: BTreeMap<u64, Unconfirmed>,
}

#[derive(Debug)]
struct Session {
    router: Option<NodeId>,
    primary: bool,
    position: Position,
    told: Position,
    told_at: Nanos,
    heard: Nanos,
}

/// A control node.
pub struct Node {
    identity: Identity,
    now: Nanos,
    started: Nanos,
    group: Option<Group>,
    standing: Standing,
    /// The lives that this one has made members when it formed the group. A later life of theirs may have lost its disk.
    founded: BTreeMap<NodeId, u64>,
    /// The write that holds the group, until it is on the disk: nobody is told of a group that a loss of power could undo.
    group_stored: Option<Token>,
    others: BTreeMap<NodeId, Other>,
    links: Vec<NodeId>,
    registers: BTreeMap<Part, Register>,
    states: BTreeMap<Part, State>,
    work: BTreeMap<Part, Work>,
    /// Until when this node, once deposed, does not lead again.
    rests: BTreeMap<Part, Nanos>,
    asked: BTreeMap<Part, Nanos>,
    servers_asked: Nanos,
    feed: Feed,
    list: List,
    reader: ListReader,
    routers: Routers,
    sessions: BTreeMap<SessionId, Session>,
    pending: BTreeMap<OrderId, Pending>,
    stores: BTreeMap<Token, Vec<(NodeId, Peer)>>,
    next_token: Token,
    next_number: u64,
    beats: VecDeque<(u64, Nanos)>,
    beat_at: Nanos,
    sessions_told: Nanos,
    recollection: Recollection,
    recalled: Nanos,
    /// Since when it is in touch with most of its group.
    touch_since: Option<Nanos>,
    inbox: VecDeque<(NodeId, Peer)>,
}

impl Node {
    /// A control node with what its disk holds.
    pub fn new(identity: Identity, stored: Stored, now: Nanos) -> Self {
        let Stored { group, parts: mut kept, decided } = stored;
        let standing = match (&group, identity.first_start) {
            (Some(group), _) if group.members.contains(&identity.me) => Standing::Member,
            (_, true) => Standing::Fresh,
            (_, false) => Standing::Forgotten,
        };
        let register = |part: Part| {
            let mut register =
                Register::new(identity.me, identity.life, kept.remove(&part).unwrap_or_default());
            register.set_members(group.as_ref().map_or(&[], |group| &group.members));
            (part, register)
        };
        let registers = Part::all().map(register).collect();
        let mut node = Self {
            now,
            started: now,
            group,
            standing,
            founded: BTreeMap::new(),
            group_stored: None,
            others: BTreeMap::new(),
            links: Vec::new(),
            registers,
            states: Part::all().map(|part| (part, State::empty(part))).collect(),
            work: Part::all().map(|part| (part, Work::default())).collect(),
            rests: BTreeMap::new(),
            asked: BTreeMap::new(),
            servers_asked: 0,
            feed: Feed::default(),
            list: List::default(),
            reader: ListReader::new(identity.list_every),
            routers: Routers::default(),
            sessions: BTreeMap::new(),
            pending: BTreeMap::new(),
            stores: BTreeMap::new(),
            next_token: 0,
            // Numbers of an earlier life must not be taken for this one's.
            next_number: identity.life & 0xffff_ffff_0000_0000,
            beats: VecDeque::new(),
            beat_at: 0,
            sessions_told: 0,
            recollection: Recollection::default(),
            recalled: 0,
            touch_since: None,
            inbox: VecDeque::new(),
            identity,
        };
        // What was decided before the start is told at once: whoever follows need not wait until the group has come together.
        for (part, (epoch, sequence)) in decided {
            let known =
                node.registers.get_mut(&part).and_then(|register| register.recognise(epoch, sequence));
            let state = known.and_then(|decided| State::read(part, &decided.value));
            if let Some(state) = state {
                node.feed.decided(part, sequence, &state);
                node.states.insert(part, state);
            }
        }
        node
    }

    /// Takes one event in and adds what is to be done.
    pub fn handle(&mut self, now: Nanos, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::Tick => self.tick(out),
            Event::Linked(node) => self.linked(node, out),
            Event::Peer(from, message) => self.inbox.push_back((from, message)),
            Event::Stored(token) => {
                if self.group_stored == Some(token) {
                    self.group_stored = None;
                }
                for (to, message) in self.stores.remove(&token).unwrap_or_default() {
                    self.tell(to, message, out);
                }
            }
            Event::Ordered(id, order) => self.ordered(id, order, out),
            Event::Follower(session, message) => self.follower(session, message, out),
            Event::Closed(session) => self.closed(session),
            Event::Listed(read, servers) => {
                let duty = self.list_duty();
                self.drive_reader(Input::Answered(read, duty), Some(servers), out);
            }
            Event::ListFailed(read) => self.drive_reader(Input::Failed(read), None, out),
            Event::Seeds(seeds) => self.identity.seeds = seeds,
        }
        while let Some((from, message)) = self.inbox.pop_front() {
            self.peer(from, message, out);
        }
        self.publish(out);
    }

    /// Where clients of a region should go.
    pub fn directory(&self, region: &str) -> Vec<String> {
        self.routers.near(region)
    }

    /// Whether a zone is one of the deployment's.
    pub fn knows_zone(&self, zone: &str) -> bool {
        self.identity.zones.contains(zone)
    }

    /// Where the node stands towards its group.
    pub fn standing(&self) -> Standing {
        self.standing
    }

    /// The group, once there is one.
    pub fn group(&self) -> Option<&Group> {
        self.group.as_ref()
    }

    /// A part as it is decided as far as this node knows: its number, and what it holds.
    pub fn decided(&self, part: Part) -> (u64, Option<&State>) {
        (self.registers.get(&part).map_or(0, Register::sequence), self.states.get(&part))
    }

    /// The epoch under which this node owns a part now, if it does.
    pub fn owns(&self, part: Part) -> Option<Epoch> {
        self.registers.get(&part).and_then(Register::leads)
    }

    /// The list of servers as it is known here.
    pub fn list(&self) -> &List {
        &self.list
    }

    fn tell(&mut self, to: NodeId, message: Peer, out: &mut Vec<Action>) {
        if to == self.identity.me {
            self.inbox.push_back((to, message));
        } else {
            out.push(Action::Tell(to, message));
        }
    }

    fn tell_all(&self, message: &Peer, out: &mut Vec<Action>) {
        out.extend(self.others.keys().map(|to| Action::Tell(*to, message.clone())));
    }

    /// Has records stored, and messages sent once they are.
    fn store(&mut self, records: Vec<Record>, then: Vec<(NodeId, Peer)>, out: &mut Vec<Action>) {
        self.next_token += 1;
        self.stores.insert(self.next_token, then);
        out.push(Action::Store(self.next_token, records));
    }

    /// The one place at which the node's standing changes.
    fn stand(&mut self, standing: Standing, out: &mut Vec<Action>) {
        self.standing = standing;
        let members = self.group.as_ref().map_or(0, |group| group.members.len());
        out.push(Action::Log("standing", format!("is={standing:?} members={members}")));
    }

    fn votes(&self) -> bool {
        self.standing == Standing::Member
    }

    /// Whether another node is there, and hears this one.
    fn two_way(&self, node: NodeId) -> bool {
        let Some(other) = self.others.get(&node) else { return false };
        let heard = other.heard.is_some_and(|at| self.now < at + LOST);
        heard && other.beat.as_ref().is_some_and(|beat| beat.hears.contains(&self.identity.me))
    }

    /// Whether most of the group is in touch with this node.
    pub fn in_touch(&self) -> bool {
        let Some(group) = &self.group else { return false };
        let me = self.identity.me;
        let there = |member: &&NodeId| (**member == me && self.votes()) || self.two_way(**member);
        group.members.iter().filter(there).count() >= group::most(group)
    }

    /// The owner of a part: the first in the agreed order that is there and in touch.
    fn owner(&self, part: Part) -> Option<NodeId> {
        let group = self.group.as_ref()?;
        let me = self.identity.me;
        let can = |node: NodeId, reads: bool| {
            if node == me {
                return self.votes() && self.in_touch() && (!reads || self.reads_list());
            }
            let beat = self.others.get(&node).and_then(|other| other.beat.as_ref());
            self.two_way(node)
                && beat.is_some_and(|beat| {
                    beat.standing == Standing::Member && beat.in_touch && (!reads || beat.reads_list)
                })
        };
        let first = |reads: bool| group::order(group, part).find(|node| can(*node, reads));
        // Who can't read the list leaves that to others, unless none can.
        if part == Part::of(LIST_DUTY) { first(true).or_else(|| first(false)) } else { first(false) }
    }

    fn reads_list(&self) -> bool {
        self.reader.can_read(self.now)
    }

    fn tick(&mut self, out: &mut Vec<Action>) {
        self.choose_links(out);
        self.form(out);
        self.recall(out);
        for part in Part::all() {
            let mine = self.owner(part) == Some(self.identity.me);
            let rests = self.rests.get(&part).is_some_and(|until| self.now < *until);
            let Some(register) = self.registers.get_mut(&part) else { continue };
            let mut effects = Vec::new();
            match (mine, register.is_owner()) {
                (true, false) if rests => {}
                (true, false) => register.lead(self.now, &mut effects),
                (false, true) => register.stand_back(&mut effects),
                _ => register.tick(self.now, &mut effects),
            }
            self.carry_out(part, effects, out);
            // Who stands back of itself was in nobody's way.
            if !mine {
                self.rests.remove(&part);
            }
        }
        self.expire(out);
        self.route_all(out);
        let duty = self.list_duty();
        self.drive_reader(Input::Checked(duty), None, out);
        self.routers.note(self.now);
        let changed = self.routers.drop_silent(self.now);
        self.end_silent_sessions(out);
        if changed || self.now >= self.sessions_told + 5 * SECOND {
            self.tell_sessions(out);
        }
        let in_touch = self.in_touch();
        if in_touch != self.touch_since.is_some() {
            self.touch_since = in_touch.then_some(self.now);
            out.push(Action::Log("touch", format!("with_most={in_touch}")));
            self.beat_at = 0;
        }
        if self.now >= self.beat_at + BEAT {
            self.beat(out);
        }
    }

    /// Whom to keep links to: all control nodes that are known.
    fn choose_links(&mut self, out: &mut Vec<Action>) {
        let members = self.group.iter().flat_map(|group| &group.members);
        let fixed: BTreeSet<NodeId> = members.chain(&self.identity.seeds).copied().collect();
        let (now, started) = (self.now, self.started);
        self.others.retain(|node, other| {
            fixed.contains(node) || now < other.heard.unwrap_or(started).saturating_add(FORGET)
        });
        for node in fixed {
            if node != self.identity.me {
                self.others.entry(node).or_default();
            }
        }
        let links: Vec<NodeId> = self.others.keys().copied().collect();
        if links != self.links {
            self.links.clone_from(&links);
            out.push(Action::Links(links));
        }
    }

    /// On the very first start the lowest of the seeds makes up the group, once it has heard from all of them.
    fn form(&mut self, out: &mut Vec<Action>) {
        if self.group.is_none() {
            let (me, seeds) = (self.identity.me, &self.identity.seeds);
            let founder = seeds.iter().min() == Some(&me) && self.identity.has_disk;
            let without = |seed: &NodeId| {
                let beat = self.others.get(seed).and_then(|other| other.beat.as_ref());
                *seed == me || (self.two_way(*seed) && beat.is_some_and(|beat| !beat.has_group))
            };
            if !founder || self.now < self.started + GATHER || !seeds.iter().all(without) {
                return;
            }
            let can = |(node, other): (&NodeId, &Other)| {
                let beat = other.beat.as_ref()?;
                (self.two_way(*node) && beat.has_disk && !beat.has_group).then_some((*node, beat.life))
            };
            self.founded = self.others.iter().filter_map(can).collect();
            let mut members: Vec<NodeId> = self.founded.keys().copied().chain([me]).collect();
            members.sort_unstable();
            self.join(Group { members }, out);
        }
        // Those who start with it are told, as long as they have heard of no group. One that has lost its disk has heard of none
        // either, and yet has promised: it is not told, it has to ask for what it has forgotten.
        let Some(group) = self.group.clone().filter(|_| self.now < self.started + 10 * SECOND) else {
            return;
        };
        if self.identity.seeds.iter().min() != Some(&self.identity.me) || self.group_stored.is_some() {
            return;
        }
        for member in &group.members {
            let Some(other) = self.others.get_mut(member) else { continue };
            let starts = |beat: &&Beat| {
                beat.standing == Standing::Fresh || self.founded.get(member) == Some(&beat.life)
            };
            let beat = other.beat.as_ref().filter(|beat| !beat.has_group).filter(starts);
            let Some(beat) = beat else { continue };
            if other.found_told.is_none_or(|at| self.now >= at + ASK_AGAIN) {
                other.found_told = Some(self.now);
                let message = Peer::Found { group: group.clone(), life: beat.life };
                out.push(Action::Tell(*member, message));
            }
        }
    }

    /// Becomes a member of a group that has just been formed.
    fn join(&mut self, group: Group, out: &mut Vec<Action>) {
        self.set_group(group.clone());
        self.store(vec![Record::Group(group)], Vec::new(), out);
        self.group_stored = Some(self.next_token);
        self.stand(Standing::Member, out);
    }

    fn set_group(&mut self, group: Group) {
        self.registers.values_mut().for_each(|register| register.set_members(&group.members));
        self.group = Some(group);
    }

    /// One that has forgotten its past asks the others for it.
    fn recall(&mut self, out: &mut Vec<Action>) {
        if self.standing != Standing::Forgotten
            || !self.identity.has_disk
            || self.now < self.recalled + ASK_AGAIN
        {
            return;
        }
        self.recalled = self.now;
        self.tell_all(&Peer::Recall { life: self.identity.life }, out);
    }

    fn recalled(&mut self, from: NodeId, group: Group, parts: Vec<(Part, Kept)>, out: &mut Vec<Action>) {
        if self.standing != Standing::Forgotten {
            return;
        }
        if self.group.is_none() {
            self.set_group(group.clone());
        }
        self.recollection.take(from, group, parts);
        let Some((group, kept)) = self.recollection.whole(self.identity.tolerate) else { return };
        if !group.members.contains(&self.identity.me) {
            return;
        }
        let mut records = vec![Record::Group(group.clone())];
        self.set_group(group);
        for (part, kept) in kept {
            records.push(Record::Promised(part, kept.promised));
            records.extend(kept.accepted.clone().map(|accepted| Record::Accepted(part, accepted)));
            if let Some(register) = self.registers.get_mut(&part) {
                register.restore(kept);
            }
        }
        self.store(records, Vec::new(), out);
        self.stand(Standing::Member, out);
    }

    fn beat(&mut self, out: &mut Vec<Action>) {
        self.beat_at = self.now;
        let number = self.beats.back().map_or(1, |(number, _)| number + 1);
        self.beats.push_back((number, self.now));
        while self.beats.front().is_some_and(|(_, at)| self.now > at + 2 * FORWARD_OLDEST) {
            self.beats.pop_front();
        }
        let heard = |(node, other): (&NodeId, &Other)| {
            other.heard.is_some_and(|at| self.now < at + LOST).then_some(*node)
        };
        let beat = Beat {
            life: self.identity.life,
            number,
            standing: self.standing,
            has_group: self.group.is_some(),
            has_disk: self.identity.has_disk,
            hears: self.others.iter().filter_map(heard).collect(),
            knows: self.others.iter().filter_map(heard).collect(),
            in_touch: self.in_touch(),
            reads_list: self.reads_list(),
            decided: self.registers.values().map(Register::sequence).collect(),
            servers: self.list.position(),
        };
        self.tell_all(&Peer::Beat(beat), out);
    }

    fn linked(&mut self, node: NodeId, out: &mut Vec<Action>) {
        self.others.entry(node).or_default();
        self.beat(out);
        out.push(Action::Tell(node, Peer::Sessions(self.routers.own())));
    }

    fn peer(&mut self, from: NodeId, message: Peer, out: &mut Vec<Action>) {
        if from != self.identity.me {
            let first = !self.others.contains_key(&from);
            self.others.entry(from).or_default().heard = Some(self.now);
            if first {
                self.choose_links(out);
            }
        }
        match message {
            Peer::Beat(beat) => self.heard_beat(from, beat, out),
            Peer::Found { group, life } => {
                if self.group.is_none()
                    && life == self.identity.life
                    && group.members.contains(&self.identity.me)
                {
                    self.join(group, out);
                }
            }
            Peer::Recall { life } => {
                if let Some(group) = self.group.clone().filter(|_| self.votes()) {
                    let parts =
                        self.registers.iter().map(|(part, register)| (*part, register.kept().clone()));
                    let message = Peer::Recalled { life, group, parts: parts.collect() };
                    // All that it tells is on the disk before it goes.
                    self.store(Vec::new(), vec![(from, message)], out);
                }
            }
            Peer::Recalled { life, group, parts } => {
                if life == self.identity.life {
                    self.recalled(from, group, parts, out);
                }
            }
            Peer::Deciding(part, deciding) => {
                let votes = self.votes();
                let Some(register) = self.registers.get_mut(&part) else { return };
                let mut effects = Vec::new();
                register.handle(self.now, from, deciding, votes, &mut effects);
                self.carry_out(part, effects, out);
                self.drive(part, out);
            }
            Peer::Forward { number, heard, order } => self.forwarded(from, number, heard, order, out),
            Peer::Answered { number, answer } => {
                let id = self.pending.iter().find(|(_, pending)| pending.number == number);
                if let Some(id) = id.map(|(id, _)| *id) {
                    self.pending.remove(&id);
                    out.push(Action::Answer(id, answer));
                }
            }
            Peer::Sessions(routers) => self.routers.tell(self.now, from, routers),
            Peer::Servers(news) => {
                let before = self.list.position();
                if !self.list.follow(self.now, news) {
                    out.push(Action::Tell(from, Peer::WantServers));
                } else if before != self.list.position() {
                    self.log_list("followed", out);
                }
            }
            Peer::WantServers => {
                if self.list.position() != List::default().position() {
                    out.push(Action::Tell(from, Peer::Servers(self.list.whole(self.now))));
                }
            }
        }
    }

    fn log_list(&self, how: &str, out: &mut Vec<Action>) {
        let (epoch, number) = self.list.position();
        let servers = self.list.len();
        out.push(Action::Log(
            "servers",
            format!("how={how} epoch={epoch} number={number} servers={servers}"),
        ));
    }

    fn heard_beat(&mut self, from: NodeId, beat: Beat, out: &mut Vec<Action>) {
        self.routers.alive(self.now, from);
        for node in &beat.knows {
            if *node != self.identity.me && !self.others.contains_key(node) {
                // It is dialled, and stays known if it answers.
                let other =
                    Other { heard: Some(self.now.saturating_sub(FORGET - 5 * SECOND)), ..Other::default() };
                self.others.insert(*node, other);
            }
        }
        for (part, sequence) in Part::all().zip(&beat.decided) {
            let behind = self.registers.get(&part).is_some_and(|register| register.sequence() < *sequence);
            if behind && self.asked.get(&part).is_none_or(|at| self.now >= at + ASK_AGAIN) {
                self.asked.insert(part, self.now);
                let after = self.registers.get(&part).map_or(0, Register::sequence);
                out.push(Action::Tell(from, Peer::Deciding(part, Deciding::Fetch { after })));
            }
        }
        if beat.servers > self.list.position() && self.now >= self.servers_asked + ASK_AGAIN {
            self.servers_asked = self.now;
            out.push(Action::Tell(from, Peer::WantServers));
        }
        // What an earlier life has said last must not take the place of what the present one says.
        let other = self.others.entry(from).or_default();
        if other.beat.as_ref().is_none_or(|known| known.life != beat.life || known.number < beat.number) {
            other.beat = Some(beat);
        }
    }

    fn carry_out(&mut self, part: Part, effects: Vec<Effect>, out: &mut Vec<Action>) {
        for effect in effects {
            match effect {
                Effect::Send(to, message) => self.tell(to, Peer::Deciding(part, message), out),
                Effect::Promise(epoch, to, message) => {
                    let then = vec![(to, Peer::Deciding(part, message))];
                    self.store(vec![Record::Promised(part, epoch)], then, out);
                }
                Effect::Set(accepted, to, message) => {
                    let then = vec![(to, Peer::Deciding(part, message))];
                    self.store(vec![Record::Accepted(part, accepted)], then, out);
                }
                Effect::Decided(accepted) => self.decided_now(part, accepted, out),
                Effect::Confirmed(number) => self.confirmed(part, number, out),
                Effect::Deposed => self.deposed(part, out),
            }
        }
    }

    fn decided_now(&mut self, part: Part, accepted: Accepted, out: &mut Vec<Action>) {
        let (epoch, sequence) = (accepted.epoch, accepted.sequence);
        let Some(state) = State::read(part, &accepted.value) else {
            out.push(Action::Log(
                "unreadable",
                format!("part={} sequence={sequence} remedy=bring_all_to_one_release", part.0),
            ));
            return;
        };
        if let State::Configured(configured) = &state {
            let revision = configured.document.revision;
            out.push(Action::Log(
                "configuration",
                format!("revision={revision} sequence={sequence} epoch={epoch}"),
            ));
        }
        self.feed.decided(part, sequence, &state);
        self.states.insert(part, state);
        let kept = self.registers.get(&part).and_then(|register| register.kept().accepted.as_ref());
        if self.votes() && kept.is_some_and(|kept| kept.epoch == epoch && kept.sequence == sequence) {
            self.store(vec![Record::Decided(part, epoch, sequence)], Vec::new(), out);
        }
        if self.owns(part) != Some(epoch) {
            return;
        }
        self.tell_all(&Peer::Deciding(part, Deciding::Commit { epoch, sequence }), out);
        let open = self.work.get_mut(&part).and_then(|work| work.open.take());
        if let Some(open) = open {
            for waiter in open.waiters {
                self.answer(waiter, open.answer.clone(), out);
            }
        }
        self.drive(part, out);
    }

    fn answer(&mut self, waiter: Waiter, answer: Answer, out: &mut Vec<Action>) {
        match waiter {
            Waiter::Local(id) => {
                if self.pending.remove(&id).is_some() {
                    out.push(Action::Answer(id, answer));
                }
            }
            Waiter::Remote(to, number) => out.push(Action::Tell(to, Peer::Answered { number, answer })),
        }
    }

    fn ordered(&mut self, id: OrderId, order: Order, out: &mut Vec<Action>) {
        self.next_number += 1;
        let pending = Pending {
            order,
            number: self.next_number,
            expires: self.now + ORDER,
            asked: None,
            queued: false,
        };
        self.pending.insert(id, pending);
        self.route(id, out);
    }

    fn route_all(&mut self, out: &mut Vec<Action>) {
        for id in self.pending.keys().copied().collect::<Vec<_>>() {
            self.route(id, out);
        }
    }

    /// Brings an order to the owner of its part, as soon as there is one.
    fn route(&mut self, id: OrderId, out: &mut Vec<Action>) {
        let Some(pending) = self.pending.get(&id) else { return };
        let part = pending.order.part();
        let Some(owner) = self.owner(part) else { return };
        let (now, expires) = (self.now, pending.expires);
        if owner == self.identity.me {
            if !pending.queued {
                let order = pending.order.clone();
                self.pending.get_mut(&id).into_iter().for_each(|pending| pending.queued = true);
                self.enqueue(part, Queued { waiter: Waiter::Local(id), order, expires }, out);
            }
            return;
        }
        let heard =
            self.others.get(&owner).and_then(|other| other.beat.as_ref()).map_or(0, |beat| beat.number);
        let Some(pending) = self.pending.get_mut(&id) else { return };
        if pending.asked.is_none_or(|(to, at)| to != owner || now >= at + FORWARD_AGAIN) {
            pending.asked = Some((owner, now));
            let message = Peer::Forward { number: pending.number, heard, order: pending.order.clone() };
            out.push(Action::Tell(owner, message));
        }
    }

    fn forwarded(&mut self, from: NodeId, number: u64, heard: u64, order: Order, out: &mut Vec<Action>) {
        let part = order.part();
        let sent = self.beats.iter().find(|(beat, _)| *beat == heard).map(|(_, at)| *at);
        let fresh = sent.is_some_and(|at| self.now <= at + FORWARD_OLDEST);
        if !fresh || self.owner(part) != Some(self.identity.me) {
            return;
        }
        let queued = Queued { waiter: Waiter::Remote(from, number), order, expires: self.now + ORDER };
        self.enqueue(part, queued, out);
    }

    fn enqueue(&mut self, part: Part, queued: Queued, out: &mut Vec<Action>) {
        let Some(work) = self.work.get_mut(&part) else { return };
        let waits = work.queue.iter().any(|other| other.waiter == queued.waiter)
            || work.unconfirmed.values().any(|other| other.waiter == queued.waiter);
        if waits {
            return;
        }
        // The same order is under way already.
        let digest = state::digest(&queued.order);
        if let Some(open) = work.open.as_mut().filter(|open| digest != 0 && open.digest == digest) {
            if !open.waiters.contains(&queued.waiter) {
                open.waiters.push(queued.waiter);
            }
            return;
        }
        work.queue.push_back(queued);
        self.drive(part, out);
    }

    /// Does what is before the owner of a part, one change at a time.
    fn drive(&mut self, part: Part, out: &mut Vec<Action>) {
        loop {
            let (Some(register), Some(work)) = (self.registers.get_mut(&part), self.work.get_mut(&part))
            else {
                return;
            };
            if register.ready().is_none() {
                return;
            }
            let Some(queued) = work.queue.pop_front() else { return };
            if self.now >= queued.expires {
                continue;
            }
            let Some(state) = self.states.get(&part) else { return };
            let mut effects = Vec::new();
            match state.decide(&queued.order) {
                Verdict::Set(value, answer) => {
                    let digest = state::digest(&queued.order);
                    work.open = Some(Open { digest, answer, waiters: vec![queued.waiter] });
                    register.propose(self.now, value, &mut effects);
                }
                // Also that nothing changes is said only by one that is sure to be the owner still.
                verdict => {
                    let answer = match verdict {
                        Verdict::Answer(answer) => Some(answer),
                        _ => None,
                    };
                    self.next_number += 1;
                    let unconfirmed = Unconfirmed { waiter: queued.waiter, answer, expires: queued.expires };
                    work.unconfirmed.insert(self.next_number, unconfirmed);
                    register.confirm(self.next_number, &mut effects);
                }
            }
            self.carry_out(part, effects, out);
        }
    }

    fn confirmed(&mut self, part: Part, number: u64, out: &mut Vec<Action>) {
        let unconfirmed = self.work.get_mut(&part).and_then(|work| work.unconfirmed.remove(&number));
        let Some(unconfirmed) = unconfirmed else { return };
        let answer = unconfirmed.answer.unwrap_or_else(|| match self.feed.document() {
            document if document.revision == 0 => Answer::Nothing,
            document => Answer::Document(document.text()),
        });
        self.answer(unconfirmed.waiter, answer, out);
    }

    /// Orders that came to this node go to the new owner; those of others are forwarded anew by them.
    fn deposed(&mut self, part: Part, out: &mut Vec<Action>) {
        out.push(Action::Log("deposed", format!("part={}", part.0)));
        if let Some(work) = self.work.get_mut(&part) {
            *work = Work::default();
        }
        // Where a link is cut one way two may take themselves for the owner, and depose each other without end: the one further back
        // in the order rests for a while. The first never does, as nobody else leads while it is there.
        let place = self
            .group
            .as_ref()
            .and_then(|group| group::order(group, part).position(|member| member == self.identity.me));
        self.rests.insert(part, self.now + REST * place.unwrap_or(0) as u64);
        for pending in self.pending.values_mut().filter(|pending| pending.order.part() == part) {
            pending.queued = false;
        }
    }

    fn expire(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        for (part, work) in &mut self.work {
            work.queue.retain(|queued| now < queued.expires);
            let late: Vec<u64> = work
                .unconfirmed
                .iter()
                .filter(|(_, one)| now >= one.expires)
                .map(|(number, _)| *number)
                .collect();
            for number in late {
                work.unconfirmed.remove(&number);
                self.registers.get_mut(part).into_iter().for_each(|register| register.forget(number));
            }
        }
        let late = self.pending.iter().filter(|(_, pending)| now >= pending.expires);
        for id in late.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.pending.remove(&id);
            let text =
                "most control nodes can't be reached from here now: send it again unchanged, to any of them";
            out.push(Action::Answer(id, Answer::Unsure(text.to_owned())));
        }
    }

    /// What this node knows of the duty to read the platform's list.
    fn list_duty(&self) -> Duty {
        let told = self.others.values().filter_map(|other| other.beat.as_ref()).map(|beat| beat.servers.0);
        let (known, number) = self.list.position();
        let newest = told.chain([known]).max().unwrap_or_default();
        Duty {
            owned: self.owns(Part::of(LIST_DUTY)).filter(|_| self.in_touch()),
            newest,
            newest_in_touch: newest.node == self.identity.me || self.two_way(newest.node),
            has_list: number > 0,
        }
    }

    fn drive_reader(&mut self, input: Input, mut servers: Option<Vec<Server>>, out: &mut Vec<Action>) {
        let mut outputs = Vec::new();
        let before = self.reader.reads_under();
        self.reader.handle(self.now, input, &mut outputs);
        let after = self.reader.reads_under();
        if after != before {
            let pairs =
                after.map_or_else(|| "reads=false".into(), |epoch| format!("reads=true epoch={epoch}"));
            out.push(Action::Log("list_duty", pairs));
        }
        for output in outputs {
            match output {
                Output::Read(read) => out.push(Action::ReadList(read)),
                Output::Publish(epoch) => self.listed(epoch, servers.take().unwrap_or_default(), out),
                Output::Renew(newest) => self.renew_list_duty(newest, out),
                Output::Failing(failures) => {
                    out.push(Action::Log("list_failed", format!("in_a_row={failures}")));
                }
                // The others are told at once, so that one of them begins.
                Output::Leave => self.beat(out),
            }
        }
    }

    /// Another node has led the duty's part since: whatever this one has before it is told to begin anew, at the next tick.
    fn renew_list_duty(&mut self, newest: Epoch, out: &mut Vec<Action>) {
        let part = Part::of(LIST_DUTY);
        let Some(register) = self.registers.get_mut(&part) else { return };
        out.push(Action::Log("list_duty", format!("reads=false deposed_by={newest}")));
        let mut effects = Vec::new();
        register.outdated(newest, &mut effects);
        self.carry_out(part, effects, out);
    }

    /// The platform has told its list to this node, the reader under this epoch.
    fn listed(&mut self, epoch: Epoch, servers: Vec<Server>, out: &mut Vec<Action>) {
        if epoch == Epoch::default() {
            // For those who follow this node: until the group has come together nobody has the duty.
            if !servers.is_empty() {
                self.list.read(self.now, epoch, servers);
                self.log_list("first", out);
            }
            return;
        }
        let Some(news) = self.list.read(self.now, epoch, servers) else { return };
        self.log_list("read", out);
        for server in news.upsert.iter().filter(|_| news.from.is_some()) {
            let Server { id, zone, draining, cold_left_ms, .. } = server;
            let left = server.remaining_ms.map_or_else(String::new, |left| format!(" remaining_ms={left}"));
            let pairs = format!("id={id} zone={zone} draining={draining} cold_left_ms={cold_left_ms}{left}");
            out.push(Action::Log("server", pairs));
        }
        self.tell_all(&Peer::Servers(news), out);
    }

    fn follower(&mut self, id: SessionId, message: FromFollower, out: &mut Vec<Action>) {
        let now = self.now;
        let session = self.sessions.entry(id).or_insert_with(|| Session {
            router: None,
            primary: false,
            position: Position::default(),
            told: Position::default(),
            told_at: 0,
            heard: now,
        });
        session.heard = now;
        match message {
            FromFollower::Follow { router, primary, position } => {
                (session.router, session.primary) = (Some(router.node), primary);
                session.position = position;
                session.told_at = 0;
                if self.routers.heard(now, router) {
                    self.tell_sessions(out);
                }
            }
            FromFollower::Beat { state } => {
                let node = session.router;
                let known = self.routers.own().into_iter().find(|router| Some(router.node) == node);
                if let Some(router) = known
                    && self.routers.heard(now, Router { state, ..router })
                {
                    self.tell_sessions(out);
                }
            }
            FromFollower::Want { position } => {
                let news = self.since(&position);
                out.extend(news.into_iter().map(|news| Action::Follower(id, news)));
            }
        }
    }

    fn closed(&mut self, id: SessionId) {
        // The router may have another session by now.
        let Some(session) = self.sessions.remove(&id) else { return };
        let others = self.sessions.values().any(|other| other.router == session.router);
        if let Some(node) = session.router.filter(|_| !others) {
            self.routers.ended(node);
            self.sessions_told = 0;
        }
    }

    fn end_silent_sessions(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        let silent = self.sessions.iter().filter(|(_, session)| now >= session.heard + SESSION_ENDS);
        out.extend(silent.map(|(id, _)| Action::Close(*id)));
        self.sessions.retain(|_, session| now < session.heard + SESSION_ENDS);
    }

    fn tell_sessions(&mut self, out: &mut Vec<Action>) {
        self.sessions_told = self.now;
        self.tell_all(&Peer::Sessions(self.routers.own()), out);
    }

    /// How far this node is with all that is followed.
    fn position(&self) -> Position {
        Position { servers: self.list.position(), ..self.feed.position() }
    }

    fn since(&self, position: &Position) -> Vec<ToFollower> {
        let mut news = self.feed.since(position);
        if self.list.position() > position.servers {
            news.push(ToFollower::Servers(self.list.since(self.now, position.servers)));
        }
        news
    }

    /// Tells followers what is new: the primary ones the news, the others that there is some.
    fn publish(&mut self, out: &mut Vec<Action>) {
        let position = self.position();
        let (now, in_touch) = (self.now, self.in_touch());
        let due: Vec<SessionId> = self
            .sessions
            .iter()
            .filter(|(_, session)| {
                session.router.is_some() && (session.told != position || now >= session.told_at + HEADS)
            })
            .map(|(id, _)| *id)
            .collect();
        if due.is_empty() {
            return;
        }
        // One that has just come, or is cut off, knows few of the routers: shares that follow from their number would be too large.
        let settled = self.touch_since.is_some_and(|since| now >= since + SETTLED);
        let mut controls: Vec<NodeId> = self.others.keys().copied().chain([self.identity.me]).collect();
        controls.sort_unstable();
        for id in due {
            let Some(session) = self.sessions.get(&id) else { continue };
            if session.primary && session.position != position {
                let news = self.since(&session.position);
                out.extend(news.into_iter().map(|news| Action::Follower(id, news)));
            }
            let controls = controls.clone();
            let (place, routers) = session.router.map_or((0, 0), |node| self.routers.place(node));
            let (place, routers) = (place as u32, if settled { routers as u32 } else { 0 });
            let heads = ToFollower::Heads { position: position.clone(), in_touch, routers, place, controls };
            out.push(Action::Follower(id, heads));
            if let Some(session) = self.sessions.get_mut(&id) {
                if session.primary {
                    session.position.clone_from(&position);
                }
                session.told.clone_from(&position);
                session.told_at = now;
            }
        }
    }
}
