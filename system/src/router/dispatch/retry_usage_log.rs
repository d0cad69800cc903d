//! Logs a service's retry usage, from which operators see how much of the service's retry budget was used. A repeat is a retry after an
//! attempt that had reached a server.

use ivyhatch_balancer::RetryUsage;
use ivyhatch_protocol::{Nanos, SECOND};

/// Minimum time between two log lines of a service if repeats were made or denied since the last line.
const ACTIVE_INTERVAL: Nanos = SECOND;
/// Minimum time between two log lines of a service without repeats. Such lines are needed too, as the budget is a ratio of the requests.
const IDLE_INTERVAL: Nanos = 5 * SECOND;

/// The retry usage in the last log line of a service, and the time of that line.
#[derive(Default)]
pub struct RetryUsageLog {
    logged_at: Nanos,
    logged: RetryUsage,
}

impl RetryUsageLog {
    /// Returns the fields of the next log line, or `None` if no line is due. `scripts/retry-usage.py` reads these fields.
    pub fn next_line(&mut self, now: Nanos, usage: RetryUsage) -> Option<String> {
        let is_idle =
            usage.repeats == self.logged.repeats && usage.denied_repeats == self.logged.denied_repeats;
        let interval = if is_idle { IDLE_INTERVAL } else { ACTIVE_INTERVAL };
        if usage == self.logged || now < self.logged_at + interval {
            return None;
        }
        self.logged_at = now;
        self.logged = usage;
        Some(format!(
            "requests={} repeats={} after_misdirected={} unpaid={} denied={}",
            usage.requests,
            usage.repeats,
            usage.repeats_after_misdirected,
            usage.unpaid_repeats,
            usage.denied_repeats,
        ))
    }
}

#[cfg(test)]
#[path = "retry_usage_log_tests.rs"]
mod tests;
