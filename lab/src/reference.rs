//! Policies to compare the decision module with, over the same interface. None of them probes, ejects or holds
//! anything back; what they see beyond the module, they see by looking at the model's servers.

use std::collections::{BTreeMap, HashMap};

use ivyhatch_balancer::{Action, Arrival, AttemptEnd, BackendId, BackendState, Event, ListScope, RequestId};
use serde::{Deserialize, Serialize};

use crate::Nanos;
use crate::random::RandomStream;
use crate::server::Server;

const MS: Nanos = 1_000_000;
/// What a refused client is told to wait.
const PAUSE: Nanos = 500 * MS;

/// Who decides.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// The decision module.
    #[default]
    #[serde(rename = "module")]
    Balancer,
    /// Any server of the list.
    Random,
    /// One server after the other.
    RoundRobin,
    /// The server with the fewest of the node's own requests.
    LeastRequests,
    /// The better of two by the same count.
    #[serde(rename = "two_choices")]
    PowerOfTwoChoices,
    /// The paper's rule on fresh and true figures: home under the threshold, else the one best-scored zone under it,
    /// else home; round robin inside a zone.
    Paper,
    /// Sees each server as it truly is, takes the one that would answer first, and refuses what none would answer
    /// in time or without choking. Greedy, so no bound on what can be served.
    #[serde(rename = "truth")]
    Omniscient,
}

impl Policy {
    /// All of them but the module.
    pub const REFERENCES: [Self; 6] = [
        Self::Random,
        Self::RoundRobin,
        Self::LeastRequests,
        Self::PowerOfTwoChoices,
        Self::Paper,
        Self::Omniscient,
    ];
}

/// One class, as a reference policy knows it.
#[derive(Clone, Copy)]
pub(crate) struct Known {
    pub(crate) once: bool,
    pub(crate) aim: Nanos,
    /// Work of one on the mean, and what it waits for elsewhere.
    pub(crate) work: f64,
    pub(crate) elsewhere: f64,
}

/// What a reference policy is given at its start.
#[derive(Clone)]
pub(crate) struct Setup {
    pub(crate) policy: Policy,
    pub(crate) home: u32,
    pub(crate) threshold: f64,
    pub(crate) attempts: u32,
    pub(crate) classes: Vec<Known>,
    /// One way to each zone, in nanoseconds.
    pub(crate) ways: Vec<f64>,
}

struct Open {
    class: usize,
    since: Nanos,
    not_after: Nanos,
    tried: Vec<BackendId>,
    may_have_run: bool,
}

/// One node's reference policy.
pub(crate) struct Reference {
    setup: Setup,
    random: RandomStream,
    /// The servers in service, with their zones, and the own requests out to each.
    members: BTreeMap<BackendId, (u32, u32)>,
    /// The same servers zone by zone, for the picks that go round.
    zones: Vec<Vec<BackendId>>,
    turn: u64,
    open: HashMap<RequestId, Open>,
}

impl Reference {
    pub(crate) fn new(setup: Setup, random: RandomStream) -> Self {
        let zones = vec![Vec::new(); setup.ways.len()];
        Self { setup, random, members: BTreeMap::new(), zones, turn: 0, open: HashMap::new() }
    }

    pub(crate) fn handle(&mut self, now: Nanos, event: Event, servers: &[Server], actions: &mut Vec<Action>) {
        match event {
            Event::Start => actions.push(Action::Watch),
            Event::DiscoveryFailed => actions.push(Action::Timer { after: 500 * MS, token: 1 }),
            Event::Timer { token: 1 } => actions.push(Action::Watch),
            Event::Membership { scope, members } => {
                let before = std::mem::take(&mut self.members);
                let own = |id: &BackendId| before.get(id).map_or(0, |(_, own)| *own);
                if scope == ListScope::Changes {
                    self.members = before.clone();
                }
                for member in members {
                    if member.state == BackendState::InService {
                        let entry = (member.zone.0, own(&member.backend));
                        self.members.insert(member.backend, entry);
                    } else {
                        self.members.remove(&member.backend);
                    }
                }
                self.zones.iter_mut().for_each(Vec::clear);
                self.members.iter().for_each(|(id, (zone, _))| self.zones[*zone as usize].push(*id));
            }
            Event::Request(arrival) => self.arrive(now, arrival, servers, actions),
            Event::AttemptEnded(settled) => self.settle(now, settled, servers, actions),
            Event::ClientDisconnected { request } => drop(self.open.remove(&request)),
            Event::ProbeEnded { .. }
            | Event::StreamStarted { .. }
            | Event::StreamInterrupted { .. }
            | Event::Timer { .. } => {}
        }
    }

    fn arrive(&mut self, now: Nanos, arrival: Arrival, servers: &[Server], actions: &mut Vec<Action>) {
        let open = Open {
            class: arrival.class.0 as usize,
            since: now,
            not_after: arrival.not_after,
            tried: Vec::new(),
            may_have_run: false,
        };
        self.open.insert(arrival.request, open);
        self.place(now, arrival.request, servers, actions);
    }

    fn settle(&mut self, now: Nanos, settled: AttemptEnd, servers: &[Server], actions: &mut Vec<Action>) {
        let Some(open) = self.open.get_mut(&settled.request) else { return };
        if let Some((_, own)) =
            open.tried.get(settled.attempt as usize).and_then(|to| self.members.get_mut(to))
        {
            *own = own.saturating_sub(1);
        }
        open.may_have_run |= settled.outcome.may_have_run();
        if settled.request_ended {
            self.open.remove(&settled.request);
            return;
        }
        let once = self.setup.classes[open.class].once;
        let again = open.tried.len() < self.setup.attempts as usize && now < open.not_after;
        match again && !(once && open.may_have_run) {
            true => self.place(now, settled.request, servers, actions),
            false => self.give_up(settled.request, actions),
        }
    }

    fn give_up(&mut self, request: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.open.remove(&request) else { return };
        let harm = open.may_have_run && self.setup.classes[open.class].once;
        actions.push(match harm {
            true => Action::Fail { request },
            false => Action::Reject { request, retry_after: PAUSE },
        });
    }

    fn place(&mut self, now: Nanos, request: RequestId, servers: &[Server], actions: &mut Vec<Action>) {
        let Some(open) = self.open.get(&request) else { return };
        let (class, left) = (self.setup.classes[open.class], (open.since, open.not_after));
        let tried = open.tried.clone();
        match self.pick(now, class, left, &tried, servers) {
            Some(backend) => {
                self.members.entry(backend).and_modify(|(_, own)| *own += 1);
                self.open.entry(request).and_modify(|open| open.tried.push(backend));
                actions.push(Action::Send { request, backend, timeout: None });
            }
            None => self.give_up(request, actions),
        }
    }

    /// The next of these that goes round, one not tried yet if there is one.
    fn turn(&mut self, among: &[BackendId], tried: &[BackendId]) -> Option<BackendId> {
        let count = among.len() as u64;
        let (from, mut seen) = (self.turn, 0..count);
        self.turn += 1;
        let fresh = seen.find(|step| !tried.contains(&among[((from + step) % count) as usize]));
        among.get(((from + fresh.unwrap_or(0)).checked_rem(count)?) as usize).copied()
    }

    fn any(&mut self, among: &[BackendId], tried: &[BackendId]) -> Option<BackendId> {
        let fresh: Vec<BackendId> = among.iter().filter(|id| !tried.contains(id)).copied().collect();
        let among = if fresh.is_empty() { among } else { &fresh };
        among.get((self.random.unit() * among.len() as f64) as usize).copied()
    }

    fn all(&self) -> Vec<BackendId> {
        self.members.keys().copied().collect()
    }

    fn own(&self, id: BackendId) -> u32 {
        self.members.get(&id).map_or(0, |(_, own)| *own)
    }

    fn pick(
        &mut self,
        now: Nanos,
        class: Known,
        (since, not_after): (Nanos, Nanos),
        tried: &[BackendId],
        servers: &[Server],
    ) -> Option<BackendId> {
        match self.setup.policy {
            Policy::Balancer | Policy::Random => {
                let all = self.all();
                self.any(&all, tried)
            }
            Policy::RoundRobin => {
                let all = self.all();
                self.turn(&all, tried)
            }
            Policy::LeastRequests => {
                let first = self.random.unit();
                let all = self.all();
                let start = (first * all.len() as f64) as usize;
                let round = all.iter().cycle().skip(start).take(all.len());
                round.min_by_key(|id| (tried.contains(id), self.own(**id))).copied()
            }
            Policy::PowerOfTwoChoices => {
                let all = self.all();
                let (one, other) = (self.any(&all, tried)?, self.any(&all, tried)?);
                Some(if self.own(other) < self.own(one) { other } else { one })
            }
            Policy::Paper => {
                let zone = self.zone(now, servers);
                let among = self.zones[zone].clone();
                match self.turn(&among, tried) {
                    Some(pick) => Some(pick),
                    // Nobody is at home: the paper has no such case, and any zone is better than none.
                    None => {
                        let all = self.all();
                        self.turn(&all, tried)
                    }
                }
            }
            Policy::Omniscient => {
                let ends = |(&id, &(zone, _)): (&BackendId, &(u32, u32))| {
                    let server = servers.get(id.0 as usize)?;
                    let takes = server.expected(class.work, now) + 2.0 * self.setup.ways[zone as usize];
                    let serves = server.state == crate::server::ServerState::Serving;
                    let well = serves && !server.lies && !server.hangs && !server.crowds();
                    (well && !tried.contains(&id)).then_some((takes, id))
                };
                let best = self.members.iter().filter_map(ends).min_by(|a, b| a.0.total_cmp(&b.0))?;
                // A request takes up to a quarter more than the mean, here and elsewhere.
                let in_time = now as f64 + best.0 + 0.25 * class.work + 1.25 * class.elsewhere;
                (in_time <= (since + class.aim).min(not_after) as f64).then_some(best.1)
            }
        }
    }

    /// The paper's choice of a zone, on figures that are true and of this moment.
    fn zone(&self, now: Nanos, servers: &[Server]) -> usize {
        let utilisation = |zone: usize| {
            let of = self.zones[zone].iter().filter_map(|id| servers.get(id.0 as usize));
            let (sum, count) =
                of.fold((0.0, 0.0), |(sum, count), server| (sum + server.utilisation(now), count + 1.0));
            if count > 0.0 { sum / count } else { 1.0 }
        };
        let home = self.setup.home as usize;
        if utilisation(home) < self.setup.threshold {
            return home;
        }
        // Weights and denominators as the module has them: headroom decides unless zones are alike.
        let farthest = self.setup.ways.iter().copied().fold(1.0, f64::max);
        let score =
            |zone: usize, util: f64| 0.7 * (1.0 - util) + 0.3 * (1.0 - self.setup.ways[zone] / farthest);
        let others = (0..self.zones.len()).filter(|&zone| zone != home && !self.zones[zone].is_empty());
        let under =
            others.map(|zone| (zone, utilisation(zone))).filter(|(_, util)| *util < self.setup.threshold);
        let best = under.map(|(zone, util)| (score(zone, util), zone)).max_by(|a, b| a.0.total_cmp(&b.0));
        best.map_or(home, |(_, zone)| zone)
    }
}
