//! Clients: when a client sends a request, to which node, and how a client handles a response.

use ivyhatch_balancer::{Arrival, ClassId, Event, RequestId};

use super::event::{RequestKey, SimulationEvent};
use super::model::{NodeResponse, START, Simulation};
use super::state::{Client, ClientKind, OpenRequest};
use crate::arrivals::ClientRequest;
use crate::invariants::{ANSWER_SLACK, FinalResponse, RequestTerms};
use crate::time::{MS, Nanos};
use crate::world::{RECONNECT_DELAY, RequestClass};

/// Closed-loop clients send their first requests within this time after the world's start, in nanoseconds.
const CLOSED_CLIENT_START_WINDOW: f64 = 100e6;
/// Time from a client's timeout until its request is closed; in this time, a late response is still recognised as late.
const EXPIRY_DELAY: Nanos = 2 * ANSWER_SLACK;

/// When a client of a class stops waiting and retrying.
fn client_deadline(class: &RequestClass, first_sent_at: Nanos) -> Nanos {
    first_sent_at + class.deadline_ms * MS
}

impl Simulation<'_> {
    pub(super) fn start_closed_clients(&mut self) {
        for zone in self.world.clients.closed_client_zones(self.world.zones) {
            let delay = (self.random.node_choices.unit() * CLOSED_CLIENT_START_WINDOW) as Nanos;
            self.schedule(START + delay, SimulationEvent::ClosedClientReturns { zone });
        }
    }

    pub(super) fn client_arrives(&mut self) {
        let Some(request) = self.next_arrival.take() else { return };
        self.add_client(request, ClientKind::OpenLoop);
        self.next_arrival = self.arrivals.next();
        if let Some(at) = self.next_arrival.as_ref().map(|next| START + next.arrives_at) {
            self.schedule(at, SimulationEvent::ClientArrives);
        }
    }

    pub(super) fn closed_client_returns(&mut self, zone: u32) {
        if self.now < self.end {
            let request = self.arrivals.draw(self.now - START, Some(zone));
            self.add_client(request, ClientKind::ClosedLoop);
        }
    }

    fn add_client(&mut self, request: ClientRequest, kind: ClientKind) {
        let id = self.next_id();
        self.outcomes.request_arrived(&request);
        let client = Client {
            request,
            first_sent_at: self.now,
            retries_left: self.world.clients.retries,
            kind,
            is_done: false,
            open_requests: 0,
        };
        self.clients.insert(id, client);
        self.client_sends(id);
    }

    /// A running node that clients of a zone prefer, or, if there is none, any running node; `None` if no node is running.
    fn select_node(&mut self, zone: u32) -> Option<usize> {
        let draw = self.random.node_choices.unit();
        let running_from_draw = |nodes: &[usize]| {
            let first = (draw * nodes.len() as f64) as usize;
            let mut rotated = (0..nodes.len()).map(|step| nodes[(first + step) % nodes.len()]);
            rotated.find(|node| self.nodes[*node].accepts_clients)
        };
        running_from_draw(&self.preferred_nodes[zone as usize]).or_else(|| {
            let all: Vec<usize> = (0..self.nodes.len()).collect();
            running_from_draw(&all)
        })
    }

    /// A client sends its request to one of the nodes, as a plain TCP load balancer in front of them would.
    pub(super) fn client_sends(&mut self, client_id: u64) {
        let Some(client) = self.clients.get(&client_id) else { return };
        let &ClientRequest { class: class_index, zone, tenant, disconnect_fraction, .. } = &client.request;
        let workload = &self.world.clients;
        let class = &workload.classes[class_index];
        let is_retry = workload.marks_retries && client.retries_left < workload.retries;
        let deadline = client_deadline(class, client.first_sent_at);
        let timeout = class.attempt_timeout(self.random.client_timeouts.unit());
        let not_after = (self.now + timeout).min(deadline);
        let Some(node) = self.select_node(zone) else { return self.connection_lost(client_id) };
        let key = RequestKey { node, id: self.next_id() };
        self.open_request(key, client_id, class, not_after);
        if let Some(fraction) = disconnect_fraction {
            let disconnects_after = (not_after.saturating_sub(self.now) as f64 * fraction) as Nanos;
            self.schedule(self.now + disconnects_after, SimulationEvent::ClientDisconnects(key));
        }
        let arrival = Arrival {
            request: RequestId(key.id),
            class: ClassId(class_index as u32),
            expected_work: None,
            is_retry,
            tenant,
            not_after,
        };
        self.notify(node, Event::Request(arrival));
    }

    fn open_request(&mut self, key: RequestKey, client_id: u64, class: &RequestClass, not_after: Nanos) {
        let open = OpenRequest { client: client_id, not_after, is_answered: false, attempts: Vec::new() };
        self.open_requests.insert(key, open);
        if let Some(client) = self.clients.get_mut(&client_id) {
            client.open_requests += 1;
        }
        let node = &mut self.nodes[key.node];
        node.open_requests += 1;
        self.counters.max_open_requests = self.counters.max_open_requests.max(node.open_requests);
        let terms = RequestTerms { non_idempotent: class.non_idempotent, not_after };
        self.invariants.request_accepted(key.node, key.id, terms, self.now);
        self.schedule(not_after + EXPIRY_DELAY, SimulationEvent::RequestExpires(key));
    }

    /// A client disconnects: the node need not respond any more, and the request's attempts continue until the policy
    /// cancels them.
    pub(super) fn client_disconnects(&mut self, key: RequestKey) {
        let Some(open) = self.open_requests.get_mut(&key).filter(|open| !open.is_answered) else { return };
        open.is_answered = true;
        self.nodes[key.node].open_requests -= 1;
        let client_id = open.client;
        self.invariants.client_disconnected(key.node, key.id, self.now);
        if let Some(client) = self.clients.get(&client_id) {
            self.outcomes.client_disconnected(&client.request);
        }
        self.notify(key.node, Event::ClientDisconnected { request: RequestId(key.id) });
        self.client_done(client_id, RECONNECT_DELAY);
    }

    /// A client's node has crashed, or no node was running. The client retries if its class is idempotent and it has time
    /// and retries left.
    pub(super) fn connection_lost(&mut self, client_id: u64) {
        let Some(client) = self.clients.get_mut(&client_id) else { return };
        let class = &self.world.clients.classes[client.request.class];
        let delay = self.world.clients.retry_delay(RECONNECT_DELAY);
        let has_time = self.now + delay < client_deadline(class, client.first_sent_at);
        if has_time && client.retries_left > 0 && !class.non_idempotent {
            client.retries_left -= 1;
            self.schedule(self.now + delay, SimulationEvent::ClientSends { client: client_id });
            return;
        }
        self.outcomes.failed(&client.request);
        self.client_done(client_id, RECONNECT_DELAY);
    }

    /// A client's request has an outcome; a closed-loop client sends its next request after a pause.
    fn client_done(&mut self, client_id: u64, pause: Nanos) {
        let Some(client) = self.clients.get_mut(&client_id) else { return };
        client.is_done = true;
        let (is_unused, is_closed_loop, zone) =
            (client.open_requests == 0, client.kind == ClientKind::ClosedLoop, client.request.zone);
        if is_closed_loop {
            self.schedule(self.now + pause, SimulationEvent::ClosedClientReturns { zone });
        }
        if is_unused {
            self.clients.remove(&client_id);
        }
    }

    pub(super) fn request_expires(&mut self, key: RequestKey) {
        self.invariants.request_closed(key.node, key.id, self.now);
        let Some(open) = self.open_requests.remove(&key) else { return };
        self.nodes[key.node].open_requests -= u32::from(!open.is_answered);
        let Some(client) = self.clients.get_mut(&open.client) else { return };
        client.open_requests -= 1;
        if client.is_done && client.open_requests == 0 {
            self.clients.remove(&open.client);
        }
    }

    /// A node sends its final response to a client.
    pub(super) fn respond(&mut self, key: RequestKey, response: NodeResponse) {
        let Some(open) = self.open_requests.get_mut(&key) else { return };
        if open.is_answered && response == NodeResponse::Served {
            return;
        }
        let seen = match response {
            NodeResponse::Rejected { .. } => FinalResponse::Rejected,
            NodeResponse::Served | NodeResponse::Failed => FinalResponse::Other,
        };
        self.invariants.response_sent(key.node, key.id, seen, self.now);
        let (client_id, not_after) = (open.client, open.not_after);
        if std::mem::replace(&mut open.is_answered, true) {
            return;
        }
        self.nodes[key.node].open_requests -= 1;
        self.client_receives(client_id, response, not_after);
    }

    fn client_receives(&mut self, client_id: u64, response: NodeResponse, not_after: Nanos) {
        let Some(client) = self.clients.get_mut(&client_id) else { return };
        match response {
            NodeResponse::Served => {
                self.outcomes.served(&client.request, self.now - client.first_sent_at);
                self.client_done(client_id, 0);
            }
            NodeResponse::Rejected { retry_after } => {
                let class = &self.world.clients.classes[client.request.class];
                let delay = self.world.clients.retry_delay(retry_after);
                let latest = client_deadline(class, client.first_sent_at).max(not_after);
                if client.retries_left > 0 && self.now + delay < latest {
                    client.retries_left -= 1;
                    self.schedule(self.now + delay, SimulationEvent::ClientSends { client: client_id });
                    return;
                }
                self.outcomes.rejected(&client.request);
                self.client_done(client_id, delay.max(RECONNECT_DELAY));
            }
            NodeResponse::Failed => {
                self.outcomes.failed(&client.request);
                self.client_done(client_id, RECONNECT_DELAY);
            }
        }
    }
}
