//! Attempts and probes: from a node to a server and back.

use super::links::Code;
use super::{Attempt, MS, Next, Open, Play, Probe, Try, Work};
use crate::Nanos;
use crate::server::{Admission, Job, ServerState};
use ivyhatch_balancer::{AttemptEnd, BackendId, Event, LoadReport as Figures, Outcome, RequestId};

/// A connection over a cut is given up after this time, a probe after that.
const CONNECT: Nanos = 250 * MS;
const PROBE: Nanos = 500 * MS;

impl Play<'_> {
    pub(super) fn send(&mut self, node: usize, request: u64, server: u32, timeout: Option<Nanos>) {
        self.attempts += 1;
        self.crossed += u64::from(self.home(node) != self.zone(server));
        self.oracle.sent(node, request, server, self.now);
        let Some(open) = self.open.get_mut(&(node, request)) else { return };
        let attempt = Attempt { node, request, number: open.attempts.len() as u32 };
        let mut made = Try { server, sent: self.now, job: 0, connected: false };
        let give_up = timeout.map_or(open.not_after, |timeout| open.not_after.min(self.now + timeout));
        self.at(give_up, Next::Ends(attempt, Code::TimedOut));
        let state = self.servers[server as usize].state;
        match self.way(node, server) {
            // Over a cut nothing comes up.
            None => self.at(self.now + CONNECT, Next::Ends(attempt, Code::Unreached)),
            // A machine that is there but runs nothing refuses at once.
            Some(way) if state == ServerState::Gone => {
                self.at(self.now + 2 * way, Next::Ends(attempt, Code::Unreached))
            }
            Some(way) => match self.connect(node, server, way) {
                None => self.at(self.now + 2 * way, Next::Ends(attempt, Code::Unreached)),
                Some(later) => {
                    made.connected = true;
                    let handshake = self.servers[server as usize].group.handshake_ms * 1e6;
                    if later > 0 && handshake > 0.0 {
                        self.give(server, Job { id: 0, work: handshake }, Work::Probe, node);
                    }
                    self.at(self.now + later + way, Next::Reaches(attempt));
                }
            },
        }
        let open = self.open.get_mut(&(node, request)).expect("it was there");
        open.attempts.push(Some(made));
    }

    /// Gives a server work; whether it took it.
    fn give(&mut self, server: u32, job: Job, what: Work, node: usize) -> bool {
        let id = self.number();
        let job = Job { id, ..job };
        let to = &mut self.servers[server as usize];
        let taken = match what {
            Work::Attempt(_) => to.take(job, self.oracle.knows(node, server, to.started), self.now),
            Work::Probe => to.probe(id, self.now),
        };
        match taken {
            Admission::Begins(done) => self.at(done, Next::Done(server, id)),
            Admission::Waits => {}
            Admission::Full => return false,
            Admission::Falls { rushed } => {
                self.falls(server, rushed);
                return false;
            }
        }
        if let Work::Attempt(attempt) = what
            && let Some(made) = self.made(attempt)
        {
            made.job = id;
        }
        self.jobs.insert(id, what);
        true
    }

    fn made(&mut self, attempt: Attempt) -> Option<&mut Try> {
        self.open
            .get_mut(&(attempt.node, attempt.request))?
            .attempts
            .get_mut(attempt.number as usize)?
            .as_mut()
    }

    pub(super) fn reaches(&mut self, attempt: Attempt) {
        let Some(open) = self.open.get(&(attempt.node, attempt.request)) else { return };
        let Some(Some(Try { server, sent, .. })) = open.attempts.get(attempt.number as usize) else { return };
        let Some(client) = self.clients.get(&open.client) else { return };
        let (server, sent, work) = (*server, *sent, client.asks.work);
        let to = &self.servers[server as usize];
        if to.hangs {
            return;
        }
        // It died while this was on its way.
        let gone = to.state == ServerState::Gone || to.started.is_some_and(|started| started > sent);
        let full = !gone && !self.give(server, Job { id: 0, work }, Work::Attempt(attempt), attempt.node);
        let fell = full && self.servers[server as usize].state == ServerState::Gone;
        if let Some(way) = self.way(attempt.node, server)
            && (gone || full)
        {
            let code = if gone || fell { Code::Reset } else { Code::Full };
            self.at(self.now + way, Next::Ends(attempt, code));
        }
    }

    /// A core has done a job: its answer goes out, and the core takes the next.
    pub(super) fn done(&mut self, server: u32, job: u64) {
        let work = self.jobs.remove(&job);
        let (had, next) = self.servers[server as usize].finish(job, self.now);
        self.goes_on(server, next);
        let Some(Work::Attempt(attempt)) = work.filter(|_| had) else { return };
        let Some(open) = self.open.get(&(attempt.node, attempt.request)) else { return };
        let Some(client) = self.clients.get(&open.client) else { return };
        let elsewhere = client.asks.elsewhere;
        let part = self.servers[server as usize].errors + self.servers[server as usize].group.error_ratio;
        let fails = part > 0.0 && self.errors.unit() < part;
        if let Some(way) = self.way(attempt.node, server) {
            let code = if fails { Code::Error } else { Code::Served };
            self.at(self.now + elsewhere + way, Next::Ends(attempt, code));
        }
    }

    pub(super) fn goes_on(&mut self, server: u32, next: Option<(u64, Nanos)>) {
        if let Some((job, done)) = next {
            self.at(done, Next::Done(server, job));
        }
    }

    pub(super) fn ends(&mut self, attempt: Attempt, code: Code) {
        let Attempt { node, request, number } = attempt;
        let now = self.now;
        let Some(&mut Try { server, sent, job, connected }) = self.made(attempt) else { return };
        let to = &self.servers[server as usize];
        let died = to.state == ServerState::Gone || to.started.is_some_and(|started| started > sent);
        // What is on its way when a cut falls, or its server dies, never comes.
        if code.is_answer() && (died || self.is_cut(node, server)) {
            return;
        }
        if let Some(open) = self.open.get_mut(&(node, request)) {
            open.attempts[number as usize] = None;
        }
        if connected && died {
            self.nodes[node].connections = self.nodes[node].connections.saturating_sub(1);
        } else if connected {
            self.release(node, server, code.is_answer());
        }
        if job > 0
            && !code.is_answer()
            && !died
            && let Some(way) = self.way(node, server)
        {
            self.at(now + way, Next::Withdrawn(server, job));
        }
        let outcome = code.outcome();
        self.oracle.ended(node, request, number, !outcome.may_have_run(), now);
        if outcome == Outcome::Served {
            self.answer(node, request, None, false);
        }
        let mut report = Figures::default();
        if self.world.reports_on_answers && code.is_answer() {
            let noise = self.noise.unit();
            report.utilisation = Some(self.servers[server as usize].figure(noise, now));
        }
        let ended = self.open.get(&(node, request)).is_none_or(|open: &Open| open.answered);
        let elapsed = now - sent;
        let request = RequestId(request);
        self.tell(
            node,
            Event::AttemptEnded(AttemptEnd {
                request,
                attempt: number,
                outcome,
                elapsed,
                request_ended: ended,
                report,
            }),
        );
    }

    pub(super) fn probe(&mut self, node: usize, server: u32) {
        self.probes += 1;
        let id = self.number();
        let probe = Probe { node, life: self.nodes[node].life, server, sent: self.now };
        self.probes_out.insert(id, probe);
        self.at(self.now + PROBE, Next::ProbeEnds(id, Code::TimedOut, 0));
        if let Some(way) = self.way(node, server) {
            self.at(self.now + way, Next::ProbeReaches(id));
        }
    }

    pub(super) fn probe_reaches(&mut self, id: u64) {
        let Some(&Probe { node, server, .. }) = self.probes_out.get(&id) else { return };
        let noise = self.noise.unit();
        let now = self.now;
        let Some(way) = self.way(node, server) else { return };
        let to = &mut self.servers[server as usize];
        if to.state == ServerState::Gone {
            return self.at(now + way, Next::ProbeEnds(id, Code::Unreached, 0));
        }
        if to.hangs || to.deaf {
            return;
        }
        let figure = to.figure(noise, now);
        // The answer waits for a core as any does; how long is known when it begins, which is close enough here.
        let wait = to.expected(0.0, now) as Nanos;
        self.give(server, Job { id: 0, work: 0.0 }, Work::Probe, node);
        self.at(now + wait + way, Next::ProbeEnds(id, Code::Served, figure.to_bits()));
    }

    pub(super) fn probe_ends(&mut self, id: u64, code: Code, figure: u64) {
        let now = self.now;
        let Some(&Probe { node, server, .. }) = self.probes_out.get(&id) else { return };
        let gone = self.servers[server as usize].state == ServerState::Gone;
        if code == Code::Served && (gone || self.is_cut(node, server)) {
            return;
        }
        let Some(probe) = self.probes_out.remove(&id) else { return };
        if self.nodes[probe.node].life != probe.life {
            return;
        }
        let util = (code == Code::Served).then(|| f64::from_bits(figure));
        let report = Figures { utilisation: util, ..Figures::default() };
        let (backend, outcome, elapsed) = (BackendId(probe.server), code.outcome(), now - probe.sent);
        self.tell(probe.node, Event::ProbeEnded { backend, outcome, elapsed, report });
    }
}
