//! Operators: each does one thing after the other, and sends it again, unchanged, to another node after a second of silence.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use ivyhatch_control::{Input, RequestId};
use ivyhatch_protocol::ids::PartitionId;
use ivyhatch_protocol::peer::{AdminRequest, AdminResponse};
use ivyhatch_protocol::{MILLISECOND, Nanos, SECOND};

use super::{Happening, World};
use crate::demand::{Demand, Operators};
use crate::injected_bugs::InjectedBug;
use crate::plan::{Trouble, When};

/// After an evacuation or its end an operator waits for so long.
const PAUSE: Nanos = 10 * MILLISECOND;

/// What an operator is at.
#[derive(Debug)]
struct Current {
    number: usize,
    demand: Demand,
    id: RequestId,
    tried: u64,
}

/// All operators.
#[derive(Debug)]
pub(super) struct Desk {
    known: Operators,
    backlog: BTreeMap<usize, VecDeque<usize>>,
    current: BTreeMap<usize, Current>,
    pauses: BTreeSet<usize>,
    next: u64,
}

impl Desk {
    pub(super) fn new(orders: usize) -> Self {
        Self {
            known: Operators::default(),
            backlog: BTreeMap::new(),
            current: BTreeMap::new(),
            pauses: BTreeSet::new(),
            next: orders as u64,
        }
    }

    /// A number that nothing else has.
    pub(super) fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    fn of(&mut self, id: RequestId) -> Option<(usize, &mut Current)> {
        self.current
            .iter_mut()
            .find(|(_, current)| current.id == id)
            .map(|(operator, current)| (*operator, current))
    }
}

impl World<'_> {
    /// An undertaking's time has come.
    pub(super) fn begins(&mut self, number: usize) {
        let operator = self.plan.orders[number].operator;
        self.desk.backlog.entry(operator).or_default().push_back(number);
        self.next_of(operator);
    }

    fn next_of(&mut self, operator: usize) {
        if self.desk.current.contains_key(&operator) || self.desk.pauses.contains(&operator) {
            return;
        }
        let Some(number) = self.desk.backlog.get_mut(&operator).and_then(VecDeque::pop_front) else { return };
        // One that had to wait too long is left out: the world has an end.
        if self.now / MILLISECOND > self.plan.faults_end_ms + 4_000 {
            return;
        }
        let step = 1 + self.below(5);
        let demand = self.desk.known.demand(self.plan.orders[number].what, step);
        self.note(|| format!("operator {operator} begins {number}: {:?}", demand.kind));
        self.oracle.began(number, &demand);
        self.desk.current.insert(operator, Current { number, demand, id: 0, tried: 0 });
        self.try_of(operator);
    }

    /// Sends to a node that was not tried yet, or begins anew.
    fn try_of(&mut self, operator: usize) {
        let members = self.plan.members as u64;
        let lot = self.below(members);
        let id = self.desk.number();
        let Some(current) = self.desk.current.get_mut(&operator) else { return };
        if current.tried.count_ones() as u64 == members {
            current.tried = 0;
        }
        let untried =
            (0..members).map(|step| (lot + step) % members).find(|slot| current.tried >> slot & 1 == 0);
        let slot = untried.unwrap_or(lot);
        current.tried |= 1 << slot;
        let node = self.slots[slot as usize];
        current.id = id;
        let order = current.demand.order.clone();
        let way = (3 + self.below(10)) * MILLISECOND;
        self.after(way, Happening::Order(id, node, order));
        self.after(SECOND, Happening::Silence(id));
    }

    /// An operator's pause has ended.
    pub(super) fn goes_on(&mut self, operator: usize) {
        self.desk.pauses.remove(&operator);
        self.next_of(operator);
    }

    pub(super) fn send_again(&mut self, id: RequestId) {
        if let Some((operator, _)) = self.desk.of(id) {
            self.try_of(operator);
        }
    }

    pub(super) fn order_arrives(&mut self, id: RequestId, machine: usize, order: AdminRequest) {
        if !self.machines[machine].is_up() {
            // Nobody listens there.
            let after = (50 + self.below(100)) * MILLISECOND;
            return self.after(after, Happening::Silence(id));
        }
        // The operator has hung up on a process that stood still. A configuration may be taken all the same.
        if matches!(order, AdminRequest::Evacuate { .. }) && self.desk.of(id).is_none() {
            return;
        }
        let held = || Happening::Order(id, machine, order.clone());
        if !self.runs(machine, None, held) {
            return;
        }
        let mut order = order;
        if self.injected_bug == Some(InjectedBug::TakesResentForNew)
            && let AdminRequest::Put { body, .. } = &mut order
        {
            body.extend(std::iter::repeat_n(b' ', id as usize % 16));
        }
        if self.injected_bug == Some(InjectedBug::IgnoresBase)
            && let AdminRequest::Put { base, .. } = &mut order
        {
            *base = self.machines[machine].revision();
        }
        self.note(|| format!("order {id} at node {machine}, part {}", order.partition().0));
        self.hear(machine, Input::Admin(id, order));
    }

    pub(super) fn answer_arrives(&mut self, id: RequestId, answer: &AdminResponse) {
        let Some((operator, current)) = self.desk.of(id) else { return };
        let number = current.number;
        let configures = current.demand.order.partition() == PartitionId::CONFIGURATION;
        if !self.oracle.answered(number, answer) {
            let after = (50 + self.below(300)) * MILLISECOND;
            return self.after(after, Happening::Silence(id));
        }
        match answer {
            AdminResponse::Applied { revision } | AdminResponse::Conflict { revision } if configures => {
                self.desk.known.heard(*revision);
            }
            _ => {}
        }
        self.note(|| format!("operator {operator} has {number}: {answer:?}"));
        self.desk.current.remove(&operator);
        self.after_ack();
        if configures {
            return self.next_of(operator);
        }
        self.desk.pauses.insert(operator);
        self.after(PAUSE, Happening::Goes(operator));
    }

    /// Whether the next answer to an operator is lost.
    pub(super) fn loses_answer(&mut self) -> bool {
        let troubled = self.now / MILLISECOND < self.plan.faults_end_ms;
        troubled && self.plan.lost_answers > 0 && self.below(100) < self.plan.lost_answers
    }

    /// An answer is lost: its operator sends the same order again after its silence.
    pub(super) fn answer_lost(&mut self, id: RequestId, answer: &AdminResponse) {
        let Some((operator, current)) = self.desk.of(id) else { return };
        let number = current.number;
        self.oracle.answer_lost(number, answer);
        self.note(|| format!("operator {operator} does not hear {answer:?} on {number}"));
    }

    /// Faults that wait for an acknowledgement.
    fn after_ack(&mut self) {
        let taken = self.oracle.taken();
        for (number, fault) in self.plan.faults.iter().enumerate() {
            if let When::Taken(count, after_ms) = fault.when
                && taken >= count
                && self.now / MILLISECOND + after_ms < self.plan.faults_end_ms
                && self.begun.insert(number)
            {
                debug_assert!(!matches!(fault.what, Trouble::Follower(_)) || self.plan.followers > 0);
                self.after(after_ms * MILLISECOND, Happening::Fault(number));
            }
        }
    }
}
