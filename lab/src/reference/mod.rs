//! The reference policies, with the same events and actions as the balancer. None of the policies sends probes, ejects
//! servers or queues requests. State that the balancer has no access to is read from the model servers.

mod selection;

use std::collections::{BTreeMap, HashMap};

use ivyhatch_balancer::{
    Action, Arrival, AttemptEnd, BackendId, BackendState, Event, ListScope, Member, RequestId,
};

use crate::policy::Policy;
use crate::random::RandomStream;
use crate::server::Server;
use crate::time::{MS, Nanos};

/// `Retry-After` of a rejection by a reference policy.
const RETRY_AFTER: Nanos = 500 * MS;
/// Pause before a new watch of the server list after a discovery failure.
const WATCH_RETRY_DELAY: Nanos = 500 * MS;
/// Token of the timer that fires after [`WATCH_RETRY_DELAY`].
const WATCH_RETRY_TOKEN: u64 = 1;

/// The settings of a request class that reference policies use.
#[derive(Clone, Copy)]
pub(crate) struct ClassProfile {
    pub(crate) non_idempotent: bool,
    pub(crate) latency_target: Nanos,
    /// Mean work, in nanoseconds on a core of speed 1.
    pub(crate) work: f64,
    /// Mean wait for downstream services, in nanoseconds.
    pub(crate) downstream_wait: f64,
}

/// The settings of one node's reference policy.
#[derive(Clone)]
pub(crate) struct ReferenceSettings {
    pub(crate) policy: Policy,
    pub(crate) home_zone: u32,
    /// Utilisation threshold of [`Policy::Paper`].
    pub(crate) threshold: f64,
    pub(crate) max_attempts: u32,
    pub(crate) classes: Vec<ClassProfile>,
    /// One-way latency to each zone, in nanoseconds.
    pub(crate) zone_latencies: Vec<f64>,
}

struct OpenRequest {
    class: usize,
    accepted_at: Nanos,
    not_after: Nanos,
    /// The server of each attempt, by attempt number.
    tried: Vec<BackendId>,
    /// Whether an attempt may have been executed.
    may_have_run: bool,
}

/// A server in service.
#[derive(Clone, Copy)]
struct KnownServer {
    zone: u32,
    /// Number of the node's own requests in flight to the server.
    in_flight: u32,
}

/// One node's reference policy.
pub(crate) struct ReferencePolicy {
    settings: ReferenceSettings,
    random: RandomStream,
    /// The servers in service, as the node's list shows them.
    servers: BTreeMap<BackendId, KnownServer>,
    /// The servers in service by zone, for round robin within a zone.
    zones: Vec<Vec<BackendId>>,
    round_robin_turn: u64,
    open_requests: HashMap<RequestId, OpenRequest>,
}

impl ReferencePolicy {
    pub(crate) fn new(settings: ReferenceSettings, random: RandomStream) -> Self {
        let zones = vec![Vec::new(); settings.zone_latencies.len()];
        Self {
            settings,
            random,
            servers: BTreeMap::new(),
            zones,
            round_robin_turn: 0,
            open_requests: HashMap::new(),
        }
    }

    pub(crate) fn handle(&mut self, now: Nanos, event: Event, model: &[Server], actions: &mut Vec<Action>) {
        match event {
            Event::Start | Event::Timer { token: WATCH_RETRY_TOKEN } => actions.push(Action::Watch),
            Event::DiscoveryFailed => {
                actions.push(Action::Timer { after: WATCH_RETRY_DELAY, token: WATCH_RETRY_TOKEN });
            }
            Event::Membership { scope, members } => self.update_membership(scope, members),
            Event::Request(arrival) => self.accept(now, arrival, model, actions),
            Event::AttemptEnded(end) => self.attempt_ended(now, end, model, actions),
            Event::ClientDisconnected { request } => drop(self.open_requests.remove(&request)),
            Event::ProbeEnded { .. }
            | Event::StreamStarted { .. }
            | Event::StreamInterrupted { .. }
            | Event::Timer { .. } => {}
        }
    }

    fn update_membership(&mut self, scope: ListScope, members: Vec<Member>) {
        let before = std::mem::take(&mut self.servers);
        if scope == ListScope::Changes {
            self.servers = before.clone();
        }
        for member in members {
            if member.state == BackendState::InService {
                let in_flight = before.get(&member.backend).map_or(0, |server| server.in_flight);
                self.servers.insert(member.backend, KnownServer { zone: member.zone.0, in_flight });
            } else {
                self.servers.remove(&member.backend);
            }
        }
        self.zones.iter_mut().for_each(Vec::clear);
        self.servers.iter().for_each(|(id, server)| self.zones[server.zone as usize].push(*id));
    }

    fn accept(&mut self, now: Nanos, arrival: Arrival, model: &[Server], actions: &mut Vec<Action>) {
        let open = OpenRequest {
            class: arrival.class.0 as usize,
            accepted_at: now,
            not_after: arrival.not_after,
            tried: Vec::new(),
            may_have_run: false,
        };
        self.open_requests.insert(arrival.request, open);
        self.send(now, arrival.request, model, actions);
    }

    fn attempt_ended(&mut self, now: Nanos, end: AttemptEnd, model: &[Server], actions: &mut Vec<Action>) {
        let Some(open) = self.open_requests.get_mut(&end.request) else { return };
        let server = open.tried.get(end.attempt as usize).and_then(|id| self.servers.get_mut(id));
        if let Some(server) = server {
            server.in_flight = server.in_flight.saturating_sub(1);
        }
        open.may_have_run |= end.outcome.may_have_run();
        if end.request_ended {
            self.open_requests.remove(&end.request);
            return;
        }
        let is_safe = !(self.settings.classes[open.class].non_idempotent && open.may_have_run);
        let has_attempts = open.tried.len() < self.settings.max_attempts as usize;
        if is_safe && has_attempts && now < open.not_after {
            self.send(now, end.request, model, actions);
        } else {
            self.end(end.request, actions);
        }
    }

    /// Ends a request without a server's response: rejects it if a retry is safe, else fails it.
    fn end(&mut self, request: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.open_requests.remove(&request) else { return };
        let retry_is_unsafe = open.may_have_run && self.settings.classes[open.class].non_idempotent;
        actions.push(match retry_is_unsafe {
            true => Action::Fail { request },
            false => Action::Reject { request, retry_after: RETRY_AFTER },
        });
    }

    fn send(&mut self, now: Nanos, request: RequestId, model: &[Server], actions: &mut Vec<Action>) {
        let Some(open) = self.open_requests.get(&request) else { return };
        let candidate = selection::Candidate {
            class: self.settings.classes[open.class],
            accepted_at: open.accepted_at,
            not_after: open.not_after,
            tried: open.tried.clone(),
        };
        let Some(backend) = self.select(now, &candidate, model) else {
            return self.end(request, actions);
        };
        self.servers.entry(backend).and_modify(|server| server.in_flight += 1);
        self.open_requests.entry(request).and_modify(|open| open.tried.push(backend));
        actions.push(Action::Send { request, backend, timeout: None });
    }
}
