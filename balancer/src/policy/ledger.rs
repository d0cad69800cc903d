//! The request ledger with the contract gate: arrivals, sends, ends and settlements. Every send passes
//! `permits`, every end `end`.

use super::figures::*;
use crate::api::*;
use crate::state::*;
use crate::tally::RejectReason;

impl Balancer {
    pub(super) fn on_arrival(&mut self, arrival: Arrival, actions: &mut Vec<Action>) {
        let class = (arrival.class.0 as usize).min(self.classes.len() - 1);
        let view = &mut self.classes[class];
        let cost = arrival.expected_work.map_or(view.idle_latency, |hint| hint as f64).max(1.0);
        view.mean_work += (cost - view.mean_work) * if view.mean_work > 0.0 { WORK_SMOOTHING } else { 1.0 };
        // A try well shorter than others ends with the client's deadline: that tells when its first try came,
        // and the aim counts from then. Arrivals jitter, so a little shorter is no sign. Where repeats
        // are marked the rest are first tries: repeats may get more time, which made those look late.
        let wait = arrival.not_after.saturating_sub(self.now);
        view.longest_timeout = view.longest_timeout.max(wait);
        let worthless_late = self.settings.classes[class].late_value_share == 0.0;
        let again = arrival.is_retry || !self.settings.clients_mark_retries;
        let short = again && worthless_late && wait < view.longest_timeout - view.longest_timeout / 8;
        // More of these than were left unserved are first tries, of clients that have come to wait less long.
        let repeat = short
            && self.suspected_retries.per_second(self.now)
                <= 1.0 + RETRIES_PER_UNSERVED * self.unserved.per_second(self.now);
        self.suspected_retries.add(self.now, if short { 1.0 } else { 0.0 });
        let first = if repeat {
            arrival.not_after.saturating_sub(self.settings.classes[class].deadline).min(self.now)
        } else {
            self.now
        };
        let aim_end = arrival.not_after.min(first + self.settings.classes[class].latency_target);
        let request = Request {
            id: arrival.request,
            class,
            expected_work: cost,
            // Picking the requests with small hints for a small budget picks the hints that are too low.
            slow_start_work: cost.max(view.mean_work),
            target_at: aim_end,
            queue_until: self.now + self.max_queue_time(class, wait),
            not_after: arrival.not_after,
            attempts: Vec::new(),
            phase: RequestPhase::Open,
            queue_entry: None,
            over_quota: false,
        };
        self.requests.insert(arrival.request, request);
        self.retry_tokens = (self.retry_tokens + RETRY_TOKENS_PER_ARRIVAL).min(self.retry_token_limit());
        self.refresh_overflow_zones(actions);
        self.probe_scheduler.as_mut().into_iter().for_each(|probes| probes.arrival(self.now));
        // Guards against jams that feed on their own repeats: what is past its aim, or more than the servers
        // can do in time, is turned away before it costs them anything.
        let past = aim_end <= self.now && worthless_late;
        self.counters.arrivals += 1;
        if !past {
            self.classes[class].arrivals.add(self.now, 1.0);
        }
        let tenant = arrival.tenant.map_or(usize::MAX, |tenant| tenant as usize);
        if let Some(asked) = self.tenant_arrivals.get_mut(tenant).filter(|_| !past) {
            asked.add(self.now, 1.0);
        }
        let over = self.over_quota_fraction(tenant);
        let over = over > 0.0 && self.random_unit() < over;
        if let Some(request) = self.requests.get_mut(&arrival.request) {
            request.over_quota = over;
        }
        if past {
            self.end_unserved(
                arrival.request,
                RejectReason::PastTarget,
                self.settings.limits.max_retry_after,
                actions,
            );
            return;
        }
        self.dispatch_or_queue(arrival.request, actions);
    }

    /// The contract gate: whether this request may be sent to this backend now. Every send passes it.
    pub(super) fn permits_send(&self, request: &Request, backend: &Backend) -> bool {
        // A wanted margin to the drain grace: nothing is sent once told.
        let in_service = backend.member.state == BackendState::InService;
        in_service
            && self.permits_attempt(request)
            && self.permits_backend(request, backend)
            && self.fits_slow_start_budget(backend, request)
            && self.advisor_allows(request, backend)
    }

    /// What the gate asks of the request alone.
    pub(super) fn permits_attempt(&self, request: &Request) -> bool {
        let live = matches!(request.phase, RequestPhase::Open | RequestPhase::Queued)
            && self.now < request.not_after;
        let alone = self.settings.limits.hedging || !request.attempts.iter().any(Attempt::is_in_flight);
        let ran = request.attempts.iter().any(Attempt::may_have_run);
        let effect = self.settings.classes[request.class].idempotency;
        live && alone && self.has_attempts_left(request) && !(ran && effect == Idempotency::NonIdempotent)
    }

    fn permits_backend(&self, request: &Request, backend: &Backend) -> bool {
        let ran = request.attempts.iter().find(|attempt| attempt.may_have_run());
        let (Idempotency::Keyed { scope: group, window }, Some(first)) =
            (self.settings.classes[request.class].idempotency, ran)
        else {
            return true;
        };
        let same = match group {
            IdempotencyScope::All => true,
            IdempotencyScope::Zone => first.zone == backend.member.zone,
            IdempotencyScope::Cell => first.cell == backend.member.cell,
        };
        same && self.now + self.settings.quantum < first.sent_at.saturating_add(window)
    }

    /// The one place that sends. False where the gate forbids it.
    pub(super) fn send(&mut self, id: RequestId, to: BackendId, actions: &mut Vec<Action>) -> bool {
        let (crowd, gate) = (self.nodes_per_zone(), self.requests.get(&id).zip(self.backends.get(&to)));
        if !gate.is_some_and(|(request, backend)| self.permits_send(request, backend)) {
            return false;
        }
        self.set_phase(id, RequestPhase::Open);
        let (Some(request), Some(backend)) = (self.requests.get_mut(&id), self.backends.get_mut(&to)) else {
            return false;
        };
        request.attempts.push(Attempt {
            backend: to,
            zone: backend.member.zone,
            cell: backend.member.cell,
            sent_at: self.now,
            load_at_send: backend.load(crowd),
            outcome: None,
            counted_late: false,
        });
        backend.in_flight += 1;
        self.counters.count_send(
            self.zones
                .get(backend.member.zone.0 as usize)
                .is_some_and(|z| backend.subset_rank > z.subset_cutoff),
        );
        let zone = backend.member.zone;
        if backend.capacity_share(self.now, &self.settings.rules) < 1.0 {
            backend.slow_start_sends.push_back((self.now, request.slow_start_work));
        }
        if let Health::Ejected { .. } = backend.health {
            backend.health = Health::HalfOpen { served: 0 };
        }
        if backend.health != Health::Healthy {
            self.invalidate_zone_utilisation(zone);
        }
        actions.push(Action::Send { request: id, backend: to, timeout: None });
        self.notify_advisor(id, to);
        if let Some(view) = self.zones.get_mut(zone.0 as usize) {
            view.add_in_flight(self.now, 1.0, UTILISATION_TIME_CONSTANT);
            view.window.last_sent_at = self.now;
        }
        true
    }

    /// The one place that ends requests: refused where trying again does no harm, failed otherwise.
    pub(super) fn end_unserved(
        &mut self,
        id: RequestId,
        why: RejectReason,
        pause: Nanos,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get(&id) else { return };
        self.counters.count_unserved(why);
        if self.now < request.target_at {
            self.unserved.add(self.now, 1.0);
        }
        let ran = request.attempts.iter().any(Attempt::may_have_run);
        let refusable = match self.settings.classes[request.class].idempotency {
            Idempotency::Idempotent | Idempotency::Keyed { scope: IdempotencyScope::All, .. } => true,
            Idempotency::Keyed { .. } | Idempotency::NonIdempotent => !ran,
        };
        actions.push(if refusable {
            Action::Reject { request: id, retry_after: pause.min(self.settings.limits.max_retry_after) }
        } else {
            Action::Fail { request: id }
        });
        self.cancel_attempts_in_flight(id, actions);
        self.end_request(id);
    }

    pub(super) fn cancel_attempts_in_flight(&self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id).filter(|_| self.settings.limits.cancellation) else {
            return;
        };
        let out = request.attempts.iter().zip(0..).filter(|(attempt, _)| attempt.is_in_flight());
        actions.extend(out.map(|(_, attempt)| Action::Cancel { request: id, attempt }));
    }

    /// Marks a request as ended; it is dropped once its last attempt has settled.
    pub(super) fn end_request(&mut self, id: RequestId) {
        self.set_phase(id, RequestPhase::Ended);
        let Some(request) = self.requests.get(&id) else { return };
        if !request.attempts.iter().any(Attempt::is_in_flight) {
            self.requests.remove(&id);
        }
    }

    pub(super) fn on_attempt_end(&mut self, settled: AttemptEnd, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&settled.request) else { return };
        let (class, cost, aim_end) = (request.class, request.expected_work, request.target_at);
        let Some(attempt) = request.attempts.get_mut(settled.attempt as usize).filter(|a| a.is_in_flight())
        else {
            return;
        };
        attempt.outcome = Some(settled.outcome);
        self.counters.count_outcome(settled.outcome);
        let (to, load, zone) = (attempt.backend, attempt.load_at_send, attempt.zone);
        let (sent, overdue) = (attempt.sent_at, attempt.counted_late);
        let open = request.phase != RequestPhase::Ended;
        if !overdue {
            self.update_window(zone, class, sent, settled.outcome);
        }
        let view = self.zones.get_mut(zone.0 as usize);
        view.into_iter().for_each(|view| view.add_in_flight(self.now, -1.0, UTILISATION_TIME_CONSTANT));
        self.learn_from_attempt(to, class, cost, load, &settled);
        // A client with little time ends an attempt early: that is no fault of the backend's.
        let early = (settled.elapsed as f64) < TIMEOUT_FAULT_RATIO * self.expected_latency(class, 1.0);
        if settled.outcome != Outcome::TimedOut || !early {
            self.update_health(to, settled.outcome, actions);
        }
        self.apply_load_report(to, settled.report);
        if let Some(probes) = self.probe_scheduler.as_mut().filter(|_| settled.report.utilisation.is_some()) {
            probes.told(to.0, self.now);
        }
        if settled.request_ended || !open {
            if open && settled.outcome == Outcome::Served && (self.now <= aim_end || !self.has_many_nodes()) {
                self.classes[class].served.add(self.now, 1.0);
            }
            if open {
                self.cancel_attempts_in_flight(settled.request, actions);
            }
            self.end_request(settled.request);
        } else {
            self.retry_or_end(settled.request, actions);
        }
        self.dispatch_pending(actions);
    }
}
