//! The platform's list of servers: as its reader makes it up, and as all others follow it.
//!
//! It is read by one control node at a time and numbered by it, under that one's ballot; what a lower ballot says is refused, as
//! its reader has been replaced.

use std::collections::{BTreeMap, VecDeque};

use crate::ids::Ballot;
use crate::watch::{Server, ServerListPosition, ServerListUpdate};
use crate::{MILLISECOND, Nanos};

/// Changes that are kept for those who are a little behind.
const KEPT: usize = 64;
/// A time left that moved by no more than this says nothing new.
const SAME: Nanos = 400 * MILLISECOND;

/// A server, with its times on this node's clock.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Line {
    server: Server,
    warm_at: Nanos,
    gone_at: Option<Nanos>,
}

impl Line {
    fn new(server: Server, now: Nanos) -> Self {
        let after = |ms: u32| now + Nanos::from(ms) * MILLISECOND;
        Self {
            warm_at: after(server.warm_up_remaining_ms),
            gone_at: server.lifetime_remaining_ms.map(after),
            server,
        }
    }

    /// The server as it is told now.
    fn told(&self, now: Nanos) -> Server {
        let left = |at: Nanos| (at.saturating_sub(now) / MILLISECOND) as u32;
        Server {
            warm_up_remaining_ms: left(self.warm_at),
            lifetime_remaining_ms: self.gone_at.map(left),
            ..self.server.clone()
        }
    }

    fn says_the_same(&self, other: &Self, now: Nanos) -> bool {
        let near = |one: Nanos, two: Nanos| one.max(now).abs_diff(two.max(now)) <= SAME;
        let plain = |line: &Self| Server {
            warm_up_remaining_ms: 0,
            lifetime_remaining_ms: None,
            ..line.server.clone()
        };
        plain(self) == plain(other)
            && near(self.warm_at, other.warm_at)
            && self.gone_at.is_some() == other.gone_at.is_some()
    }
}

/// A change, by the incarnations that it is about.
#[derive(Clone, Debug)]
struct Step {
    from: u64,
    upsert: Vec<String>,
    removed: Vec<String>,
}

/// The list.
#[derive(Debug, Default)]
pub struct ServerList {
    ballot: Ballot,
    number: u64,
    lines: BTreeMap<String, Line>,
    steps: VecDeque<Step>,
}

impl ServerList {
    /// How far it is.
    pub fn position(&self) -> ServerListPosition {
        ServerListPosition { ballot: self.ballot, number: self.number }
    }

    /// The servers, with their times as they are now.
    pub fn servers(&self, now: Nanos) -> impl Iterator<Item = Server> + '_ {
        self.lines.values().map(move |line| line.told(now))
    }

    /// How many servers there are.
    pub fn len(&self) -> usize {
        self.lines.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// Takes in what the platform has told this node, the reader under this ballot. Returns what is new, if anything.
    pub fn apply_platform_list(
        &mut self,
        now: Nanos,
        ballot: Ballot,
        servers: Vec<Server>,
    ) -> Option<ServerListUpdate> {
        // Another reader has taken over meanwhile.
        if ballot < self.ballot {
            return None;
        }
        let mut lines: BTreeMap<String, Line> =
            servers.into_iter().map(|server| (server.id.clone(), Line::new(server, now))).collect();
        if ballot != self.ballot || self.number == 0 {
            self.ballot = ballot;
            (self.number, self.lines) = (1, lines);
            self.steps.clear();
            return Some(self.full_update(now));
        }
        let known = &self.lines;
        let differs =
            |(id, line): &(&String, &Line)| known.get(*id).is_none_or(|old| !old.says_the_same(line, now));
        let upsert: Vec<String> = lines.iter().filter(differs).map(|(id, _)| id.clone()).collect();
        let removed: Vec<String> = known.keys().filter(|id| !lines.contains_key(*id)).cloned().collect();
        if upsert.is_empty() && removed.is_empty() {
            return None;
        }
        for id in &upsert {
            if let Some(line) = lines.remove(id) {
                self.lines.insert(id.clone(), line);
            }
        }
        self.lines.retain(|id, _| !removed.contains(id));
        let from = self.number;
        self.step(Step { from, upsert, removed });
        Some(self.update_since(now, ServerListPosition { ballot, number: from }))
    }

    fn step(&mut self, step: Step) {
        self.number = step.from + 1;
        self.steps.push_back(step);
        while self.steps.len() > KEPT {
            self.steps.pop_front();
        }
    }

    /// Takes in what another node tells. False where it does not follow on what is known here: the whole list is needed.
    pub fn apply_update(&mut self, now: Nanos, news: ServerListUpdate) -> bool {
        if (news.ballot, news.to) <= (self.ballot, self.number) {
            return true;
        }
        let lines = news.upsert.into_iter().map(|server| (server.id.clone(), Line::new(server, now)));
        match news.from {
            None => {
                self.lines = lines.collect();
                (self.ballot, self.number) = (news.ballot, news.to);
                self.steps.clear();
                true
            }
            Some(from) if news.ballot == self.ballot && from == self.number => {
                let upsert: Vec<String> = lines
                    .map(|(id, line)| {
                        self.lines.insert(id.clone(), line);
                        id
                    })
                    .collect();
                self.lines.retain(|id, _| !news.removed.contains(id));
                self.step(Step { from, upsert, removed: news.removed });
                self.number = news.to;
                true
            }
            Some(_) => false,
        }
    }

    /// The whole list.
    pub fn full_update(&self, now: Nanos) -> ServerListUpdate {
        let upsert = self.lines.values().map(|line| line.told(now)).collect();
        ServerListUpdate { ballot: self.ballot, from: None, to: self.number, upsert, removed: Vec::new() }
    }

    /// What is newer than this position: changes where they are kept, else the whole list.
    pub fn update_since(&self, now: Nanos, position: ServerListPosition) -> ServerListUpdate {
        let ServerListPosition { ballot, number } = position;
        let steps = self.steps.iter().filter(|step| step.from >= number);
        let kept = ballot == self.ballot && self.steps.front().is_some_and(|first| first.from <= number);
        if !kept {
            return self.full_update(now);
        }
        let (mut upsert, mut removed) = (BTreeMap::new(), Vec::new());
        for step in steps {
            for id in &step.upsert {
                if let Some(line) = self.lines.get(id) {
                    upsert.insert(id.clone(), line.told(now));
                }
            }
            removed.extend(step.removed.iter().filter(|id| !self.lines.contains_key(*id)).cloned());
        }
        let upsert = upsert.into_values().collect();
        ServerListUpdate { ballot, from: Some(number), to: self.number, upsert, removed }
    }
}
