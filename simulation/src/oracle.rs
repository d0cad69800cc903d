//! The judge. It sees what operators are told, and what nodes and followers have in force; it knows nothing of how they decide.
//! The first broken rule ends a world.

use std::collections::{BTreeMap, BTreeSet};

use ivyhatch_protocol::ids::{PartitionId, ReplicaId};
use ivyhatch_protocol::peer::{AdminResponse, Membership};
use ivyhatch_protocol::{MILLISECOND, Nanos, SECOND};
use serde::{Deserialize, Serialize};

use crate::demand::{Demand, Kind};

/// An order is acknowledged within this while the core is stable (`ack_ms`).
const ACKNOWLEDGED: Nanos = 5 * SECOND;
/// An evacuation is in force within this after its acknowledgement (`evacuate_ms`).
const EVACUATED: Nanos = 5 * SECOND;
/// A configuration is in force within this after its acknowledgement (`config_ms`).
const CONFIGURED: Nanos = 2_500 * MILLISECOND;

/// What must hold.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, strum::Display,
)]
#[strum(serialize_all = "snake_case")]
pub enum Invariant {
    /// One number of a part stands for one value.
    OneValueANumber,
    /// No node and no follower goes back within one life.
    NoWayBack,
    /// At most one order on top of a version is taken.
    OneWinner,
    /// What was acknowledged stays.
    NothingLost,
    /// What was refused is never in force.
    RefusedStaysOut,
    /// An order that was taken is not refused when it is sent again.
    TakenStaysTaken,
    /// What is invalid is neither acknowledged nor in force.
    InvalidStaysOut,
    /// What is in force is what was sent under its number, on top of the version that it names.
    AsSent,
    /// What is read is no older than what was acknowledged before.
    FreshRead,
    /// Followers in touch have an acknowledged configuration in time.
    ConfiguredInTime,
    /// Followers in touch have an acknowledged evacuation in time, until it is taken back.
    EvacuatedInTime,
    /// While the core is stable, orders are acknowledged in time.
    AcknowledgedInTime,
    /// One that has lost its disk votes only after enough others have told it all.
    WipedIsSilent,
    /// One number of the servers' list stands for one list.
    OneListANumber,
    /// One generation stands for one membership, and differs from the one before in one voter.
    OneMembershipAGeneration,
    /// Only a voter of the membership under which it votes votes.
    OnlyVotersVote,
    /// After the last fault all are at the same place, and one reads the list.
    Converges,
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Violation {
    /// The invariant that does not hold.
    #[serde(rename = "rule")] // wire name
    pub invariant: Invariant,
    /// When, in milliseconds.
    pub at_ms: u64,
    /// What the oracle observed.
    #[serde(rename = "text")] // wire name
    pub description: String,
}

/// An undertaking of an operator.
#[derive(Debug)]
struct Undertaken {
    kind: Kind,
    began: Nanos,
    /// The highest version that was acknowledged before it began.
    newest_before: u64,
    taken: Option<Nanos>,
    /// It was taken, and its operator did not hear of it.
    taken_unheard: bool,
    refused: bool,
    open: bool,
}

impl Undertaken {
    /// Whether it was answered as taken, heard or not.
    fn is_taken(&self) -> bool {
        self.taken.is_some() || self.taken_unheard
    }
}

/// What a follower has in force.
#[derive(Debug)]
pub struct FollowerView {
    /// Which one.
    pub number: usize,
    /// Its version of the configuration.
    pub revision: u64,
    /// Whether each zone is evacuated.
    pub evacuated: Vec<bool>,
    /// Whether it is in touch, as the rules have it.
    pub in_touch: bool,
}

/// What a node or follower is, for the rule that none goes back: its number, and its life's.
pub type Life = (u32, u64);

/// The judge.
#[derive(Debug, Default)]
pub struct Oracle {
    now: Nanos,
    undertaken: BTreeMap<usize, Undertaken>,
    /// Versions by the undertaking that asked for them.
    asked: BTreeMap<u64, usize>,
    /// The value of each number of each part.
    values: BTreeMap<(PartitionId, u64), u64>,
    /// The version that each number of the configuration stands for.
    versions: BTreeMap<u64, u64>,
    places: BTreeMap<(Life, PartitionId), u64>,
    lists: BTreeMap<(u64, u64, u64), u64>,
    memberships: BTreeMap<u64, Membership>,
    newest: Option<(u64, Nanos)>,
    zones: BTreeMap<usize, (bool, Nanos)>,
    violation: Option<Violation>,
}

impl Oracle {
    /// The first broken rule, if any.
    pub fn violation(&self) -> Option<&Violation> {
        self.violation.as_ref()
    }

    /// Notes that a rule is broken.
    pub fn broken(&mut self, invariant: Invariant, description: String) {
        let at_ms = self.now / MILLISECOND;
        self.violation.get_or_insert(Violation { invariant, at_ms, description });
    }

    /// Time has come so far.
    pub fn time(&mut self, now: Nanos) {
        self.now = now;
    }

    /// Configurations and evacuations that were acknowledged.
    pub fn taken(&self) -> u64 {
        let changes = self.undertaken.values().filter(|one| one.taken.is_some() && one.kind != Kind::Read);
        changes.count() as u64
    }

    /// An operator begins something.
    pub fn began(&mut self, number: usize, demand: &Demand) {
        match demand.kind {
            Kind::Set { revision, .. } => {
                self.asked.insert(revision, number);
            }
            // From now on either may be in force.
            Kind::Evacuate { zone, active } => {
                if self.zones.get(&zone).is_some_and(|(wanted, _)| *wanted != active) {
                    self.zones.remove(&zone);
                }
            }
            Kind::Read => {}
        }
        let undertaken = Undertaken {
            kind: demand.kind.clone(),
            began: self.now,
            newest_before: self.newest.map_or(0, |(revision, _)| revision),
            taken: None,
            taken_unheard: false,
            refused: false,
            open: true,
        };
        self.undertaken.insert(number, undertaken);
    }

    /// An operator is answered. Whether that is clear: if not, it sends again.
    pub fn answered(&mut self, number: usize, answer: &AdminResponse) -> bool {
        let Some(undertaken) = self.undertaken.get_mut(&number) else { return true };
        if matches!(answer, AdminResponse::Unavailable(_)) {
            return false;
        }
        undertaken.open = false;
        let (kind, newest_before) = (undertaken.kind.clone(), undertaken.newest_before);
        match (kind, answer) {
            (Kind::Set { base, revision, valid, .. }, AdminResponse::Applied { .. }) => {
                undertaken.taken = Some(self.now);
                self.acknowledged(number, base, revision, valid);
            }
            (Kind::Evacuate { zone, active }, AdminResponse::Applied { .. }) => {
                undertaken.taken = Some(self.now);
                self.zones.insert(zone, (active, self.now));
            }
            (Kind::Set { revision, .. }, AdminResponse::Conflict { .. } | AdminResponse::Invalid(_)) => {
                undertaken.refused = true;
                if undertaken.taken_unheard {
                    self.broken(
                        Invariant::TakenStaysTaken,
                        format!("version {revision} was taken, and refused when it was sent again"),
                    );
                }
                if self.versions.values().any(|version| *version == revision) {
                    self.broken(
                        Invariant::RefusedStaysOut,
                        format!("version {revision} is in force, and was refused"),
                    );
                }
            }
            (Kind::Read, AdminResponse::Document(text)) => {
                let read = ivyhatch_protocol::configuration::Document::parse(text.as_bytes());
                let revision = read.map_or(0, |document| document.revision);
                self.read(revision, newest_before);
            }
            (Kind::Read, AdminResponse::NotConfigured) => self.read(0, newest_before),
            (kind, answer) => self.broken(Invariant::AsSent, format!("{kind:?} was answered by {answer:?}")),
        }
        true
    }

    /// An operator is answered, and does not hear it: it will send again, and has to be answered in time from now on.
    pub fn answer_lost(&mut self, number: usize, answer: &AdminResponse) {
        let Some(undertaken) = self.undertaken.get_mut(&number) else { return };
        undertaken.began = self.now;
        if let (Kind::Set { base, revision, valid, .. }, AdminResponse::Applied { .. }) =
            (&undertaken.kind, answer)
        {
            let (base, revision, valid) = (*base, *revision, *valid);
            undertaken.taken_unheard = true;
            self.judge_taken(number, base, revision, valid);
        }
    }

    fn acknowledged(&mut self, number: usize, base: u64, revision: u64, valid: bool) {
        self.judge_taken(number, base, revision, valid);
        if self.newest.is_none_or(|(newest, _)| newest < revision) {
            self.newest = Some((revision, self.now));
        }
    }

    fn judge_taken(&mut self, number: usize, base: u64, revision: u64, valid: bool) {
        if !valid {
            self.broken(
                Invariant::InvalidStaysOut,
                format!("version {revision} is invalid, and was acknowledged"),
            );
        }
        let also = |(other, one): (&usize, &Undertaken)| {
            let same = matches!(one.kind, Kind::Set { base: of, .. } if of == base);
            *other != number && one.is_taken() && same
        };
        if self.undertaken.iter().any(also) {
            self.broken(
                Invariant::OneWinner,
                format!("two changes on top of version {base} were acknowledged"),
            );
        }
    }

    fn read(&mut self, revision: u64, least: u64) {
        if revision < least {
            self.broken(
                Invariant::FreshRead,
                format!("version {revision} was read after {least} was acknowledged"),
            );
        }
    }

    /// A node or a follower has a part at this place, with a value of this digest.
    pub fn seen(&mut self, who: Life, part: PartitionId, sequence: u64, digest: u64) {
        if sequence == 0 {
            return;
        }
        let place = self.places.entry((who, part)).or_default();
        if sequence < *place {
            let text = format!("{who:?} has part {} at {sequence} after {place}", part.0);
            return self.broken(Invariant::NoWayBack, text);
        }
        *place = sequence;
        if *self.values.entry((part, sequence)).or_insert(digest) != digest {
            let text = format!("{who:?} has another value of part {} at {sequence}", part.0);
            self.broken(Invariant::OneValueANumber, text);
        }
    }

    /// A node or a follower has this version of the configuration in force.
    pub fn in_force(&mut self, sequence: u64, revision: u64, digest: u64) {
        if sequence == 0 || self.versions.get(&sequence) == Some(&revision) {
            return;
        }
        self.versions.insert(sequence, revision);
        let one = self.asked.get(&revision).and_then(|number| self.undertaken.get(number));
        let Some(Undertaken { kind: Kind::Set { base, digest: sent, valid, .. }, refused, .. }) = one else {
            return self
                .broken(Invariant::AsSent, format!("version {revision} is in force, and nobody sent it"));
        };
        let before = if sequence == 1 { Some(0) } else { self.versions.get(&(sequence - 1)).copied() };
        let (rule, text) = if !valid {
            (Invariant::InvalidStaysOut, "it is invalid".to_owned())
        } else if *refused {
            (Invariant::RefusedStaysOut, "it was refused".to_owned())
        } else if digest != *sent {
            (Invariant::AsSent, "it is not what was sent".to_owned())
        } else if before.is_some_and(|before| before != *base) {
            (Invariant::OneWinner, format!("it follows on {before:?}, and builds on {base}"))
        } else {
            return;
        };
        self.broken(rule, format!("version {revision} is in force: {text}"));
    }

    /// Somebody has this list of servers.
    pub fn list(&mut self, position: (u64, u64, u64), digest: u64) {
        if *self.lists.entry(position).or_insert(digest) != digest {
            self.broken(Invariant::OneListANumber, format!("the list {position:?} is not one list"));
        }
    }

    /// A node has this membership.
    pub fn membership(&mut self, membership: &Membership) {
        let generation = membership.generation;
        let known = self.memberships.entry(generation).or_insert_with(|| membership.clone());
        if known != membership {
            let text = format!("generation {generation} is not one membership");
            return self.broken(Invariant::OneMembershipAGeneration, text);
        }
        let Some(before) = self.memberships.get(&generation.saturating_sub(1)) else { return };
        let new = membership.voters.iter().filter(|voter| before.voter(voter.replica).is_none());
        if membership.previous != before.voters || new.count() != 1 {
            let text = format!("generation {generation} does not follow on the one before");
            self.broken(Invariant::OneMembershipAGeneration, text);
        }
    }

    /// The newest membership that any node has had.
    pub fn newest_membership(&self) -> Option<&Membership> {
        self.memberships.values().next_back()
    }

    /// A replica votes under the membership of this generation.
    pub fn vote(&mut self, generation: u64, replica: ReplicaId) {
        let membership = self.memberships.get(&generation);
        if membership.is_some_and(|membership| membership.voter(replica).is_none()) {
            let text = format!("{replica} votes under generation {generation}, and is none of its voters");
            self.broken(Invariant::OnlyVotersVote, text);
        }
    }

    /// From time to time: what is to be in force by now, and which orders should be answered. `stable_since` is when the core's last
    /// trouble was long enough ago, if it is stable.
    pub fn sample(&mut self, followers: &[FollowerView], stable_since: Option<Nanos>) {
        for follower in followers.iter().filter(|follower| follower.in_touch) {
            if let Some((revision, at)) = self.newest
                && self.now > at + CONFIGURED
                && follower.revision < revision
            {
                let text = format!("follower {} has {}, not {revision}", follower.number, follower.revision);
                self.broken(Invariant::ConfiguredInTime, text);
            }
            for (zone, (active, at)) in self.zones.clone() {
                if self.now > at + EVACUATED && follower.evacuated.get(zone) != Some(&active) {
                    let text =
                        format!("follower {}: zone {zone} should be evacuated: {active}", follower.number);
                    self.broken(Invariant::EvacuatedInTime, text);
                }
            }
        }
        let Some(stable_since) = stable_since else { return };
        let late = |one: &&Undertaken| one.open && self.now > one.began.max(stable_since) + ACKNOWLEDGED;
        if let Some(late) = self.undertaken.values().find(late) {
            let text =
                format!("{:?} has no answer since {} ms", late.kind, (self.now - late.began) / MILLISECOND);
            self.broken(Invariant::AcknowledgedInTime, text);
        }
    }

    /// At the end: the places of all nodes, what all nodes and followers have in force (their version and its number, then for each
    /// zone whether it is evacuated and how often that has changed), and whether one reads the list.
    pub fn end(&mut self, places: &BTreeSet<Vec<u64>>, in_force: &BTreeSet<Vec<u64>>, reader: bool) {
        if places.len() != 1 || in_force.len() != 1 || !reader {
            let text = format!("places {places:?}, in force {in_force:?}, one reads the list: {reader}");
            self.broken(Invariant::Converges, text);
        }
        let kept: BTreeSet<u64> = self.versions.values().copied().collect();
        let gone = self.undertaken.values().find_map(|one| match one.kind {
            Kind::Set { revision, .. } if one.is_taken() && !kept.contains(&revision) => Some(revision),
            _ => None,
        });
        if let Some(gone) = gone {
            self.broken(
                Invariant::NothingLost,
                format!("version {gone} was acknowledged, and nobody ever had it"),
            );
        }
        let follows = |(sequence, revision): (&u64, &u64)| {
            let before = self.versions.get(&(sequence - 1)).copied();
            let one = self.asked.get(revision).and_then(|number| self.undertaken.get(number))?;
            let Kind::Set { base, .. } = one.kind else { return None };
            before.filter(|before| *before != base).map(|before| (*revision, base, before))
        };
        if let Some((revision, base, before)) = self.versions.iter().find_map(follows) {
            self.broken(
                Invariant::OneWinner,
                format!("version {revision} builds on {base}, and follows on {before}"),
            );
        }
        let wanted = self.zones.iter().find(|(zone, (active, _))| {
            in_force.iter().any(|one| one.get(2 + 2 * **zone) != Some(&u64::from(*active)))
        });
        if let Some((zone, (active, _))) = wanted {
            self.broken(
                Invariant::NothingLost,
                format!("zone {zone} should be evacuated: {active}, as acknowledged"),
            );
        }
        let last = in_force.iter().next().and_then(|one| one.first()).copied().unwrap_or_default();
        if let Some((newest, _)) = self.newest.filter(|(newest, _)| last < *newest) {
            self.broken(
                Invariant::NothingLost,
                format!("version {newest} was acknowledged, and {last} is in force"),
            );
        }
    }
}
