//! How each reference policy selects a server.

use ivyhatch_balancer::BackendId;

use super::{ClassProfile, KnownServer, ReferencePolicy};
use crate::policy::Policy;
use crate::server::{Server, ServerState};
use crate::time::Nanos;

/// Weights of headroom and nearness in the paper's score of a zone.
const HEADROOM_WEIGHT: f64 = 0.7;
const NEARNESS_WEIGHT: f64 = 0.3;
/// Work and downstream waits exceed their mean by at most this fraction, by [`RandomStream::around`](crate::random::RandomStream::around).
const MAX_EXCESS: f64 = 0.25;

/// A request for which a server is to be selected.
pub(super) struct Candidate {
    pub(super) class: ClassProfile,
    pub(super) accepted_at: Nanos,
    pub(super) not_after: Nanos,
    pub(super) tried: Vec<BackendId>,
}

impl ReferencePolicy {
    /// The server for the next attempt of a request; `None` if the request is to be rejected.
    pub(super) fn select(&mut self, now: Nanos, request: &Candidate, model: &[Server]) -> Option<BackendId> {
        match self.settings.policy {
            Policy::Balancer | Policy::Random => {
                let servers = self.servers_in_service();
                self.random_server(&servers, &request.tried)
            }
            Policy::RoundRobin => {
                let servers = self.servers_in_service();
                self.next_in_turn(&servers, &request.tried)
            }
            Policy::LeastRequests => self.least_requests(request),
            Policy::PowerOfTwoChoices => self.better_of_two(request),
            Policy::Paper => self.by_zone_utilisation(now, request, model),
            Policy::Omniscient => self.first_to_respond(now, request, model),
        }
    }

    fn servers_in_service(&self) -> Vec<BackendId> {
        self.servers.keys().copied().collect()
    }

    fn in_flight(&self, id: BackendId) -> u32 {
        self.servers.get(&id).map_or(0, |server| server.in_flight)
    }

    /// The next server in round-robin order, preferably an untried one.
    fn next_in_turn(&mut self, servers: &[BackendId], tried: &[BackendId]) -> Option<BackendId> {
        let count = servers.len() as u64;
        let first = self.round_robin_turn;
        self.round_robin_turn += 1;
        let mut steps = 0..count;
        let untried = steps.find(|step| !tried.contains(&servers[((first + step) % count) as usize]));
        let index = (first + untried.unwrap_or(0)).checked_rem(count)?;
        servers.get(index as usize).copied()
    }

    /// A random server, preferably an untried one.
    fn random_server(&mut self, servers: &[BackendId], tried: &[BackendId]) -> Option<BackendId> {
        let untried: Vec<BackendId> = servers.iter().filter(|id| !tried.contains(id)).copied().collect();
        let servers = if untried.is_empty() { servers } else { &untried };
        servers.get((self.random.unit() * servers.len() as f64) as usize).copied()
    }

    fn least_requests(&mut self, request: &Candidate) -> Option<BackendId> {
        let draw = self.random.unit();
        let servers = self.servers_in_service();
        let start = (draw * servers.len() as f64) as usize;
        let from_start = servers.iter().cycle().skip(start).take(servers.len());
        from_start.min_by_key(|id| (request.tried.contains(id), self.in_flight(**id))).copied()
    }

    fn better_of_two(&mut self, request: &Candidate) -> Option<BackendId> {
        let servers = self.servers_in_service();
        let one = self.random_server(&servers, &request.tried)?;
        let other = self.random_server(&servers, &request.tried)?;
        Some(if self.in_flight(other) < self.in_flight(one) { other } else { one })
    }

    fn by_zone_utilisation(
        &mut self,
        now: Nanos,
        request: &Candidate,
        model: &[Server],
    ) -> Option<BackendId> {
        let zone = self.select_zone(now, model);
        let servers = self.zones[zone].clone();
        self.next_in_turn(&servers, &request.tried).or_else(|| {
            // The selected zone has no server, a case that the paper does not cover. Any server is better than a rejection.
            let servers = self.servers_in_service();
            self.next_in_turn(&servers, &request.tried)
        })
    }

    /// The zone that the paper's rule selects, from true and current utilisations.
    fn select_zone(&self, now: Nanos, model: &[Server]) -> usize {
        let home = self.settings.home_zone as usize;
        if self.zone_utilisation(home, now, model) < self.settings.threshold {
            return home;
        }
        let latencies = &self.settings.zone_latencies;
        let max_latency = latencies.iter().copied().fold(1.0, f64::max);
        // The same weights and denominators as in the balancer: headroom decides unless zones have similar utilisation.
        let score = |zone: usize, utilisation: f64| {
            HEADROOM_WEIGHT * (1.0 - utilisation) + NEARNESS_WEIGHT * (1.0 - latencies[zone] / max_latency)
        };
        let others = (0..self.zones.len()).filter(|&zone| zone != home && !self.zones[zone].is_empty());
        let utilisations = others.map(|zone| (zone, self.zone_utilisation(zone, now, model)));
        let below = utilisations.filter(|(_, utilisation)| *utilisation < self.settings.threshold);
        let scores = below.map(|(zone, utilisation)| (score(zone, utilisation), zone));
        scores.max_by(|a, b| a.0.total_cmp(&b.0)).map_or(home, |(_, zone)| zone)
    }

    /// Mean true utilisation of a zone's servers; 1 if the zone has no server.
    fn zone_utilisation(&self, zone: usize, now: Nanos, model: &[Server]) -> f64 {
        let servers = self.zones[zone].iter().filter_map(|id| model.get(id.0 as usize));
        let (sum, count) =
            servers.fold((0.0, 0.0), |(sum, count), server| (sum + server.utilisation(now), count + 1.0));
        if count > 0.0 { sum / count } else { 1.0 }
    }

    /// The healthy and untried server that would respond first, if that response would be in time.
    fn first_to_respond(&self, now: Nanos, request: &Candidate, model: &[Server]) -> Option<BackendId> {
        let class = request.class;
        let latency = |(&id, known): (&BackendId, &KnownServer)| {
            let server = model.get(id.0 as usize)?;
            let round_trip = 2.0 * self.settings.zone_latencies[known.zone as usize];
            let latency = server.expected_latency(class.work, now) + round_trip;
            let serves = server.state == ServerState::Serving;
            let is_healthy = serves && !server.false_readiness && !server.hangs && !server.is_near_backlog();
            (is_healthy && !request.tried.contains(&id)).then_some((latency, id))
        };
        let (latency, id) = self.servers.iter().filter_map(latency).min_by(|a, b| a.0.total_cmp(&b.0))?;
        let downstream_wait = (1.0 + MAX_EXCESS) * class.downstream_wait;
        let latest_response = now as f64 + latency + MAX_EXCESS * class.work + downstream_wait;
        let target = (request.accepted_at + class.latency_target).min(request.not_after);
        (latest_response <= target as f64).then_some(id)
    }
}
