//! Concurrency windows: limit the requests that one of many nodes has in flight in a zone. A node does not
//! see the traffic of the others, so each adapts its window to the latency of its own responses; together the
//! windows converge to the capacity of the zone (additive increase, multiplicative decrease).

use super::tuning::{
    BACKEND_WINDOW_SKEW, CONGESTION_RISE, IDLE_LOAD, LOWER_PRIORITY_SHARE, MAX_CONGESTION_THRESHOLD,
    MAX_IDLE_SLOWNESS, MIN_CONGESTION_THRESHOLD, MIN_WINDOW, MIN_WINDOW_SAMPLES, SUBSET_SIZE,
    WINDOW_DECREASE_FACTOR, WINDOW_IDLE_DECAY, WINDOW_INCREASE, WINDOW_LATENCY_TIME_CONSTANT,
    WINDOW_SLOW_START_INCREASE,
};
use crate::api::{BackendId, Nanos, Outcome, ZoneId};
use crate::estimators::Ewma;
use crate::state::{Attempt, Backend, Balancer, ConcurrencyWindow, Request};

/// An attempt in flight whose latency target has passed.
struct OverdueAttempt {
    zone: ZoneId,
    backend: BackendId,
    class: usize,
    sent_at: Nanos,
    load_at_send: f64,
}

impl ConcurrencyWindow {
    /// Records the latency of a response as a fraction of its target, capped at 1. A mean above `threshold`
    /// is congestion. `in_flight` is the number of this node's attempts in flight in the zone.
    fn record_latency(&mut self, now: Nanos, fraction: f64, threshold: f64, in_flight: f64) {
        let min_weight = 0.5 / f64::from(MIN_WINDOW_SAMPLES);
        self.latency_fraction.update(now, fraction, WINDOW_LATENCY_TIME_CONSTANT, min_weight);
        self.samples += 1;
        let is_congested = self.latency_fraction.value > threshold;
        if is_congested && self.samples >= MIN_WINDOW_SAMPLES {
            self.decrease(now);
        } else if self.latency_fraction.value <= threshold && in_flight + 1.0 > self.size {
            self.increase();
        } else if self.latency_fraction.value <= threshold {
            self.size -= (self.size - in_flight.max(self.idle_size)) * WINDOW_IDLE_DECAY;
        }
    }

    fn decrease(&mut self, now: Nanos) {
        self.size = (self.size * WINDOW_DECREASE_FACTOR).max(MIN_WINDOW);
        self.latency_fraction = Ewma::default();
        self.samples = 0;
        self.decreased_at = now;
        self.slow_start_done = true;
    }

    /// Each response increases the window by its part of the increase of one round.
    fn increase(&mut self) {
        let increase = if self.slow_start_done { WINDOW_INCREASE } else { WINDOW_SLOW_START_INCREASE };
        self.size += self.size.min(1.0) * increase;
    }
}

impl Balancer {
    /// Whether the request fits into the zone's window, and into the part of the window that one backend may
    /// hold. `time_left` is in nanoseconds.
    pub(super) fn fits_window(
        &self,
        request: &Request,
        time_left: f64,
        slowness: f64,
        backend: &Backend,
    ) -> bool {
        let zone = &self.zones[backend.member.zone.0 as usize];
        // Slow start has a budget of its own: reduced capacity during warm-up must not count as slowness.
        let slowness = slowness * backend.capacity_share(self.now, &self.settings.rules);
        let ConcurrencyWindow { size, last_sent_at, .. } = zone.window;
        let limit = size * self.window_share(request);
        let backend_limit = (BACKEND_WINDOW_SKEW * size / SUBSET_SIZE as f64).max(1.0);
        // A window below 1 allows one request per 1 / size response times.
        let spacing = (1.0 / size - 1.0).max(0.0) * self.expected_latency(request.class, IDLE_LOAD);
        zone.in_flight + 1.0 <= limit.max(1.0)
            && self.now >= last_sent_at + spacing as Nanos
            && (f64::from(backend.in_flight) + 1.0) * slowness <= backend_limit.max(slowness)
            && (slowness < MAX_IDLE_SLOWNESS
                || slowness * self.expected_latency(request.class, 0.0)
                    <= self.latency_budget_share(request) * time_left)
    }

    /// Share of a window that the request may use, reduced for each class that is more valuable than its own
    /// and for a request over its tenant's quota.
    fn window_share(&self, request: &Request) -> f64 {
        let value = self.classes[request.class].value_density;
        let more_valuable = self.classes.iter().filter(|class| class.value_density > value).count();
        LOWER_PRIORITY_SHARE.powi(more_valuable as i32 + i32::from(request.over_quota))
    }

    /// Updates the window of a zone after the end of an attempt in the zone.
    pub(super) fn update_window(&mut self, zone: ZoneId, class: usize, sent_at: Nanos, outcome: Outcome) {
        let target = self.settings.classes[class].latency_target;
        let fraction = match outcome {
            Outcome::Served => (self.now - sent_at) as f64 / target as f64,
            Outcome::TimedOut | Outcome::Rejected => 1.0,
            _ => return,
        };
        let threshold = self.congestion_threshold();
        let Some(view) = self.zones.get_mut(zone.0 as usize) else { return };
        if sent_at >= view.window.decreased_at {
            view.window.record_latency(self.now, fraction.min(1.0), threshold, view.in_flight);
        }
    }

    /// Mean latency, as a fraction of its target, above which a zone is congested.
    fn congestion_threshold(&self) -> f64 {
        let threshold_for = |baseline: f64| {
            (CONGESTION_RISE * baseline).clamp(MIN_CONGESTION_THRESHOLD, MAX_CONGESTION_THRESHOLD)
        };
        self.congestion.baseline().map_or(MAX_CONGESTION_THRESHOLD, threshold_for)
    }

    /// Records attempts in flight as late once their latency target has passed: by the time a late attempt
    /// ends, the congestion that it indicates is old.
    pub(super) fn record_overdue_attempts(&mut self) {
        for attempt in self.take_overdue_attempts() {
            self.update_window(attempt.zone, attempt.class, attempt.sent_at, Outcome::TimedOut);
            let expected = self.expected_latency(attempt.class, attempt.load_at_send).max(1.0);
            let ratio = (self.now - attempt.sent_at) as f64 / expected;
            self.record_late_attempt(attempt.backend, ratio);
        }
    }

    fn take_overdue_attempts(&mut self) -> Vec<OverdueAttempt> {
        let mut overdue = Vec::new();
        for request in self.requests.values_mut() {
            let class = request.class;
            let overdue_if_sent_by = self.now.saturating_sub(self.settings.classes[class].latency_target);
            let is_overdue = |attempt: &Attempt| {
                attempt.is_in_flight() && !attempt.recorded_late && attempt.sent_at <= overdue_if_sent_by
            };
            for attempt in request.attempts.iter_mut().filter(|attempt| is_overdue(attempt)) {
                attempt.recorded_late = true;
                overdue.push(OverdueAttempt {
                    zone: attempt.zone,
                    backend: attempt.backend,
                    class,
                    sent_at: attempt.sent_at,
                    load_at_send: attempt.load_at_send,
                });
            }
        }
        overdue
    }
}
