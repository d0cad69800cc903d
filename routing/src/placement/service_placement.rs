//! The placement of one service: its servers, its requests, and the rules that decide which server may receive which request.

use std::collections::HashMap;

use ivyhatch_balancer::{BackendId, RequestId};
use ivyhatch_protocol::load_exchange::ServerLoad;
use ivyhatch_protocol::{MILLISECOND, Nanos};

use crate::load_report::LoadReport;
use crate::prompt::Prompt;
use crate::router_share::RouterShare;
use crate::time_to_first_token::PrefillModel;

use super::affinity::PreferredServers;
use super::region_reachability::Reachability;
use super::request::{Attempt, PlacedRequest, RegionSet};
use super::server::{ListedServer, Server};
use super::slow_start::{self, SlowStartLimit};

/// The maximum ratio of the expected latency to the latency target, for servers that are not idle. A request that would exceed the
/// ratio is sent to another server or rejected.
const MAX_LATENCY_TARGET_RATIO: f64 = 1.25;
/// Weight of the time to prefill shared segments that another server has cached, relative to queueing time: this prefill delays the
/// other requests at the server as well.
const REPEATED_PREFILL_WEIGHT: f64 = 4.0;

/// Penalty in nanoseconds on the expected latency at a server that has not responded since a failed connection attempt: the request
/// would probably have to be retried at another server.
const FAILED_SERVER_PENALTY_NS: f64 = 250.0 * MILLISECOND as f64;

/// Penalty in nanoseconds on the expected latency at a server without an idle connection: a new connection costs a round trip, and
/// the servers limit the number of connections.
const NEW_CONNECTION_COST_NS: f64 = 20.0 * MILLISECOND as f64;

/// The settings of a service, from the configuration.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceSettings {
    /// Whether the service's servers run a language model. If so, requests are placed by their expected time to the first token.
    pub is_model: bool,
    /// The limit on the requests to servers in slow start.
    pub slow_start: SlowStartLimit,
}

/// The placement of one service's requests, by one router.
#[derive(Debug)]
pub struct Placement {
    home_region: u32,
    regions: u32,
    settings: ServiceSettings,
    /// `None` until the number of routers is known.
    router_share: Option<RouterShare>,
    /// When the router's process started.
    started_at: Nanos,
    model: PrefillModel,
    servers: HashMap<BackendId, Server>,
    reachability: Reachability,
    requests: HashMap<RequestId, PlacedRequest>,
}

impl Placement {
    /// Creates a placement without servers for a router in the region with the index `home_region`; `regions` is the number of regions.
    pub fn new(home_region: u32, regions: u32) -> Self {
        Self {
            home_region,
            regions,
            settings: ServiceSettings::default(),
            router_share: None,
            started_at: 0,
            model: PrefillModel::new(regions),
            servers: HashMap::new(),
            reachability: Reachability::new(regions),
            requests: HashMap::new(),
        }
    }

    /// Sets the service's settings.
    pub fn configure(&mut self, settings: ServiceSettings) {
        self.settings = settings;
    }

    /// Sets the time when the router's process started. For one rate window after that time, the router sends nothing to servers in
    /// slow start: requests of the router's previous process may still count in that window, and both processes have the same share.
    pub fn set_started_at(&mut self, started_at: Nanos) {
        self.started_at = started_at;
    }

    /// Sets this router's share of the limit on requests to servers in slow start.
    pub fn set_router_share(&mut self, share: RouterShare) {
        self.router_share = Some(share);
    }

    /// Adds a server of the server list, or updates it. A slow start in progress is not shortened.
    pub fn upsert_server(&mut self, id: BackendId, listed: ListedServer<'_>) {
        self.servers.entry(id).or_default().update(listed);
    }

    /// Restarts a server's slow start, because its caches may be cold.
    pub fn restart_slow_start(&mut self, now: Nanos, id: BackendId) {
        let until = now + self.settings.slow_start.duration;
        if let Some(server) = self.servers.get_mut(&id) {
            server.slow_start.extend_until(until);
        }
    }

    /// Removes a server that is no longer in the server list.
    pub fn remove_server(&mut self, id: BackendId) {
        self.servers.remove(&id);
    }

    /// Adds a new request. `latency_target` is the target for its time to the first token.
    pub fn add_request(
        &mut self,
        id: RequestId,
        home_regions: RegionSet,
        prompt: Prompt,
        latency_target: Nanos,
    ) {
        let preferred = match prompt.affinity_key() {
            Some(key) => {
                let candidates = self.servers.iter().map(|(id, server)| server.candidate(*id));
                PreferredServers::select(self.regions, key, candidates)
            }
            None => PreferredServers::none(self.regions),
        };
        let request = PlacedRequest { home_regions, prompt, latency_target, preferred, attempt: None };
        self.requests.insert(id, request);
    }

    /// Removes a request that has ended, and ends its attempt.
    pub fn remove_request(&mut self, id: RequestId) {
        self.end_attempt(id);
        self.requests.remove(&id);
    }

    /// Records a server's report of its load. A report from an unknown server is ignored.
    pub fn record_load_report(&mut self, now: Nanos, from: BackendId, load: LoadReport) {
        if let Some(server) = self.servers.get_mut(&from) {
            server.queue.record_load_report(now, load);
        }
    }

    /// The load of this router on the servers, to be reported to the other routers. Servers without requests are left out.
    pub fn local_loads(&self) -> Vec<ServerLoad> {
        let loaded = self.servers.values().filter(|server| server.queue.in_flight() > 0);
        let load = |server: &Server| {
            ServerLoad::new(server.load_key(), server.queue.queued_tokens(), server.queue.in_flight())
        };
        loaded.map(load).collect()
    }

    /// Records the total load of the other routers on the servers. `loads` is keyed by [`ServerLoad::server`]; a server without an
    /// entry has no load from other routers.
    pub fn record_peer_loads(&mut self, now: Nanos, loads: &HashMap<u32, ServerLoad>) {
        for server in self.servers.values_mut() {
            let load = loads.get(&server.load_key()).copied().unwrap_or_default();
            server.queue.record_peer_load(now, load.queued_tokens(), u32::from(load.in_flight));
        }
    }

    /// Records for each server whether the router has an idle connection to it.
    pub fn record_idle_connections(&mut self, has_idle_connection: impl Fn(BackendId) -> bool) {
        for (id, server) in &mut self.servers {
            server.has_idle_connection = has_idle_connection(*id);
        }
    }

    /// Records that a request's response has begun, `elapsed` after the request was sent. Further calls for the same attempt are ignored.
    pub fn record_first_token(&mut self, now: Nanos, id: RequestId, elapsed: Nanos) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(attempt) = request.attempt.as_mut().filter(|attempt| !attempt.responded) else { return };
        attempt.responded = true;
        let tokens = attempt.uncached_tokens;
        if let Some(server) = self.servers.get_mut(&attempt.backend) {
            server.queue.record_prefill_end(tokens);
            server.queue.record_first_token(&mut self.model, server.region, tokens, elapsed);
            server.cache.insert(now, &request.prompt);
        }
    }

    /// Records a failed connection attempt to a server.
    pub fn record_connect_failure(&mut self, now: Nanos, id: BackendId) {
        if let Some(server) = self.servers.get_mut(&id) {
            let had_failed = server.backoff.has_failed();
            server.backoff.record_failure(now);
            if !had_failed {
                self.reachability.region_mut(server.region).record_server_failure(now);
            }
        }
    }

    /// Records that another instance now has a server's address. The server no longer exists, though the server list may still contain
    /// it for some time.
    pub fn record_replaced(&mut self, id: BackendId) {
        if let Some(server) = self.servers.get_mut(&id) {
            server.backoff.record_replaced();
        }
    }

    /// Records that a server has responded.
    pub fn record_response(&mut self, id: BackendId) {
        if let Some(server) = self.servers.get_mut(&id) {
            server.backoff.record_success();
            self.reachability.region_mut(server.region).record_response();
        }
    }

    /// Records that a request's attempt has ended. Idempotent: without a current attempt nothing changes.
    pub fn end_attempt(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(attempt) = request.attempt.take() else { return };
        if let Some(server) = self.servers.get_mut(&attempt.backend) {
            if !attempt.responded {
                server.queue.record_prefill_end(attempt.uncached_tokens);
            }
            server.queue.record_request_end();
        }
    }

    /// Describes a request's current attempt and the server's state as `key=value` pairs for the log; `None` if there is no attempt.
    pub fn describe_attempt(&self, id: RequestId) -> Option<String> {
        let request = self.requests.get(&id)?;
        let attempt = request.attempt?;
        let server = self.servers.get(&attempt.backend)?;
        Some(format!(
            "tokens={} uncached={} preferred={} region={} in_flight={} utilisation={:.2}",
            request.prompt.tokens,
            attempt.uncached_tokens,
            request.preferred.contains(server.region, attempt.backend),
            server.region,
            server.queue.in_flight(),
            server.queue.utilisation(&self.model)
        ))
    }

    /// The utilisation of a model server: 1 if all its capacity is in use. `None` if the server is unknown or the service runs no model.
    pub fn utilisation(&self, id: BackendId) -> Option<f64> {
        let server = self.servers.get(&id).filter(|_| self.settings.is_model)?;
        Some(server.queue.utilisation(&self.model))
    }

    /// Records that a request is sent to a server.
    pub(super) fn record_send(&mut self, now: Nanos, id: RequestId, backend: BackendId) {
        let uncached_tokens = self.uncached_tokens(now, id, backend);
        let Some(server) = self.servers.get_mut(&backend) else { return };
        server.slow_start.record_send(now);
        server.backoff.record_send(now);
        self.reachability.region_mut(server.region).record_send(now);
        if let Some(request) = self.requests.get_mut(&id) {
            server.queue.record_send(uncached_tokens);
            request.attempt = Some(Attempt { backend, uncached_tokens, responded: false });
        }
    }

    /// Whether a request may be sent to a server now. A request that was not added may be sent to any known server.
    pub(super) fn allows(&self, now: Nanos, id: RequestId, backend: BackendId) -> bool {
        let Some(server) = self.servers.get(&backend) else { return false };
        let Some(request) = self.requests.get(&id) else { return true };
        request.allows_region(server.region)
            && !server.backoff.is_waiting(now)
            && self.reachability.allows(now, server.region)
            && !(server.is_last_resort && self.has_regular_server(request))
            && self.is_within_slow_start(now, server)
            && self.is_within_latency_target(now, id, backend)
    }

    /// The cost of sending a request to a model server, in nanoseconds: the expected time to the first token, plus the weighted cost
    /// of prefilling again what another server has cached, plus the penalties for a failed server and for a new connection. `None` if
    /// the server is unknown or the service runs no model.
    pub(super) fn expected_delay(&self, now: Nanos, id: RequestId, backend: BackendId) -> Option<f64> {
        let server = self.servers.get(&backend).filter(|_| self.settings.is_model)?;
        let uncached_tokens = self.uncached_tokens(now, id, backend);
        let unshared_tokens =
            self.requests.get(&id).map_or(uncached_tokens, |request| request.prompt.unshared_tokens());
        let repeated_tokens = uncached_tokens.saturating_sub(unshared_tokens);
        let repeated_cost = REPEATED_PREFILL_WEIGHT * self.model.prefill_time(repeated_tokens);
        let latency = server.queue.time_to_first_token(now, &self.model, server.region, uncached_tokens);
        let retry_cost = if server.backoff.has_failed() { FAILED_SERVER_PENALTY_NS } else { 0.0 };
        let connect_cost = if server.has_idle_connection { 0.0 } else { NEW_CONNECTION_COST_NS };
        Some(latency + repeated_cost + retry_cost + connect_cost)
    }

    /// Whether a request may be served in the router's own region.
    pub(super) fn allows_home_region(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_none_or(|request| request.allows_region(self.home_region))
    }

    /// Whether the request's regions have a server that has not failed and is not a last resort.
    fn has_regular_server(&self, request: &PlacedRequest) -> bool {
        let is_usable = |server: &Server| {
            !server.is_last_resort && !server.backoff.has_failed() && request.allows_region(server.region)
        };
        self.servers.values().any(is_usable)
    }

    fn is_within_slow_start(&self, now: Nanos, server: &Server) -> bool {
        let limit = &self.settings.slow_start;
        let applies = server.slow_start.is_active(now) || server.is_last_resort;
        if !applies || !limit.is_set() {
            return true;
        }
        if now < self.started_at + slow_start::WINDOW {
            return false;
        }
        server.slow_start.recent_sends(now) < limit.for_router(self.router_share, server.name_hash)
    }

    /// Whether a model server is expected to meet the latency target of a request. An idle server is always allowed, because only a
    /// request can show that the server meets the target.
    fn is_within_latency_target(&self, now: Nanos, id: RequestId, backend: BackendId) -> bool {
        let (Some(server), Some(request)) = (self.servers.get(&backend), self.requests.get(&id)) else {
            return true;
        };
        if !self.settings.is_model || server.queue.is_idle(now) {
            return true;
        }
        let uncached_tokens = self.uncached_tokens(now, id, backend);
        let latency = server.queue.time_to_first_token(now, &self.model, server.region, uncached_tokens);
        latency <= MAX_LATENCY_TARGET_RATIO * request.latency_target as f64
    }

    /// The number of tokens of a request's prompt that a server would have to prefill; 0 if the request or the server is unknown.
    fn uncached_tokens(&self, now: Nanos, id: RequestId, backend: BackendId) -> u32 {
        let (Some(request), Some(server)) = (self.requests.get(&id), self.servers.get(&backend)) else {
            return 0;
        };
        let uncached_by_own_requests = server.cache.uncached_tokens(now, &request.prompt);
        // All routers prefer the same server of a region for a prefix, so the server is assumed to have cached the prefix even if this
        // router has not sent the prefix there.
        if request.preferred.contains(server.region, backend) {
            uncached_by_own_requests.min(request.prompt.unshared_tokens())
        } else {
            uncached_by_own_requests
        }
    }
}
