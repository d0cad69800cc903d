//! What happens in a world: how large it is, what the operators do, and what goes wrong when. Can be written to a file and read
//! again, and made shorter bit by bit.

mod extended;

use serde::{Deserialize, Serialize};

use crate::chance::Chance;

/// Whatever goes wrong begins no earlier: by then the group has formed.
const CALM_MS: u64 = 5_000;
/// After the last fault everything converges within this (`recover_s`), and some for the operators' last orders.
pub const RECOVER_MS: u64 = 12_000;

/// A world.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Drives delays, lots and lives.
    pub seed: u64,
    /// Control nodes, all with a disk.
    pub members: usize,
    /// Disks that may be lost at once.
    pub tolerate: usize,
    /// Routers that follow.
    pub followers: usize,
    /// By then all faults have ended; the world ends [`RECOVER_MS`] later.
    pub faults_end_ms: u64,
    /// What operators do.
    pub orders: Vec<Ordered>,
    /// What goes wrong.
    pub faults: Vec<Fault>,
    /// What is done to one message.
    #[serde(default)]
    pub mutation: Option<Mutation>,
    /// Of a hundred answers to operators so many are lost while things go wrong.
    #[serde(default)]
    pub lost_answers: u64,
}

/// An operator's undertaking: sent again until it is answered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ordered {
    /// When it begins, unless the operator's last one is not answered yet.
    pub at_ms: u64,
    /// Who.
    pub operator: usize,
    /// What.
    pub what: Undertaking,
}

/// What an operator undertakes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Undertaking {
    /// A whole configuration on top of the newest version that any operator knows.
    Put,
    /// A change on top of it.
    Patch,
    /// A configuration with a route to a service that is not there.
    Invalid,
    /// The newest configuration.
    Read,
    /// Empties a zone, by its number.
    Evacuate(usize),
    /// Takes that back.
    Withdraw(usize),
}

/// When something goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum When {
    /// At this time.
    At(u64),
    /// So many milliseconds after an operator has had so many configurations and evacuations acknowledged.
    Taken(u64, u64),
}

/// Something that goes wrong.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// When.
    pub when: When,
    /// What.
    pub what: Trouble,
    /// For how long.
    pub for_ms: u64,
}

/// What goes wrong. Nodes are numbered from 0; sets of nodes are bit masks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Trouble {
    /// These processes are killed; their files stay.
    Kill(u64),
    /// These machines lose power.
    Power(u64),
    /// The first lose their disks, the second lose power.
    Wipe(u64, u64),
    /// These processes stand still.
    Freeze(u64),
    /// What the first says does not reach the second.
    OneWay(usize, usize),
    /// These are cut off from all other control nodes.
    Split(u64),
    /// This follower is cut off from these control nodes.
    Aside(usize, u64),
    /// This follower's process is killed.
    Follower(usize),
    /// A write to these disks takes so many milliseconds.
    Slow(u64, u64),
    /// No write to these disks ends.
    Stall(u64),
    /// These disks are full: each write is refused, and tried again.
    Full(u64),
    /// Of a hundred messages so many are lost, doubled, and held up beyond later ones.
    Unruly(u64, u64, u64),
    /// The machine in this place goes for good, and another one with an empty disk and another address takes its place.
    Replace(usize, Replacement),
}

/// How a machine is replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::EnumIter)]
pub enum Replacement {
    /// It is gone without a word, and its successor comes later.
    Gone,
    /// Its successor comes first, then it is told to end.
    Planned,
    /// It is cut off from all other control nodes, its successor comes, and later it is back with its disk.
    Returns,
}

/// What is done to one message, by its number in the order in which they are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mutation {
    /// Its number.
    pub message: u64,
    /// What is done.
    pub how: Mutated,
}

/// What is done to a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::EnumIter)]
pub enum Mutated {
    /// It is lost.
    Dropped,
    /// It comes twice.
    Doubled,
    /// It comes behind the next ones.
    Delayed,
    /// The one before it on its way comes in its place.
    Replaced,
}

fn subset(chance: &mut Chance, members: usize, count: u64) -> u64 {
    let mut mask = 0;
    while u64::from(u64::count_ones(mask)) < count.min(members as u64) {
        mask |= 1 << chance.below(members as u64);
    }
    mask
}

impl Plan {
    /// A plan by chance.
    pub fn drawn(seed: u64) -> Self {
        let mut chance = Chance::new(seed);
        let (members, tolerate) = match chance.below(100) {
            0..72 => (3, 1),
            72..84 => (6, 2),
            84..94 => (5, 1),
            _ => (1, 0),
        };
        let followers = chance.between(1, 3) as usize;
        let faults_end_ms = chance.between(9_000, 18_000);
        let mut plan = Self {
            seed,
            members,
            tolerate,
            followers,
            faults_end_ms,
            orders: orders(&mut chance, faults_end_ms),
            faults: Vec::new(),
            mutation: None,
            lost_answers: 0,
        };
        if members == 1 {
            plan.faults = plan.handed_over(&mut chance);
            return plan;
        }
        let count = chance.between(1, 5);
        plan.faults = (0..count).map(|_| plan.fault(&mut chance)).collect();
        // Losses of disks and replacements. One that would lose more disks at once than are tolerated waits its turn.
        let losses = chance.below(4);
        for _ in 0..losses {
            let fault =
                if chance.percent(50) { plan.loss(&mut chance) } else { plan.replacement(&mut chance) };
            plan.faults.push(fault);
        }
        plan
    }

    /// Machines that take another's place.
    pub fn replacements(&self) -> usize {
        self.faults.iter().filter(|fault| matches!(fault.what, Trouble::Replace(..))).count()
    }

    /// All machines of the core, those that come later behind the first ones.
    pub fn machines(&self) -> usize {
        self.members + self.replacements()
    }

    /// The same with nothing that goes wrong.
    pub fn without_faults(self) -> Self {
        Self { faults: Vec::new(), ..self }
    }

    /// When the world ends.
    pub fn end_ms(&self) -> u64 {
        self.faults_end_ms + RECOVER_MS
    }

    fn fault(&self, chance: &mut Chance) -> Fault {
        let members = self.members;
        let node = |chance: &mut Chance| chance.below(members as u64) as usize;
        let few = |chance: &mut Chance| {
            let count = chance.between(1, (members as u64 / 2).max(1));
            subset(chance, members, count)
        };
        let all = (1 << members) - 1;
        let what = match chance.below(14) {
            0 | 1 => Trouble::Kill(few(chance)),
            2 => Trouble::Kill(all),
            3 => Trouble::Power(few(chance)),
            4 => Trouble::Power(all),
            5 | 6 => Trouble::Freeze(few(chance)),
            7 if members > 1 => {
                let from = node(chance);
                Trouble::OneWay(from, (from + 1 + chance.below(members as u64 - 1) as usize) % members)
            }
            8 => Trouble::Split(few(chance)),
            9 => Trouble::Aside(chance.below(self.followers as u64) as usize, subset(chance, members, 2)),
            10 => Trouble::Follower(chance.below(self.followers as u64) as usize),
            11 => Trouble::Slow(few(chance), chance.between(50, 900)),
            12 => Trouble::Stall(few(chance)),
            _ => Trouble::Unruly(chance.below(25), chance.below(20), chance.below(30)),
        };
        let latest = self.faults_end_ms - 500;
        let when = if chance.percent(75) {
            When::At(chance.between(CALM_MS, latest))
        } else {
            When::Taken(chance.between(2, 6), chance.below(30))
        };
        let for_ms = match what {
            Trouble::Kill(_) | Trouble::Follower(_) => chance.between(200, 1_500),
            _ if chance.percent(30) => 20_000,
            _ => chance.between(100, 5_000),
        };
        Fault { when, what, for_ms }
    }

    /// A group of one bears the loss of nothing but its process, and can hand over what it holds.
    fn handed_over(&self, chance: &mut Chance) -> Vec<Fault> {
        let latest = self.faults_end_ms - 500;
        let kills = chance.below(3);
        let kill = |chance: &mut Chance| Fault {
            when: When::At(chance.between(CALM_MS, latest)),
            what: if chance.percent(50) { Trouble::Kill(1) } else { Trouble::Power(1) },
            for_ms: chance.between(200, 1_500),
        };
        let mut faults: Vec<Fault> = (0..kills).map(|_| kill(chance)).collect();
        if chance.percent(70) {
            faults.push(self.replacement(chance));
        }
        faults
    }

    fn replacement(&self, chance: &mut Chance) -> Fault {
        let how = [Replacement::Gone, Replacement::Planned, Replacement::Returns][chance.below(3) as usize];
        // What a group of one holds can only be handed over.
        let how = if self.members == 1 { Replacement::Planned } else { how };
        let what = Trouble::Replace(chance.below(self.members as u64) as usize, how);
        let when = if chance.percent(30) {
            When::Taken(chance.between(2, 7), chance.below(8))
        } else {
            When::At(chance.between(CALM_MS, self.faults_end_ms - 500))
        };
        let for_ms = match how {
            Replacement::Returns => chance.between(2_500, 8_000),
            Replacement::Gone | Replacement::Planned => chance.between(200, 2_500),
        };
        Fault { when, what, for_ms }
    }

    /// Disks are lost; sometimes all others lose power.
    fn loss(&self, chance: &mut Chance) -> Fault {
        let count = chance.between(1, self.tolerate.max(1) as u64);
        let lost = subset(chance, self.members, count);
        let others = ((1 << self.members) - 1) & !lost;
        let others = if chance.percent(50) { others } else { 0 };
        let when = if chance.percent(70) {
            When::Taken(chance.between(2, 7), chance.below(8))
        } else {
            When::At(chance.between(CALM_MS, self.faults_end_ms - 500))
        };
        Fault { when, what: Trouble::Wipe(lost, others), for_ms: chance.between(300, 4_000) }
    }
}

fn orders(chance: &mut Chance, end_ms: u64) -> Vec<Ordered> {
    let mut orders = vec![Ordered { at_ms: 2_500, operator: 0, what: Undertaking::Put }];
    let mut at_ms = 4_000;
    while at_ms < end_ms + 2_000 {
        at_ms += chance.between(100, 1_600);
        let what = match chance.below(10) {
            0..4 => Undertaking::Put,
            4..6 => Undertaking::Patch,
            6 => Undertaking::Invalid,
            _ => Undertaking::Read,
        };
        let operator = chance.below(2) as usize;
        orders.push(Ordered { at_ms, operator, what });
        if chance.percent(40) {
            orders.push(Ordered { at_ms: at_ms + chance.below(30), operator: 1 - operator, what });
        }
    }
    // Readers by themselves, so that one reads while another's order is under way.
    let mut at_ms = 4_500;
    while at_ms < end_ms + 2_000 {
        at_ms += chance.between(200, 1_500);
        orders.push(Ordered { at_ms, operator: 2, what: Undertaking::Read });
    }
    let (mut at_ms, zone) = (chance.between(4_000, 7_000), chance.below(3) as usize);
    let mut active = true;
    while at_ms < end_ms + 2_000 {
        let what = if active { Undertaking::Evacuate(zone) } else { Undertaking::Withdraw(zone) };
        orders.push(Ordered { at_ms, operator: 3, what });
        active = !active;
        // An order that was given up may be done for as long as it is on its way: the next one on that zone is later.
        at_ms += chance.between(3_000, 8_000);
    }
    orders
}
