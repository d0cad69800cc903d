//! Log lines and snapshots for operators. No decision depends on them.

use crate::api::{Action, BackendId, BackendSnapshot, MILLISECOND, Nanos, SECOND, ZoneId};
use crate::counters::Counters;
use crate::retry_usage::RetryUsage;
use crate::state::{Backend, Balancer, Health, ZoneView};

/// Interval at which the counters are logged.
const COUNTERS_LOG_INTERVAL: Nanos = 5 * SECOND;

impl Balancer {
    /// Logs a line, unless another such line was logged within the last second.
    pub(crate) fn log_rate_limited(&mut self, actions: &mut Vec<Action>, text: impl FnOnce() -> String) {
        if self.now >= self.next_log_at {
            self.next_log_at = self.now + SECOND;
            actions.push(Action::Log(text()));
        }
    }

    /// Logs the counters since the last such line, and the age of the load reports. `scripts/fleet-count.py`
    /// parses these lines.
    pub(crate) fn log_counters(&mut self, actions: &mut Vec<Action>) {
        if self.now < self.counters.since + COUNTERS_LOG_INTERVAL {
            return;
        }
        let counters = std::mem::take(&mut self.counters);
        self.counters.since = self.now;
        if counters.since == 0 {
            return;
        }
        actions.push(Action::Log(self.counters_line(&counters)));
        actions.extend(self.load_reports_line().map(Action::Log));
    }

    fn counters_line(&self, counters: &Counters) -> String {
        let [past_target, queue_timeout, attempts_failed] = counters.unserved;
        let [served, error, invalid, rejected, timed_out, connect_failed, misdirected, reset, _, _] =
            counters.outcomes;
        let utilisation = |zone| match self.utilisation(ZoneId(zone)) {
            Some(utilisation) => format!("{utilisation:.2}"),
            None => "?".to_owned(),
        };
        let utilisation: Vec<String> = (0..self.settings.zones).map(utilisation).collect();
        let window = |zone: &ZoneView| format!("{:.1}/{:.0}", zone.window.size, zone.in_flight);
        let windows: Vec<String> = self.zones.iter().map(window).collect();
        format!(
            "in {} s: {} arrivals; unserved {past_target} past_target, {queue_timeout} queue_timeout, \
             {attempts_failed} attempts_failed; {} sent, {} outside_subset: {served} served, {error} error, \
             {invalid} invalid_response, {rejected} rejected, {timed_out} timed_out, \
             {connect_failed} connect_failed, {misdirected} misdirected, {reset} reset; {} of {} ejected; \
             zone utilisation {}; overflow share {:.2}; windows {}",
            COUNTERS_LOG_INTERVAL / SECOND,
            counters.arrivals,
            counters.sent,
            counters.sent_outside_subset,
            self.ejected_count,
            self.in_service_count,
            utilisation.join(" "),
            self.zones[self.settings.home.0 as usize].overflow_share,
            windows.join(" ")
        )
    }

    fn load_reports_line(&self) -> Option<String> {
        let stats = self.probe_scheduler.as_ref()?.stats(self.now);
        Some(format!(
            "load reports: {} of {} probed backends ({} listed) known, the oldest {} ms old; {} unreached; \
             {} probes so far",
            stats.fresh_reports,
            stats.subset,
            stats.candidates,
            stats.oldest_report_age / MILLISECOND,
            stats.unreachable,
            stats.probes_sent
        ))
    }

    /// The node's use of its retry budget since its start.
    pub fn retry_usage(&self) -> RetryUsage {
        self.retry_usage
    }

    /// Whether a backend is in service by the lists and by the removal notices that override them.
    pub fn is_in_service(&self, backend: BackendId) -> bool {
        self.backends.get(&backend).is_some_and(Backend::is_in_service)
    }

    /// The listed backends as this node sees them at `now`, in ascending order of id.
    pub fn backend_snapshots(&self, now: Nanos) -> Vec<BackendSnapshot> {
        let snapshot = |(id, backend): (&BackendId, &Backend)| BackendSnapshot {
            backend: *id,
            zone: backend.member.zone,
            in_flight: backend.in_flight,
            utilisation: backend
                .utilisation
                .updated_at
                .map(|at| (backend.utilisation.value, now.saturating_sub(at))),
            slowness: backend.slowness(now, &self.settings.rules),
            ejected: backend.health != Health::Healthy,
            capacity_share: backend.capacity_share(now, &self.settings.rules),
        };
        self.backends.iter().map(snapshot).collect()
    }
}
