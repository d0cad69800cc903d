//! The rules, checked from the outside: by what passes between nodes, clients and servers, with no word of the
//! decision module's own.

use std::collections::{HashMap, HashSet};

use serde::{Deserialize, Serialize};

use crate::Nanos;

const MS: Nanos = 1_000_000;
/// A final answer is in time up to here after the client's time.
pub const ANSWER_SLACK: Nanos = 20 * MS;
/// Nothing new is sent to a server from so long after the node was told that it drains or is gone.
pub const DRAIN_GRACE: Nanos = 1000 * MS;

/// Which rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum Invariant {
    /// One final answer a request, in time.
    Answer,
    /// No repeat beyond what the class allows.
    Repeat,
    /// Nothing new to a server that drains or is gone.
    Drain,
    /// No cold server pushed over by those who know that it is cold.
    Cold,
    /// No node takes more descriptors or memory than it was given.
    Bounds,
}

/// A broken rule, with what led up to it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct InvariantViolation {
    /// Which.
    pub rule: Invariant,
    /// When, on the world's clock.
    pub at: Nanos,
    /// All that happened to the request, and to the server that it concerns, in order.
    pub events: Vec<String>,
}

struct Request {
    once: bool,
    not_after: Nanos,
    answered: bool,
    left: bool,
    /// Attempts by number: whether it may have run, as far as is known.
    may_have_run: Vec<bool>,
    events: Vec<String>,
}

/// Keeps the books. Nodes, servers and requests go by number; times are on one clock, in nanoseconds.
#[derive(Default)]
pub struct InvariantChecker {
    /// So much later a real clock may still show what was in time.
    leeway: Nanos,
    requests: HashMap<(usize, u64), Request>,
    /// When a node was told that a server drains or is gone.
    told: HashMap<(usize, u32), Nanos>,
    /// When a server last started, as far as a node was told; none for long ago.
    starts: HashMap<(usize, u32), Nanos>,
    /// What a node has taken too much of already: told once.
    over_bounds: HashSet<(usize, &'static str)>,
    /// The first that were broken.
    pub broken: Vec<InvariantViolation>,
    /// InvariantViolation rules beyond those that are kept.
    pub more: usize,
}

const KEPT: usize = 16;

impl InvariantChecker {
    /// One that lets pass what is late by no more than this, as a real clock and a shared machine may make it.
    pub fn with_leeway(leeway: Nanos) -> Self {
        Self { leeway, ..Self::default() }
    }

    fn report(&mut self, rule: Invariant, at: Nanos, events: Vec<String>) {
        if self.broken.len() < KEPT {
            self.broken.push(InvariantViolation { rule, at, events });
        } else {
            self.more += 1;
        }
    }

    /// A node's process holds so much of something, and was given so much.
    pub fn holds(&mut self, node: usize, what: &'static str, held: u64, given: u64, now: Nanos) {
        if held > given && self.over_bounds.insert((node, what)) {
            let event = format!("{now}: node {node} holds {held} {what}; it was given {given}");
            self.report(Invariant::Bounds, now, vec![event]);
        }
    }

    /// A line of a list. Only a later start brings back a server that has been said to leave: a list that is older than
    /// that notice does not take it back.
    pub fn told(&mut self, node: usize, server: u32, serving: bool, since: Option<Nanos>, now: Nanos) {
        let known = self.starts.get(&(node, server)).copied().unwrap_or(0);
        let started = since.unwrap_or(0);
        if started > known {
            self.starts.insert((node, server), started);
        }
        if !serving {
            self.told.entry((node, server)).or_insert(now);
        } else if started > known {
            self.told.remove(&(node, server));
        }
    }

    /// A whole list, of this many servers in all: who is not on it has gone.
    pub fn told_all(&mut self, node: usize, list: &[(u32, bool, Option<Nanos>)], servers: u32, now: Nanos) {
        let mut named = vec![false; servers as usize];
        for &(server, serving, since) in list {
            named[server as usize] = true;
            self.told(node, server, serving, since, now);
        }
        for server in (0..servers).filter(|server| !named[*server as usize]) {
            self.told.entry((node, server)).or_insert(now);
        }
    }

    /// A list that a node held from an earlier life, perhaps stale: it binds as any does.
    pub fn cached(&mut self, node: usize, members: &[ivyhatch_balancer::Member], now: Nanos) {
        for member in members {
            let serving = member.state == ivyhatch_balancer::BackendState::InService;
            self.told(node, member.backend.0, serving, member.online_since, now);
        }
    }

    /// A node has died, with all that it was told.
    pub fn forgets(&mut self, node: usize) {
        self.told.retain(|(of, _), _| *of != node);
        self.starts.retain(|(of, _), _| *of != node);
    }

    /// Whether a node was told of a server's last start.
    pub fn knows(&self, node: usize, server: u32, started: Option<Nanos>) -> bool {
        started.is_none_or(|started| self.starts.get(&(node, server)) == Some(&started))
    }

    /// A cold server has fallen, and two thirds of what felled it came from nodes that knew.
    pub fn rushed(&mut self, server: u32, now: Nanos) {
        let knew = self.starts.keys().filter(|(_, of)| *of == server).count();
        let event =
            format!("{} ms: server {server}, cold, falls under its load; {knew} nodes knew", now / MS);
        self.report(Invariant::Cold, now, vec![event]);
    }

    /// A request's node has died: nobody owes it anything.
    pub fn lost(&mut self, node: usize, request: u64) {
        self.requests.remove(&(node, request));
    }

    /// A request's client has hung up. No answer is owed, and none is wrong.
    pub fn left(&mut self, node: usize, request: u64, now: Nanos) {
        if let Some(open) = self.requests.get_mut(&(node, request)) {
            open.events.push(format!("{} ms: its client hangs up", now / MS));
            open.left = true;
        }
    }

    /// A node has taken a request; `once` where it must not run twice.
    pub fn taken(&mut self, node: usize, request: u64, once: bool, not_after: Nanos, now: Nanos) {
        let events = vec![format!("{} ms: node {node} takes request {request}", now / MS)];
        let request_ =
            Request { once, not_after, answered: false, left: false, may_have_run: Vec::new(), events };
        self.requests.insert((node, request), request_);
    }

    /// An attempt is made.
    pub fn sent(&mut self, node: usize, request: u64, server: u32, now: Nanos) {
        let told = self.told.get(&(node, server)).copied();
        let Some(open) = self.requests.get_mut(&(node, request)) else {
            let event = format!("{} ms: node {node} sends request {request}, which has ended", now / MS);
            return self.report(Invariant::Answer, now, vec![event]);
        };
        open.events.push(format!("{} ms: sent to server {server}", now / MS));
        let again = open.once && open.may_have_run.iter().any(|ran| *ran);
        let ended = open.answered || open.left;
        open.may_have_run.push(true);
        let events = open.events.clone();
        if again {
            self.report(Invariant::Repeat, now, events.clone());
        }
        if ended {
            self.report(Invariant::Answer, now, events.clone());
        }
        if let Some(told) = told.filter(|told| now > told + DRAIN_GRACE + self.leeway) {
            let mut events = events;
            events.insert(0, format!("{} ms: node {node} was told that server {server} leaves", told / MS));
            self.report(Invariant::Drain, now, events);
        }
    }

    /// An attempt has ended; `never_ran` where that is proven.
    pub fn ended(&mut self, node: usize, request: u64, attempt: u32, never_ran: bool, now: Nanos) {
        let Some(open) = self.requests.get_mut(&(node, request)) else { return };
        let end = if never_ran { "never ran" } else { "may have run" };
        open.events.push(format!("{} ms: attempt {attempt} has ended, {end}", now / MS));
        if let Some(ran) = open.may_have_run.get_mut(attempt as usize) {
            *ran &= !never_ran;
        }
    }

    /// A final answer; `refused` says that trying again does no harm.
    pub fn answered(&mut self, node: usize, request: u64, refused: bool, now: Nanos) {
        let Some(open) = self.requests.get_mut(&(node, request)) else { return };
        open.events.push(format!("{} ms: answered{}", now / MS, if refused { ", refused" } else { "" }));
        let (twice, late) = (open.answered, !open.left && now > open.not_after + ANSWER_SLACK + self.leeway);
        let harm = refused && open.once && open.may_have_run.iter().any(|ran| *ran);
        open.answered = true;
        let events = open.events.clone();
        if twice || late {
            self.report(Invariant::Answer, now, events.clone());
        }
        if harm {
            self.report(Invariant::Repeat, now, events);
        }
    }

    /// Nothing more can come of a request: it must have been answered.
    pub fn over(&mut self, node: usize, request: u64, now: Nanos) {
        let Some(open) = self.requests.remove(&(node, request)) else { return };
        if !open.answered && !open.left {
            self.report(Invariant::Answer, now, open.events);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn rules(play: impl FnOnce(&mut InvariantChecker)) -> Vec<Invariant> {
        let mut oracle = InvariantChecker::default();
        oracle.taken(0, 1, true, 100 * MS, 0);
        play(&mut oracle);
        oracle.broken.iter().map(|broken| broken.rule).collect()
    }

    #[test]
    fn each_rule_is_seen_to_break_and_to_be_kept() {
        let kept = rules(|o| {
            o.sent(0, 1, 5, 0);
            o.ended(0, 1, 0, true, MS);
            o.sent(0, 1, 6, MS);
            o.answered(0, 1, false, 2 * MS);
            o.over(0, 1, ANSWER_SLACK);
        });
        assert_eq!(kept, []);
        let twice = rules(|o| {
            o.sent(0, 1, 5, 0);
            o.ended(0, 1, 0, false, MS);
            o.sent(0, 1, 6, MS);
        });
        assert_eq!(twice, [Invariant::Repeat]);
        let harm = rules(|o| {
            o.sent(0, 1, 5, 0);
            o.answered(0, 1, true, MS);
        });
        assert_eq!(harm, [Invariant::Repeat]);
        assert_eq!(rules(|o| o.over(0, 1, 200 * MS)), [Invariant::Answer]);
        assert_eq!(rules(|o| o.answered(0, 1, false, 100 * MS + ANSWER_SLACK + 1)), [Invariant::Answer]);
        assert_eq!(rules(|o| (0..2).for_each(|_| o.answered(0, 1, false, MS))), [Invariant::Answer]);
        let drained = |after| {
            rules(|o| {
                o.told(0, 5, false, None, 0);
                // A list older than the notice.
                o.told(0, 5, true, None, MS);
                o.sent(0, 1, 5, after);
            })
        };
        assert_eq!((drained(DRAIN_GRACE), drained(DRAIN_GRACE + 1)), (vec![], vec![Invariant::Drain]));
        let back = rules(|o| {
            o.told(0, 5, false, None, 0);
            o.told(0, 5, true, Some(MS), 2 * MS);
            o.sent(0, 1, 5, 2 * DRAIN_GRACE);
        });
        assert_eq!(back, []);
        let off_list = rules(|o| {
            o.told_all(0, &[(4, true, None)], 6, 0);
            o.sent(0, 1, 5, 2 * DRAIN_GRACE);
        });
        assert_eq!(off_list, [Invariant::Drain]);
        assert_eq!(rules(|o| o.rushed(5, MS)), [Invariant::Cold]);
        let gone = rules(|o| {
            o.left(0, 1, MS);
            o.over(0, 1, 200 * MS);
        });
        assert_eq!(gone, [], "nothing is owed to who has hung up");
        let late_send = rules(|o| {
            o.left(0, 1, MS);
            o.sent(0, 1, 5, 2 * MS);
        });
        assert_eq!(late_send, [Invariant::Answer]);
    }
}
