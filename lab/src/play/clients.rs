//! Clients: who comes, which node they ask, what they do with an answer.

use super::{Client, MS, Next, Open, Play, START};
use crate::Nanos;
use crate::arrivals::ClientRequest;
use crate::oracle::ANSWER_SLACK;
use crate::world::RECONNECT_DELAY;
use ivyhatch_balancer::{Arrival, ClassId, Event, RequestId};

impl Play<'_> {
    /// Closed clients come within the first tenth of a second, dealt out by the zones' shares.
    pub(super) fn start_closed(&mut self) {
        for zone in self.world.clients.closed_zones(self.world.zones) {
            let at = START + (self.choices.unit() * 100e6) as Nanos;
            self.at(at, Next::Returns(zone));
        }
    }

    pub(super) fn arrives(&mut self) {
        let Some(asks) = self.coming.take() else { return };
        self.comes(asks, false);
        self.coming = self.arrivals.next();
        if let Some(at) = self.coming.as_ref().map(|next| START + next.at) {
            self.at(at, Next::Arrives);
        }
    }

    pub(super) fn returns(&mut self, zone: u32) {
        if self.now < self.end {
            let asks = self.arrivals.draw(self.now - START, Some(zone));
            self.comes(asks, true);
        }
    }

    fn comes(&mut self, asks: ClientRequest, closed: bool) {
        let number = self.number();
        self.books.asked(&asks);
        let repeats_left = self.world.clients.retries;
        let client = Client { asks, first: self.now, repeats_left, closed, done: false, requests: 0 };
        self.clients.insert(number, client);
        self.tries(number);
    }

    /// A node of the client's zone that is up, or any that is.
    fn front(&mut self, zone: u32) -> Option<usize> {
        let drawn = self.choices.unit();
        let pick = |nodes: &[usize], up: &dyn Fn(usize) -> bool| {
            let from = (drawn * nodes.len() as f64) as usize;
            let mut round = (0..nodes.len()).map(|step| nodes[(from + step) % nodes.len()]);
            round.find(|node| up(*node))
        };
        let up = |node: usize| self.nodes[node].up;
        pick(&self.fronts[zone as usize], &up).or_else(|| {
            let all: Vec<usize> = (0..self.nodes.len()).collect();
            pick(&all, &up)
        })
    }

    /// A client asks one of the nodes, as a plain front has it.
    pub(super) fn tries(&mut self, client: u64) {
        let Some(&Client { ref asks, first, repeats_left, .. }) = self.clients.get(&client) else { return };
        let &ClientRequest { class, zone, tenant, leaves, .. } = asks;
        let clients = &self.world.clients;
        let repeat = clients.marks_retries && repeats_left < clients.retries;
        let settings = &self.world.clients.classes[class];
        let not_after =
            (self.now + settings.patience(self.patience.unit())).min(first + settings.deadline_ms * MS);
        let Some(node) = self.front(zone) else { return self.broken_off(client) };
        let request = self.number();
        self.open.insert((node, request), Open { client, not_after, answered: false, attempts: Vec::new() });
        self.clients.get_mut(&client).expect("it asks").requests += 1;
        self.nodes[node].open += 1;
        self.most_open = self.most_open.max(self.nodes[node].open);
        self.oracle.taken(node, request, settings.non_idempotent, not_after, self.now);
        self.at(not_after + 2 * ANSWER_SLACK, Next::Over(node, request));
        if let Some(part) = leaves {
            let stays = (not_after.saturating_sub(self.now) as f64 * part) as Nanos;
            self.at(self.now + stays, Next::Leaves(node, request));
        }
        let (request, class) = (RequestId(request), ClassId(class as u32));
        self.tell(
            node,
            Event::Request(Arrival {
                request,
                class,
                expected_work: None,
                is_retry: repeat,
                tenant,
                not_after,
            }),
        );
    }

    /// A client hangs up: nothing more is owed, and what it has sent away for goes on.
    pub(super) fn leaves(&mut self, node: usize, request: u64) {
        let Some(open) = self.open.get_mut(&(node, request)).filter(|open| !open.answered) else { return };
        open.answered = true;
        self.nodes[node].open -= 1;
        let client = open.client;
        self.oracle.left(node, request, self.now);
        if let Some(client) = self.clients.get(&client) {
            self.books.left(&client.asks);
        }
        self.tell(node, Event::ClientDisconnected { request: RequestId(request) });
        self.over_for(client, RECONNECT_DELAY);
    }

    /// A client's node died under it, or there was none. A class that may be repeated, and has a repeat left, is asked
    /// again; so is any where nobody was reached.
    pub(super) fn broken_off(&mut self, client: u64) {
        let Some(of) = self.clients.get_mut(&client) else { return };
        let settings = &self.world.clients.classes[of.asks.class];
        let wait = self.world.clients.pause(RECONNECT_DELAY);
        let time = self.now + wait < of.first + settings.deadline_ms * MS;
        if time && of.repeats_left > 0 && !settings.non_idempotent {
            of.repeats_left -= 1;
            self.at(self.now + wait, Next::Tries(client));
            return;
        }
        self.books.failed(&of.asks);
        self.over_for(client, RECONNECT_DELAY);
    }

    /// The client has what it will get; a closed one asks for the next thing after a while.
    fn over_for(&mut self, client: u64, wait: Nanos) {
        let Some(of) = self.clients.get_mut(&client) else { return };
        of.done = true;
        let (returns, forgotten) = (of.closed.then_some(of.asks.zone), of.requests == 0);
        if let Some(zone) = returns {
            self.at(self.now + wait, Next::Returns(zone));
        }
        if forgotten {
            self.clients.remove(&client);
        }
    }

    /// One of a client's requests is not open any more.
    pub(super) fn closed_one(&mut self, client: u64) {
        let Some(of) = self.clients.get_mut(&client) else { return };
        of.requests -= 1;
        if of.done && of.requests == 0 {
            self.clients.remove(&client);
        }
    }

    /// The node's final answer: what a server said, a refusal with a pause, or a failure.
    pub(super) fn answer(&mut self, node: usize, request: u64, pause: Option<Nanos>, own: bool) {
        let Some(open) = self.open.get_mut(&(node, request)) else { return };
        if open.answered && !own {
            return;
        }
        self.oracle.answered(node, request, pause.is_some(), self.now);
        let (client, not_after) = (open.client, open.not_after);
        if std::mem::replace(&mut open.answered, true) {
            return;
        }
        self.nodes[node].open -= 1;
        let Some(of) = self.clients.get_mut(&client) else { return };
        let settings = &self.world.clients.classes[of.asks.class];
        match pause {
            None if !own => {
                self.books.served(&of.asks, self.now - of.first);
                self.over_for(client, 0);
            }
            Some(pause) => {
                let wait = self.world.clients.pause(pause);
                if of.repeats_left > 0
                    && self.now + wait < (of.first + settings.deadline_ms * MS).max(not_after)
                {
                    of.repeats_left -= 1;
                    self.at(self.now + wait, Next::Tries(client));
                    return;
                }
                self.books.refused(&of.asks);
                self.over_for(client, wait.max(RECONNECT_DELAY));
            }
            None => {
                self.books.failed(&of.asks);
                self.over_for(client, RECONNECT_DELAY);
            }
        }
    }
}
