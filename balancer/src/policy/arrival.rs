//! Arrivals: a request is added to the request table, and is rejected, dispatched or queued.

use super::tuning::{RETRIES_PER_UNSERVED, SHORT_TIMEOUT_DIVISOR, WORK_SMOOTHING};
use crate::api::{Action, Arrival, Nanos, RequestId};
use crate::counters::RejectReason;
use crate::state::{Balancer, Request, RequestPhase};

impl Balancer {
    /// Handles an arrival. A request past its latency target, or one that the backends cannot serve in time,
    /// is rejected before it costs the backends any work; otherwise retries of late requests would sustain
    /// congestion.
    pub(super) fn on_arrival(&mut self, arrival: Arrival, actions: &mut Vec<Action>) {
        let id = arrival.request;
        let class = (arrival.class.0 as usize).min(self.classes.len() - 1);
        let request = self.new_request(&arrival, class);
        let is_late = request.target_at <= self.now && self.late_response_is_worthless(class);
        self.requests.insert(id, request);
        self.earn_retries();
        self.refresh_overflow_zones(actions);
        if let Some(scheduler) = self.probe_scheduler.as_mut() {
            scheduler.on_request(self.now);
        }
        self.counters.arrivals += 1;
        self.retry_usage.requests += 1;
        let tenant = arrival.tenant.map_or(usize::MAX, |tenant| tenant as usize);
        if !is_late {
            self.count_arrival(class, tenant);
        }
        self.draw_over_quota(id, tenant);
        if is_late {
            let retry_after = self.settings.limits.max_retry_after;
            self.end_unserved(id, RejectReason::PastTarget, retry_after, actions);
        } else {
            self.dispatch_or_queue(id, actions);
        }
    }

    fn new_request(&mut self, arrival: &Arrival, class: usize) -> Request {
        let view = &mut self.classes[class];
        let expected_work = arrival.expected_work.map_or(view.idle_latency, |work| work as f64).max(1.0);
        let smoothing = if view.mean_work > 0.0 { WORK_SMOOTHING } else { 1.0 };
        view.mean_work += (expected_work - view.mean_work) * smoothing;
        // Expected work is a rough estimate. A small budget admits mostly requests with a low estimate, and
        // these tend to be underestimated.
        let slow_start_work = expected_work.max(view.mean_work);
        let timeout = arrival.not_after.saturating_sub(self.now);
        let first_sent_at = self.first_sent_at(arrival, class, timeout);
        let class_settings = &self.settings.classes[class];
        let max_queue_time = class_settings.max_queue_time.unwrap_or(timeout / 2).min(timeout);
        Request {
            id: arrival.request,
            class,
            expected_work,
            slow_start_work,
            target_at: arrival.not_after.min(first_sent_at + class_settings.latency_target),
            queue_until: self.now + max_queue_time,
            not_after: arrival.not_after,
            attempts: Vec::new(),
            phase: RequestPhase::Open,
            queue_entry: None,
            over_quota: false,
        }
    }

    /// When the client first sent the request; the latency target counts from this time.
    ///
    /// A timeout well below the longest one of the class indicates a retry that is bounded by the client's
    /// deadline, from which the time of the first send follows. A slightly shorter timeout does not: arrival
    /// times jitter. If clients mark their retries, unmarked requests are first attempts, whatever their
    /// timeouts: a retry may get a longer timeout than a first attempt, which made first attempts look like
    /// late retries.
    fn first_sent_at(&mut self, arrival: &Arrival, class: usize, timeout: Nanos) -> Nanos {
        let may_be_retry = arrival.is_retry || !self.settings.clients_mark_retries;
        let view = &mut self.classes[class];
        view.longest_timeout = view.longest_timeout.max(timeout);
        let is_short = timeout < view.longest_timeout - view.longest_timeout / SHORT_TIMEOUT_DIVISOR;
        let is_suspected_retry = may_be_retry && self.late_response_is_worthless(class) && is_short;
        // Suspected retries in excess of what unserved requests explain are first attempts of clients whose
        // timeouts have become shorter.
        let max_retries = 1.0 + RETRIES_PER_UNSERVED * self.unserved.per_second(self.now);
        let is_retry = is_suspected_retry && self.suspected_retries.per_second(self.now) <= max_retries;
        self.suspected_retries.add(self.now, if is_suspected_retry { 1.0 } else { 0.0 });
        if is_retry {
            let deadline = self.settings.classes[class].deadline;
            arrival.not_after.saturating_sub(deadline).min(self.now)
        } else {
            self.now
        }
    }

    /// Whether a response after the latency target has no value.
    fn late_response_is_worthless(&self, class: usize) -> bool {
        self.settings.classes[class].late_value_share == 0.0
    }

    fn count_arrival(&mut self, class: usize, tenant: usize) {
        self.classes[class].arrivals.add(self.now, 1.0);
        if let Some(arrivals) = self.tenant_arrivals.get_mut(tenant) {
            arrivals.add(self.now, 1.0);
        }
    }

    /// Decides at random, by the tenant's fraction over quota, whether the request counts as over quota.
    fn draw_over_quota(&mut self, id: RequestId, tenant: usize) {
        let fraction = self.over_quota_fraction(tenant);
        let is_over_quota = fraction > 0.0 && self.random.next_unit() < fraction;
        if let Some(request) = self.requests.get_mut(&id) {
            request.over_quota = is_over_quota;
        }
    }
}
