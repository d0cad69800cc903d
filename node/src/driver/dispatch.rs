//! The driver's state: feeds events to the balancer and turns its actions into work for the transport.

use std::rc::Rc;

use ivyhatch_balancer::{
    Action, Arrival, AttemptEnd, BackendId, Balancer, ClassId, Event, Idempotency, ListScope, LoadReport,
    Member, Nanos, Outcome, RequestId, Settings, SettingsError,
};
use ivyhatch_node_settings::NameTable;
use tokio::sync::oneshot;

use super::attempts::{AttemptKey, AttemptResult, AttemptStart};
use super::backend_directory::{BackendDirectory, BackendRecord};
use super::clock::Clock;
use super::health_checks::{ProbeKey, ProbeStart, ProbeTable};
use super::request_table::{NewRequest, RequestTable};
use super::requests::{ClientRequest, Reply};
use super::timers::TimerTable;

/// How long after a request's deadline the driver fails the request if the balancer has given no reply: longer than the
/// balancer's housekeeping interval, and well below the grace that the rules allow for late responses.
const REPLY_BACKSTOP_DELAY: Nanos = 20_000_000;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// A timer that the balancer has set, with the balancer's token.
    Balancer(u64),
    /// Fails a request to which the balancer has given no reply.
    ReplyBackstop(RequestId),
}

/// Work that results from an event and is carried out once the driver's state is no longer borrowed.
#[derive(Default)]
pub(super) struct Outputs {
    pub(super) attempts: Vec<AttemptStart>,
    /// Backends whose idle connections are to be closed.
    pub(super) close_connections_to: Vec<BackendId>,
    pub(super) probes: Vec<ProbeStart>,
    /// Backends for which the balancer asked for a probe that is not made.
    pub(super) skipped_probes: Vec<BackendId>,
    /// Attempts at a backend that is no longer listed.
    pub(super) unsendable_attempts: Vec<AttemptKey>,
    /// Whether a new timer is due before the one that the timer task waits for.
    pub(super) rearm_timer: bool,
}

pub(super) struct Driver {
    pub(super) clock: Clock,
    pub(super) balancer: Balancer,
    pub(super) settings: Settings,
    pub(super) requests: RequestTable,
    pub(super) backends: BackendDirectory,
    pub(super) timers: TimerTable<Timer>,
    pub(super) probes: ProbeTable,
    /// Whether the balancer has asked for the full list and the list has not been requested yet.
    pub(super) full_list_wanted: bool,
}

impl Driver {
    pub(super) fn new(
        settings: Settings,
        names: NameTable,
        seed: u64,
        clock: Clock,
    ) -> Result<Self, SettingsError> {
        Ok(Self {
            clock,
            balancer: Balancer::new(settings.clone(), seed, clock.now())?,
            settings,
            requests: RequestTable::default(),
            backends: BackendDirectory::new(names),
            timers: TimerTable::default(),
            probes: ProbeTable::default(),
            full_list_wanted: false,
        })
    }

    /// Passes an event to the balancer and carries out the resulting actions.
    pub(super) fn handle(&mut self, event: Event, outputs: &mut Outputs) {
        let mut actions = Vec::new();
        self.balancer.handle(self.clock.now(), event, &mut actions);
        for action in actions {
            self.perform(action, outputs);
        }
    }

    fn perform(&mut self, action: Action, outputs: &mut Outputs) {
        match action {
            Action::Send { request, backend, timeout } => {
                self.start_attempt(request, backend, timeout, outputs);
            }
            Action::Reject { request, retry_after } => self.reply(request, Reply::Rejected(retry_after)),
            Action::Fail { request } => self.reply(request, Reply::Failed),
            Action::Cancel { request, attempt } => self.requests.cancel_attempt(request, attempt),
            Action::Probe { backend } => self.start_probe(backend, outputs),
            // No action: the discovery client always renews its watch.
            Action::Watch => {}
            Action::Fetch => self.full_list_wanted = true,
            Action::Timer { after, token } => {
                let at = self.clock.now().saturating_add(after);
                self.set_timer(at, Timer::Balancer(token), outputs);
            }
            Action::Log(text) => tracing::info!("{text}"),
        }
    }

    fn set_timer(&mut self, at: Nanos, timer: Timer, outputs: &mut Outputs) {
        outputs.rearm_timer |= self.timers.insert(at, timer);
    }

    /// Handles all timers that are due.
    pub(super) fn fire_timers(&mut self, outputs: &mut Outputs) {
        let now = self.clock.now();
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::Balancer(token) => self.handle(Event::Timer { token }, outputs),
                Timer::ReplyBackstop(request) => self.fail_unanswered(request, outputs),
            }
        }
    }

    /// Fails a request whose deadline has passed and to which the balancer has given no reply.
    fn fail_unanswered(&mut self, request: RequestId, outputs: &mut Outputs) {
        if self.requests.awaits_reply(request) {
            tracing::warn!("request failed: the balancer gave no reply by the request's deadline");
            self.reply(request, Reply::Failed);
            self.handle(Event::ClientDisconnected { request }, outputs);
            self.requests.remove_if_complete(request, self.clock.now());
        }
    }

    /// Opens a request. `None` if the client's id of the request is in use.
    pub(super) fn submit(
        &mut self,
        request: ClientRequest,
        reply: oneshot::Sender<Reply>,
        outputs: &mut Outputs,
    ) -> Option<RequestId> {
        let now = self.clock.now();
        let not_after = now.saturating_add(request.budget);
        let new = NewRequest {
            client_id: request.id,
            forwarded: Rc::new(request.forwarded),
            reply,
            not_after,
            idempotency_window: self.idempotency_window(request.class),
        };
        let id = self.requests.open(new, now)?;
        self.set_timer(backstop_at(not_after), Timer::ReplyBackstop(id), outputs);
        let arrival = Arrival {
            request: id,
            class: ClassId(request.class),
            expected_work: request.expected_work,
            is_retry: request.is_retry,
            tenant: request.tenant,
            not_after,
        };
        self.handle(Event::Request(arrival), outputs);
        self.requests.remove_if_complete(id, self.clock.now());
        Some(id)
    }

    fn idempotency_window(&self, class: u32) -> Option<Nanos> {
        match self.settings.classes.get(class as usize)?.idempotency {
            Idempotency::Keyed { window, .. } => Some(window),
            _ => None,
        }
    }

    fn start_attempt(
        &mut self,
        request: RequestId,
        backend: BackendId,
        timeout: Option<Nanos>,
        outputs: &mut Outputs,
    ) {
        let now = self.clock.now();
        let Some(attempt) = self.requests.start_attempt(request, backend, now) else { return };
        let Some(endpoint) = self.backends.endpoint(backend) else {
            outputs.unsendable_attempts.push(attempt.key);
            return;
        };
        let timeout_at = timeout.map_or(Nanos::MAX, |timeout| now.saturating_add(timeout));
        outputs.attempts.push(AttemptStart {
            key: attempt.key,
            backend,
            endpoint,
            forwarded: attempt.forwarded,
            timeout_at: timeout_at.min(attempt.not_after),
            not_after: attempt.not_after,
            cancelled: attempt.cancelled,
        });
    }

    pub(super) fn attempt_ended(&mut self, key: AttemptKey, result: AttemptResult, outputs: &mut Outputs) {
        let AttemptResult { outcome, report, body } = result;
        let AttemptKey { request, attempt, .. } = key;
        let Some(elapsed) = self.requests.end_attempt(key, outcome, self.clock.now()) else { return };
        if outcome == Outcome::Served {
            self.reply(request, Reply::Served(body));
        }
        let request_ended = !self.requests.awaits_reply(request);
        let end = AttemptEnd { request, attempt, outcome, elapsed, request_ended, report };
        self.handle(Event::AttemptEnded(end), outputs);
        self.requests.remove_if_complete(request, self.clock.now());
    }

    /// Gives the final reply to a request. Only the first reply to a request is sent.
    fn reply(&mut self, request: RequestId, reply: Reply) {
        if let Some(not_after) = self.requests.reply(request, reply) {
            self.timers.remove(backstop_at(not_after), Timer::ReplyBackstop(request));
        }
    }

    pub(super) fn client_disconnected(&mut self, request: RequestId, outputs: &mut Outputs) {
        if self.requests.awaits_reply(request) {
            self.reply(request, Reply::Failed);
            self.handle(Event::ClientDisconnected { request }, outputs);
        }
        self.requests.remove_if_complete(request, self.clock.now());
    }

    fn start_probe(&mut self, backend: BackendId, outputs: &mut Outputs) {
        let in_service = self.backends.is_draining(backend) == Some(false);
        let endpoint = self.backends.endpoint(backend).filter(|_| in_service);
        let now = self.clock.now();
        match endpoint.and_then(|endpoint| self.probes.start(backend, endpoint, now)) {
            Some(probe) => outputs.probes.push(probe),
            None => outputs.skipped_probes.push(backend),
        }
    }

    /// Passes a probe's result to the balancer. The end of a cancelled probe has been reported already.
    pub(super) fn probe_ended(&mut self, key: ProbeKey, result: AttemptResult, outputs: &mut Outputs) {
        let Some(elapsed) = self.probes.end(key, self.clock.now()) else { return };
        let AttemptResult { outcome, report, .. } = result;
        let backend = key.backend();
        self.handle(Event::ProbeEnded { backend, outcome, elapsed, report }, outputs);
    }

    /// Cancels the probe of a backend, if one is in flight, and reports the probe to the balancer as cancelled.
    pub(super) fn cancel_probe(&mut self, backend: BackendId, outputs: &mut Outputs) {
        let elapsed = self.probes.cancel(backend, self.clock.now()).unwrap_or(0);
        let (outcome, report) = (Outcome::Cancelled, LoadReport::default());
        self.handle(Event::ProbeEnded { backend, outcome, elapsed, report }, outputs);
    }

    pub(super) fn stop_probing(&mut self, outputs: &mut Outputs) {
        for backend in self.probes.stop() {
            self.cancel_probe(backend, outputs);
        }
    }

    /// Applies a list of backends from discovery.
    pub(super) fn apply_list(&mut self, scope: ListScope, list: Vec<BackendRecord>, outputs: &mut Outputs) {
        let now = self.clock.now();
        let removed = self.backends.removed_by(scope, &list);
        let members = list.into_iter().filter_map(|record| self.apply_record(record, now, outputs)).collect();
        self.handle(Event::Membership { scope, members }, outputs);
        self.backends.update_draining(|id| self.balancer.is_in_service(id), now);
        // Responses of a backend's previous incarnation, or from its previous address, are of no use.
        let mut outdated = outputs.close_connections_to.clone();
        outdated.extend(removed.iter().filter_map(|uid| self.backends.id(uid)));
        for backend in outdated {
            if self.probes.is_in_flight(backend) {
                self.cancel_probe(backend, outputs);
            }
        }
        for uid in removed {
            outputs.close_connections_to.extend(self.backends.remove(uid, now));
        }
    }

    /// Applies one backend's record; `None` for a removed backend that was not listed.
    pub(super) fn apply_record(
        &mut self,
        record: BackendRecord,
        now: Nanos,
        outputs: &mut Outputs,
    ) -> Option<Member> {
        let registration = self.backends.register(record, now)?;
        if registration.close_connections {
            outputs.close_connections_to.push(registration.member.backend);
        }
        Some(registration.member)
    }
}

fn backstop_at(not_after: Nanos) -> Nanos {
    not_after.saturating_add(REPLY_BACKSTOP_DELAY)
}
