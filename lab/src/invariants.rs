//! The invariants of a run, checked only on the messages between nodes, clients and servers: the checker uses no data that
//! the balancer reports about itself.

use std::collections::{HashMap, HashSet};

use serde::{Deserialize, Serialize};

use crate::time::{MS, Nanos};

/// A response that is late by at most this much after the client's timeout still satisfies [`Invariant::Answer`].
pub const ANSWER_SLACK: Nanos = 20 * MS;
/// Time after a node's notification that a server drains or is gone, during which the node may still send attempts to that
/// server.
pub const DRAIN_GRACE: Nanos = 1000 * MS;
/// Maximum number of violations that are recorded with their events; further ones are only counted.
const MAX_RECORDED_VIOLATIONS: usize = 16;

/// An invariant of a run. The variants' names are part of the JSON report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum Invariant {
    /// Each request gets exactly one final response, in time, and no attempt is sent after that response.
    Answer,
    /// A non-idempotent request is not sent again, and its client is not asked to retry, once it may have been executed.
    Repeat,
    /// No attempt is sent to a server that drains or is gone, after [`DRAIN_GRACE`].
    Drain,
    /// No cold server crashes under load of which two thirds came from nodes that knew of the server's start.
    Cold,
    /// No node's process uses more file descriptors or memory than its limit.
    Bounds,
}

/// A violation of an invariant, with the preceding events. Field names are the keys of the JSON report.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct InvariantViolation {
    /// The violated invariant.
    pub rule: Invariant,
    /// When the invariant was violated, in nanoseconds of the run's clock.
    pub at: Nanos,
    /// Descriptions of all events of the request and the server concerned, in order.
    pub events: Vec<String>,
}

/// The terms on which a client sends a request to a node.
#[derive(Clone, Copy, Debug)]
pub struct RequestTerms {
    /// Whether the request must not be executed twice.
    pub non_idempotent: bool,
    /// When the client times out.
    pub not_after: Nanos,
}

/// Whether an attempt may have been executed by its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// The attempt was certainly not executed.
    RuledOut,
    /// The attempt may have been executed.
    Possible,
}

/// A node's final response to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalResponse {
    /// A rejection, which invites the client to retry.
    Rejected,
    /// Any other response.
    Other,
}

/// A server as a membership list shows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListedServer {
    /// Number of the server.
    pub server: u32,
    /// Whether the server accepts requests.
    pub in_service: bool,
    /// When the server's process started; `None` if that was before the world's start.
    pub started: Option<Nanos>,
}

/// The amount of a resource that a node's process uses, and the limit.
#[derive(Clone, Copy, Debug)]
pub struct ResourceUsage {
    /// The resource's name and unit.
    pub resource: &'static str,
    /// The amount in use, in the resource's unit.
    pub used: u64,
    /// The highest permitted amount, in the resource's unit.
    pub limit: u64,
}

struct Request {
    terms: RequestTerms,
    answered: bool,
    client_disconnected: bool,
    /// Whether each attempt may have been executed, by attempt number.
    executions: Vec<Execution>,
    events: Vec<String>,
}

impl Request {
    fn may_have_run(&self) -> bool {
        self.executions.contains(&Execution::Possible)
    }

    fn log(&mut self, now: Nanos, event: &str) {
        self.events.push(format!("{} ms: {event}", now / MS));
    }
}

/// Checks the invariants over all nodes. Nodes, servers and requests are identified by numbers; all times are of one clock.
#[derive(Default)]
pub struct InvariantChecker {
    /// Additional tolerance of each time limit; above 0 for runs on a real clock of a shared machine.
    leeway: Nanos,
    requests: HashMap<(usize, u64), Request>,
    /// When a node was notified that a server drains or is gone, by node and server.
    removal_notified_at: HashMap<(usize, u32), Nanos>,
    /// The latest start of a server of which a node was notified, by node and server; only starts after the world's start.
    known_starts: HashMap<(usize, u32), Nanos>,
    /// Exceeded limits by node and resource; each is reported once.
    exceeded_limits: HashSet<(usize, &'static str)>,
    /// The recorded violations, in the order in which they were seen.
    pub violations: Vec<InvariantViolation>,
    /// Number of violations beyond the recorded ones.
    pub unrecorded_violations: usize,
}

impl InvariantChecker {
    /// A checker that tolerates delays of up to `leeway` beyond each limit.
    pub fn with_leeway(leeway: Nanos) -> Self {
        Self { leeway, ..Self::default() }
    }

    /// Number of all violations.
    pub fn violation_count(&self) -> usize {
        self.violations.len() + self.unrecorded_violations
    }

    fn report(&mut self, rule: Invariant, at: Nanos, events: Vec<String>) {
        if self.violations.len() < MAX_RECORDED_VIOLATIONS {
            self.violations.push(InvariantViolation { rule, at, events });
        } else {
            self.unrecorded_violations += 1;
        }
    }

    /// Records a measurement of a resource that a node's process uses.
    pub fn resource_used(&mut self, node: usize, usage: ResourceUsage, now: Nanos) {
        let ResourceUsage { resource, used, limit } = usage;
        if used > limit && self.exceeded_limits.insert((node, resource)) {
            let event = format!("{now} ns: node {node} uses {used} {resource}, limit {limit}");
            self.report(Invariant::Bounds, now, vec![event]);
        }
    }

    /// A node is notified of a server's state. After a notification that a server drains or is gone, the server counts as in
    /// service again only with a later start: a list from before the notification does not revoke it.
    pub fn server_listed(&mut self, node: usize, listed: ListedServer, now: Nanos) {
        let key = (node, listed.server);
        let known_start = self.known_starts.get(&key).copied().unwrap_or(0);
        let started = listed.started.unwrap_or(0);
        if started > known_start {
            self.known_starts.insert(key, started);
        }
        if !listed.in_service {
            self.removal_notified_at.entry(key).or_insert(now);
        } else if started > known_start {
            self.removal_notified_at.remove(&key);
        }
    }

    /// A node receives a full list; `server_count` is the number of servers in the world. Servers that are not listed are
    /// gone.
    pub fn full_list_received(
        &mut self,
        node: usize,
        list: &[ListedServer],
        server_count: usize,
        now: Nanos,
    ) {
        let mut is_listed = vec![false; server_count];
        for listed in list {
            is_listed[listed.server as usize] = true;
            self.server_listed(node, *listed, now);
        }
        for (server, _) in (0..).zip(is_listed).filter(|(_, is_listed)| !is_listed) {
            self.removal_notified_at.entry((node, server)).or_insert(now);
        }
    }

    /// A node's process has ended. The notifications that it received do not apply to the next process.
    pub fn node_stopped(&mut self, node: usize) {
        self.removal_notified_at.retain(|(of, _), _| *of != node);
        self.known_starts.retain(|(of, _), _| *of != node);
    }

    /// Whether a node was notified of a server's current start; true for a start before the world's start (`None`).
    pub fn knows_start(&self, node: usize, server: u32, started: Option<Nanos>) -> bool {
        started.is_none_or(|started| self.known_starts.get(&(node, server)) == Some(&started))
    }

    /// A cold server has crashed under load of which two thirds came from nodes that knew of the server's start.
    pub fn cold_server_crashed(&mut self, server: u32, now: Nanos) {
        let informed = self.known_starts.keys().filter(|(_, of)| *of == server).count();
        let event = format!(
            "{} ms: cold server {server} crashes under load; {informed} nodes know of a start",
            now / MS
        );
        self.report(Invariant::Cold, now, vec![event]);
    }

    /// The node of a request has crashed: no response is expected any more.
    pub fn request_lost(&mut self, node: usize, request: u64) {
        self.requests.remove(&(node, request));
    }

    /// The client of a request has disconnected: no response is expected, and a response is no violation.
    pub fn client_disconnected(&mut self, node: usize, request: u64, now: Nanos) {
        if let Some(open) = self.requests.get_mut(&(node, request)) {
            open.log(now, "client disconnects");
            open.client_disconnected = true;
        }
    }

    /// A node has accepted a request.
    pub fn request_accepted(&mut self, node: usize, request: u64, terms: RequestTerms, now: Nanos) {
        let mut accepted = Request {
            terms,
            answered: false,
            client_disconnected: false,
            executions: Vec::new(),
            events: Vec::new(),
        };
        accepted.log(now, &format!("node {node} accepts request {request}"));
        self.requests.insert((node, request), accepted);
    }

    /// A node sends an attempt to a server.
    pub fn attempt_sent(&mut self, node: usize, request: u64, server: u32, now: Nanos) {
        let removal_notified_at = self.removal_notified_at.get(&(node, server)).copied();
        let Some(open) = self.requests.get_mut(&(node, request)) else {
            let event = format!(
                "{} ms: node {node} sends an attempt of request {request}, which has ended",
                now / MS
            );
            return self.report(Invariant::Answer, now, vec![event]);
        };
        open.log(now, &format!("attempt sent to server {server}"));
        let repeats = open.terms.non_idempotent && open.may_have_run();
        let has_ended = open.answered || open.client_disconnected;
        open.executions.push(Execution::Possible);
        let events = open.events.clone();
        if repeats {
            self.report(Invariant::Repeat, now, events.clone());
        }
        if has_ended {
            self.report(Invariant::Answer, now, events.clone());
        }
        let late_after = DRAIN_GRACE + self.leeway;
        if let Some(notified_at) = removal_notified_at.filter(|notified_at| now > notified_at + late_after) {
            let notified_ms = notified_at / MS;
            let mut events = events;
            let notice =
                format!("{notified_ms} ms: node {node} is notified that server {server} drains or is gone");
            events.insert(0, notice);
            self.report(Invariant::Drain, now, events);
        }
    }

    /// An attempt has ended; `attempt` is the attempt's number within the request, from 0.
    pub fn attempt_ended(
        &mut self,
        node: usize,
        request: u64,
        attempt: u32,
        execution: Execution,
        now: Nanos,
    ) {
        let Some(open) = self.requests.get_mut(&(node, request)) else { return };
        let end = match execution {
            Execution::RuledOut => "not executed",
            Execution::Possible => "possibly executed",
        };
        open.log(now, &format!("attempt {attempt} ended, {end}"));
        let known = open.executions.get_mut(attempt as usize);
        if let Some(known) = known.filter(|_| execution == Execution::RuledOut) {
            *known = Execution::RuledOut;
        }
    }

    /// A node has sent its final response to a client.
    pub fn response_sent(&mut self, node: usize, request: u64, response: FinalResponse, now: Nanos) {
        let Some(open) = self.requests.get_mut(&(node, request)) else { return };
        let rejected = response == FinalResponse::Rejected;
        open.log(now, if rejected { "request rejected" } else { "response sent" });
        let is_second = open.answered;
        let latest = open.terms.not_after + ANSWER_SLACK + self.leeway;
        let is_late = !open.client_disconnected && now > latest;
        let wrongly_rejected = rejected && open.terms.non_idempotent && open.may_have_run();
        open.answered = true;
        let events = open.events.clone();
        if is_second || is_late {
            self.report(Invariant::Answer, now, events.clone());
        }
        if wrongly_rejected {
            self.report(Invariant::Repeat, now, events);
        }
    }

    /// No response to a request can be in time any more: the final response must have been sent.
    pub fn request_closed(&mut self, node: usize, request: u64, now: Nanos) {
        let Some(open) = self.requests.remove(&(node, request)) else { return };
        if !open.answered && !open.client_disconnected {
            self.report(Invariant::Answer, now, open.events);
        }
    }
}
