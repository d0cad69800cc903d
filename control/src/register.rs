//! One part of the control state, as one member of its group sees it: what it has promised and set, and, while it is the part's
//! owner, how far it is with having the others set it.
//!
//! The owner of a part begins with an epoch that most members promise and store (`Prepare`); what the part may have been set to
//! before comes with the promises, and is set once more under the new epoch. From then on each change is one round (`Accept`),
//! decided once most have stored it. A member refuses every epoch below the one that it has promised, so that of two who take
//! themselves for the owner one fails. There is no log: a part is what it was last set to, and its changes are numbered.

use std::collections::{BTreeMap, BTreeSet};

use ivyhatch_protocol::MILLISECOND;
use ivyhatch_protocol::Nanos;
use ivyhatch_protocol::ids::{Epoch, NodeId};
use ivyhatch_protocol::peer::{Accepted, Deciding, Kept};

/// What was not answered is asked again after this: some times the way there and back and a sync of a slow disk.
const AGAIN: Nanos = 300 * MILLISECOND;

/// What a register wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Tell a member, perhaps this one.
    Send(NodeId, Deciding),
    /// Store the promise, then tell a member.
    Promise(Epoch, NodeId, Deciding),
    /// Store what the part was set to, then tell a member.
    Set(Accepted, NodeId, Deciding),
    /// The part is decided so.
    Decided(Accepted),
    /// Most members confirm that this one is still the owner.
    Confirmed(u64),
    /// This one is no longer the owner. Whether an open proposal will be decided is not known.
    Deposed,
}

/// What the owner has put to the members.
#[derive(Clone, Debug)]
struct Proposal {
    accepted: Accepted,
    done: BTreeSet<NodeId>,
    asked: Nanos,
}

/// Whether, and how far, this member is the part's owner.
#[derive(Clone, Debug, Default)]
enum Ownership {
    /// It is not.
    #[default]
    None,
    /// It has asked for the members' promises.
    Preparing { epoch: Epoch, promises: BTreeMap<NodeId, Option<Accepted>>, asked: Nanos },
    /// It is.
    Leading { epoch: Epoch, proposal: Option<Proposal>, confirming: BTreeMap<u64, BTreeSet<NodeId>> },
}

/// One part.
#[derive(Clone, Debug)]
pub struct Register {
    me: NodeId,
    life: u64,
    members: Vec<NodeId>,
    kept: Kept,
    decided: Option<Accepted>,
    ownership: Ownership,
    /// The highest counter of any epoch that was seen.
    counter: u64,
}

impl Register {
    /// A part of which so much is kept.
    pub fn new(me: NodeId, life: u64, kept: Kept) -> Self {
        let counter = kept.promised.counter;
        Self { me, life, members: Vec::new(), kept, decided: None, ownership: Ownership::None, counter }
    }

    /// What is kept is known to be decided, if it was set under this epoch, as the change of this number.
    pub fn recognise(&mut self, epoch: Epoch, sequence: u64) -> Option<Accepted> {
        let same = |kept: &&Accepted| kept.epoch == epoch && kept.sequence == sequence;
        self.decided = self.kept.accepted.as_ref().filter(same).cloned();
        self.decided.clone()
    }

    /// Sets who decides. Called before anything is decided.
    pub fn set_members(&mut self, members: &[NodeId]) {
        self.members = members.to_vec();
    }

    /// What is kept.
    pub fn kept(&self) -> &Kept {
        &self.kept
    }

    /// Takes over what others keep: for one that has forgotten its own.
    pub fn restore(&mut self, kept: Kept) {
        self.counter = self.counter.max(kept.promised.counter);
        self.kept = kept;
    }

    /// What the part is, as far as it is decided.
    pub fn decided(&self) -> Option<&Accepted> {
        self.decided.as_ref()
    }

    /// The number of its last decided change.
    pub fn sequence(&self) -> u64 {
        self.decided.as_ref().map_or(0, |decided| decided.sequence)
    }

    /// Whether this member acts as the owner, ready or not.
    pub fn is_owner(&self) -> bool {
        !matches!(self.ownership, Ownership::None)
    }

    /// The owner's epoch, once it knows the part and nothing is open.
    pub fn ready(&self) -> Option<Epoch> {
        match &self.ownership {
            Ownership::Leading { epoch, proposal: None, .. } => Some(*epoch),
            _ => None,
        }
    }

    /// The owner's epoch, once most have promised it.
    pub fn leads(&self) -> Option<Epoch> {
        match &self.ownership {
            Ownership::Leading { epoch, .. } => Some(*epoch),
            _ => None,
        }
    }

    fn most(&self) -> usize {
        self.members.len() / 2 + 1
    }

    fn to_all(&self, message: &Deciding, out: &mut Vec<Effect>) {
        out.extend(self.members.iter().map(|member| Effect::Send(*member, message.clone())));
    }

    /// Begins an epoch of this member's.
    pub fn lead(&mut self, now: Nanos, out: &mut Vec<Effect>) {
        self.counter += 1;
        let epoch = Epoch { counter: self.counter, node: self.me, life: self.life };
        self.ownership = Ownership::Preparing { epoch, promises: BTreeMap::new(), asked: now };
        self.to_all(&Deciding::Prepare { epoch }, out);
    }

    /// Is the owner no longer.
    pub fn stand_back(&mut self, out: &mut Vec<Effect>) {
        if self.is_owner() {
            self.ownership = Ownership::None;
            out.push(Effect::Deposed);
        }
    }

    /// Puts a change to the members. Only while [`Register::ready`].
    pub fn propose(&mut self, now: Nanos, value: Vec<u8>, out: &mut Vec<Effect>) {
        let Some(epoch) = self.ready() else { return };
        let accepted = Accepted { epoch, sequence: self.sequence() + 1, value };
        self.put(now, accepted, out);
    }

    fn put(&mut self, now: Nanos, accepted: Accepted, out: &mut Vec<Effect>) {
        let Ownership::Leading { proposal, .. } = &mut self.ownership else { return };
        *proposal = Some(Proposal { accepted: accepted.clone(), done: BTreeSet::new(), asked: now });
        self.to_all(&Deciding::Accept(accepted), out);
    }

    /// Asks the members whether the owner's epoch still stands; `number` comes back.
    pub fn confirm(&mut self, number: u64, out: &mut Vec<Effect>) {
        let Ownership::Leading { epoch, confirming, .. } = &mut self.ownership else { return };
        let epoch = *epoch;
        confirming.insert(number, BTreeSet::new());
        self.to_all(&Deciding::Confirm { epoch, number }, out);
    }

    /// Forgets a question whose asker waits no longer.
    pub fn forget(&mut self, number: u64) {
        if let Ownership::Leading { confirming, .. } = &mut self.ownership {
            confirming.remove(&number);
        }
    }

    /// Asks again what was not answered.
    pub fn tick(&mut self, now: Nanos, out: &mut Vec<Effect>) {
        let (message, answered): (Deciding, BTreeSet<NodeId>) = match &mut self.ownership {
            Ownership::Preparing { epoch, promises, asked } if now >= *asked + AGAIN => {
                *asked = now;
                (Deciding::Prepare { epoch: *epoch }, promises.keys().copied().collect())
            }
            Ownership::Leading { proposal: Some(proposal), .. } if now >= proposal.asked + AGAIN => {
                proposal.asked = now;
                (Deciding::Accept(proposal.accepted.clone()), proposal.done.clone())
            }
            _ => return,
        };
        let rest = self.members.iter().filter(|member| !answered.contains(*member));
        out.extend(rest.map(|member| Effect::Send(*member, message.clone())));
    }

    /// Takes a message in. `votes` tells whether this node is a member that has not forgotten anything.
    pub fn handle(
        &mut self,
        now: Nanos,
        from: NodeId,
        message: Deciding,
        votes: bool,
        out: &mut Vec<Effect>,
    ) {
        match message {
            Deciding::Prepare { epoch } if votes => {
                if epoch < self.kept.promised {
                    out.push(Effect::Send(from, Deciding::Refuse { promised: self.kept.promised }));
                    return;
                }
                self.promise(epoch, out);
                let accepted = self.kept.accepted.clone();
                out.push(Effect::Promise(epoch, from, Deciding::Promise { epoch, accepted }));
            }
            Deciding::Accept(accepted) if votes => {
                if accepted.epoch < self.kept.promised {
                    out.push(Effect::Send(from, Deciding::Refuse { promised: self.kept.promised }));
                    return;
                }
                let (epoch, sequence) = (accepted.epoch, accepted.sequence);
                // One that was held up on the way, with its successor here already.
                if self
                    .kept
                    .accepted
                    .as_ref()
                    .is_some_and(|kept| kept.epoch == epoch && kept.sequence > sequence)
                {
                    return;
                }
                self.promise(epoch, out);
                self.kept.accepted = Some(accepted.clone());
                out.push(Effect::Set(accepted, from, Deciding::Done { epoch, sequence }));
            }
            Deciding::Confirm { epoch, number } if votes => {
                let told = if epoch == self.kept.promised {
                    Deciding::Stands { epoch, number }
                } else {
                    Deciding::Refuse { promised: self.kept.promised }
                };
                out.push(Effect::Send(from, told));
            }
            // One that has forgotten its promises says nothing: no answer is the one that can't be wrong.
            Deciding::Prepare { .. } | Deciding::Accept(_) | Deciding::Confirm { .. } => {}
            Deciding::Promise { epoch, accepted } => self.promised(now, from, epoch, accepted, out),
            Deciding::Done { epoch, sequence } => self.done(from, epoch, sequence, out),
            Deciding::Stands { epoch, number } => self.stands(from, epoch, number, out),
            Deciding::Refuse { promised } => self.outdated(promised, out),
            Deciding::Commit { epoch, sequence } => {
                let same = |kept: &&Accepted| kept.epoch == epoch && kept.sequence == sequence;
                match self.kept.accepted.as_ref().filter(same).cloned() {
                    Some(accepted) => self.decide(accepted, out),
                    None if sequence > self.sequence() => {
                        out.push(Effect::Send(from, Deciding::Fetch { after: self.sequence() }));
                    }
                    None => {}
                }
            }
            Deciding::Fetch { after } => {
                if let Some(decided) = self.decided.clone().filter(|decided| decided.sequence > after) {
                    out.push(Effect::Send(from, Deciding::Committed(decided)));
                }
            }
            Deciding::Committed(accepted) => self.decide(accepted, out),
        }
    }

    /// Somebody has seen this epoch. An own one below it has ended.
    pub fn outdated(&mut self, seen: Epoch, out: &mut Vec<Effect>) {
        self.counter = self.counter.max(seen.counter);
        let own = match &self.ownership {
            Ownership::None => return,
            Ownership::Preparing { epoch, .. } | Ownership::Leading { epoch, .. } => *epoch,
        };
        if seen > own {
            self.stand_back(out);
        }
    }

    /// Promises an epoch. An own one below it has ended.
    fn promise(&mut self, epoch: Epoch, out: &mut Vec<Effect>) {
        self.kept.promised = self.kept.promised.max(epoch);
        self.outdated(epoch, out);
    }

    fn promised(
        &mut self,
        now: Nanos,
        from: NodeId,
        epoch: Epoch,
        accepted: Option<Accepted>,
        out: &mut Vec<Effect>,
    ) {
        let most = self.most();
        let Ownership::Preparing { epoch: own, promises, .. } = &mut self.ownership else { return };
        if *own != epoch || !self.members.contains(&from) {
            return;
        }
        promises.insert(from, accepted);
        if promises.len() < most {
            return;
        }
        let newest = promises.values().flatten().max_by_key(|accepted| (accepted.epoch, accepted.sequence));
        let newest = newest.cloned();
        self.ownership = Ownership::Leading { epoch, proposal: None, confirming: BTreeMap::new() };
        // It may or may not have been decided: from here on it is, under this epoch.
        if let Some(newest) = newest {
            self.put(now, Accepted { epoch, ..newest }, out);
        }
    }

    fn done(&mut self, from: NodeId, of: Epoch, sequence: u64, out: &mut Vec<Effect>) {
        let most = self.most();
        let Ownership::Leading { epoch, proposal, .. } = &mut self.ownership else { return };
        let Some(open) = proposal.as_mut().filter(|open| open.accepted.sequence == sequence) else { return };
        if *epoch != of || !self.members.contains(&from) {
            return;
        }
        open.done.insert(from);
        if open.done.len() < most {
            return;
        }
        let accepted = open.accepted.clone();
        *proposal = None;
        self.decide(accepted, out);
    }

    fn stands(&mut self, from: NodeId, of: Epoch, number: u64, out: &mut Vec<Effect>) {
        let most = self.most();
        let Ownership::Leading { epoch, confirming, .. } = &mut self.ownership else { return };
        let Some(stand) = confirming.get_mut(&number).filter(|_| *epoch == of) else { return };
        if self.members.contains(&from) {
            stand.insert(from);
        }
        if stand.len() >= most {
            confirming.remove(&number);
            out.push(Effect::Confirmed(number));
        }
    }

    /// Notes what is decided; an older decision changes nothing. One under a higher epoch than this owner's tells that most have
    /// promised that epoch: what is open here may have been decided by another owner, and would never be answered.
    fn decide(&mut self, accepted: Accepted, out: &mut Vec<Effect>) {
        self.outdated(accepted.epoch, out);
        let newer =
            |decided: &Accepted| (accepted.sequence, accepted.epoch) > (decided.sequence, decided.epoch);
        if self.decided.as_ref().is_none_or(newer) {
            self.decided = Some(accepted.clone());
            out.push(Effect::Decided(accepted));
        }
    }
}
