//! All interleavings of one part among its members, to a stated depth: every message may come at any time or never, every write may
//! end late or be lost with its process, one node may crash or lose its disk, and ownership changes hands once.
//!
//! The register and the recollection are the real ones, and the first owner has most promises when the search begins. Left out:
//! messages that come twice, questions asked again, refusals (an owner that hears none goes on for longer, which is worse),
//! forwarding, and confirmation of reads.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

use ivyhatch_control::Record;
use ivyhatch_control::group::Recollection;
use ivyhatch_control::register::{Effect, Register};
use ivyhatch_control::stored::Stored;
use ivyhatch_protocol::ids::{NodeId, Part};
use ivyhatch_protocol::peer::{Deciding, Group, Kept};

const PART: Part = Part::CONFIGURATION;

/// A step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// A node takes itself for the owner.
    Lead(usize),
    /// An owner that is ready proposes a value of its own.
    Propose(usize),
    /// The message in this place comes.
    Deliver(usize),
    /// A node's oldest write is on the disk.
    Sync(usize),
    /// A process ends, and comes back with what its disk holds.
    Crash(usize),
    /// The same, and its disk is lost.
    Wipe(usize),
    /// One that has lost its disk is told by another what that one keeps, if all of it is stored.
    Recall(usize, usize),
}

/// A write that has not ended, and what is said once it has.
type Write = (Record, NodeId, Deciding);

#[derive(Clone, Debug)]
struct Member {
    register: Register,
    life: u64,
    disk: Stored,
    writes: VecDeque<Write>,
    /// What one that has lost its disk was told so far.
    recalling: Option<Recollection>,
}

/// Members, what is on its way between them, and what was decided.
#[derive(Clone, Debug)]
pub struct Core {
    members: Vec<Member>,
    messages: Vec<(usize, usize, Deciding)>,
    decided: BTreeMap<u64, Vec<u8>>,
    tolerate: usize,
    leads: usize,
    proposals: usize,
    harms: usize,
    wiped: bool,
    careless: bool,
}

/// What a search has seen.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Seen {
    /// States that differ.
    pub states: usize,
    /// Steps on the longest path.
    pub depth: usize,
    /// Steps to the first state that breaks a promise, if there is one, and what it breaks.
    pub broken: Option<(Vec<Step>, String)>,
}

fn node(number: usize) -> NodeId {
    NodeId(number as u32 + 1)
}

impl Core {
    /// So many members, with so many changes of ownership, proposals, and crashes or lost disks to come.
    pub fn new(members: usize, tolerate: usize, leads: usize, proposals: usize, harms: usize) -> Self {
        let ids: Vec<NodeId> = (0..members).map(node).collect();
        let member = |number: usize| {
            let mut register = Register::new(node(number), 1, Kept::default());
            register.set_members(&ids);
            let disk = Stored { group: Some(Group { members: ids.clone() }), ..Stored::default() };
            Member { register, life: 1, disk, writes: VecDeque::new(), recalling: None }
        };
        Self {
            members: (0..members).map(member).collect(),
            messages: Vec::new(),
            decided: BTreeMap::new(),
            tolerate,
            leads,
            proposals,
            harms,
            wiped: false,
            careless: false,
        }
    }

    /// The same with a known fault: one that has lost its disk votes at once.
    pub fn careless(self) -> Self {
        Self { careless: true, ..self }
    }

    /// The same once the first node has become the owner.
    pub fn led(members: usize, tolerate: usize, leads: usize, proposals: usize, harms: usize) -> Self {
        let mut core = Self::new(members, tolerate, leads + 1, proposals, harms);
        core.take(Step::Lead(0));
        while !core.messages.is_empty() || core.members.iter().any(|member| !member.writes.is_empty()) {
            if core.messages.is_empty() {
                let writes = (0..members).find(|number| !core.members[*number].writes.is_empty());
                writes.into_iter().for_each(|number| drop(core.take(Step::Sync(number))));
            } else {
                core.take(Step::Deliver(0));
            }
        }
        core
    }

    /// What is on its way: from, to, and what.
    pub fn messages(&self) -> &[(usize, usize, Deciding)] {
        &self.messages
    }

    /// Drops what would change nothing if it came.
    fn drop_idle(&mut self) {
        let members = &self.members;
        self.messages.retain(|(_, to, message)| {
            let register = &members[*to].register;
            let promised = register.kept().promised;
            match message {
                Deciding::Refuse { .. } => false,
                Deciding::Promise { epoch, .. } => register.is_owner() && register.leads() != Some(*epoch),
                Deciding::Done { epoch, .. } => {
                    register.leads() == Some(*epoch) && register.ready().is_none()
                }
                Deciding::Prepare { epoch } => *epoch >= promised,
                Deciding::Accept(accepted) => accepted.epoch >= promised,
                _ => true,
            }
        });
    }

    /// The steps that can be taken.
    pub fn steps(&self) -> Vec<Step> {
        let mut steps: Vec<Step> = (0..self.messages.len()).map(Step::Deliver).collect();
        for (number, member) in self.members.iter().enumerate() {
            let votes = member.recalling.is_none();
            if !member.writes.is_empty() {
                steps.push(Step::Sync(number));
            }
            if votes && self.proposals > 0 && member.register.ready().is_some() {
                steps.push(Step::Propose(number));
            }
            if votes && self.leads > 0 && !member.register.is_owner() && number < 2 {
                steps.push(Step::Lead(number));
            }
            if self.harms > 0 {
                steps.push(Step::Crash(number));
                if !self.wiped {
                    steps.push(Step::Wipe(number));
                }
            }
            if !votes {
                let tells = |other: &usize| {
                    let other = &self.members[*other];
                    other.recalling.is_none() && other.writes.is_empty()
                };
                let others = (0..self.members.len()).filter(|other| *other != number).filter(tells);
                steps.extend(others.map(|other| Step::Recall(number, other)));
            }
        }
        steps
    }

    /// Takes a step. What it breaks, if anything.
    pub fn take(&mut self, step: Step) -> Option<String> {
        let broken = self.do_step(step);
        self.drop_idle();
        broken
    }

    fn do_step(&mut self, step: Step) -> Option<String> {
        match step {
            Step::Lead(number) => {
                self.leads -= 1;
                let mut effects = Vec::new();
                self.members[number].register.lead(0, &mut effects);
                self.carry_out(number, effects)
            }
            Step::Propose(number) => {
                self.proposals -= 1;
                let mut effects = Vec::new();
                let value = vec![number as u8, self.proposals as u8];
                self.members[number].register.propose(0, value, &mut effects);
                self.carry_out(number, effects)
            }
            Step::Deliver(place) => {
                let (from, to, message) = self.messages.remove(place);
                self.hear(from, to, message)
            }
            Step::Sync(number) => {
                let member = &mut self.members[number];
                let (record, to, message) = member.writes.pop_front()?;
                member.disk.apply(record);
                self.say(number, to, message)
            }
            Step::Crash(number) => {
                self.harms -= 1;
                self.restart(number)
            }
            Step::Wipe(number) => {
                self.harms -= 1;
                self.wiped = true;
                let group = self.members[number].disk.group.take().filter(|_| self.careless);
                self.members[number].disk = Stored { group, ..Stored::default() };
                self.restart(number)
            }
            Step::Recall(number, other) => {
                let kept = self.members[other].register.kept().clone();
                let tolerate = self.tolerate;
                let group = Group { members: (0..self.members.len()).map(node).collect() };
                let member = &mut self.members[number];
                let recalling = member.recalling.as_mut()?;
                recalling.take(node(other), group.clone(), vec![(PART, kept)]);
                if let Some((group, parts)) = recalling.whole(tolerate) {
                    member.disk.group = Some(group);
                    member.disk.parts.clone_from(&parts);
                    member.recalling = None;
                    parts.into_values().for_each(|kept| member.register.restore(kept));
                }
                None
            }
        }
    }

    fn restart(&mut self, number: usize) -> Option<String> {
        let ids: Vec<NodeId> = (0..self.members.len()).map(node).collect();
        let member = &mut self.members[number];
        member.life += 1;
        member.writes.clear();
        let kept = member.disk.parts.get(&PART).cloned().unwrap_or_default();
        member.register = Register::new(node(number), member.life, kept);
        member.register.set_members(&ids);
        member.recalling = member.disk.group.is_none().then(Recollection::default);
        // What is on its way to a process that has ended is lost.
        self.messages.retain(|(_, to, _)| *to != number);
        None
    }

    fn hear(&mut self, from: usize, to: usize, message: Deciding) -> Option<String> {
        let member = &mut self.members[to];
        let votes = member.recalling.is_none();
        let mut effects = Vec::new();
        member.register.handle(0, node(from), message, votes, &mut effects);
        self.carry_out(to, effects)
    }

    fn say(&mut self, from: usize, to: NodeId, message: Deciding) -> Option<String> {
        let to = to.0 as usize - 1;
        if to == from {
            return self.hear(from, to, message);
        }
        self.messages.push((from, to, message));
        None
    }

    fn carry_out(&mut self, number: usize, effects: Vec<Effect>) -> Option<String> {
        for effect in effects {
            let broken = match effect {
                Effect::Send(to, message) => self.say(number, to, message),
                Effect::Promise(epoch, to, message) => {
                    self.members[number].writes.push_back((Record::Promised(PART, epoch), to, message));
                    None
                }
                Effect::Set(accepted, to, message) => {
                    self.members[number].writes.push_back((Record::Accepted(PART, accepted), to, message));
                    None
                }
                Effect::Decided(accepted) => {
                    let known =
                        self.decided.entry(accepted.sequence).or_insert_with(|| accepted.value.clone());
                    let other = *known != accepted.value;
                    other.then(|| format!("two values under number {}", accepted.sequence))
                }
                Effect::Confirmed(_) | Effect::Deposed => None,
            };
            if broken.is_some() {
                return broken;
            }
        }
        let register = &self.members[number].register;
        let last = self.decided.keys().next_back().copied().unwrap_or_default();
        let behind = register.ready().is_some()
            && register.sequence() < last
            && self.members[number].recalling.is_none();
        // An owner of old may still think that it is ready; a proposal of its is refused. What most can promise must be known.
        (behind && self.is_highest(number))
            .then(|| format!("owner {number} is ready at {}, and {last} is decided", register.sequence()))
    }

    /// Whether no member has promised a higher epoch than this owner's.
    fn is_highest(&self, number: usize) -> bool {
        let Some(epoch) = self.members[number].register.leads() else { return false };
        self.members.iter().all(|member| member.register.kept().promised <= epoch)
    }

    fn mark(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        // The order of messages on their way tells nothing.
        let mut messages: Vec<String> = self.messages.iter().map(|message| format!("{message:?}")).collect();
        messages.sort_unstable();
        messages.hash(&mut hasher);
        format!("{:?}{:?}{}{}{}", self.members, self.decided, self.leads, self.proposals, self.harms)
            .hash(&mut hasher);
        self.wiped.hash(&mut hasher);
        hasher.finish()
    }
}

/// Goes through all states that can be reached in so many steps, or the first so many of them; nearest first.
pub fn search(from: Core, depth: usize, most: usize) -> Seen {
    let mut seen = HashSet::from([from.mark()]);
    let mut paths: Vec<(usize, Step)> = Vec::new();
    let mut front: Vec<(Core, usize)> = vec![(from, usize::MAX)];
    let mut result = Seen::default();
    for level in 1..=depth {
        let mut next = Vec::new();
        for (core, path) in front {
            for step in core.steps() {
                let mut after = core.clone();
                if let Some(text) = after.take(step) {
                    let mut steps = vec![step];
                    let mut at = path;
                    while let Some((before, step)) = paths.get(at) {
                        steps.push(*step);
                        at = *before;
                    }
                    steps.reverse();
                    return Seen { states: seen.len(), depth: level, broken: Some((steps, text)) };
                }
                if seen.len() < most && seen.insert(after.mark()) {
                    paths.push((path, step));
                    next.push((after, paths.len() - 1));
                }
            }
        }
        result.depth = level;
        front = next;
        if front.is_empty() || seen.len() >= most {
            break;
        }
    }
    result.states = seen.len();
    result
}
