//! Log rate limiter: repeated warnings of one kind must neither fill the log nor take time to write.

use std::time::{Duration, Instant};

/// At most one line of a kind is written per interval.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Writes at most one line per [`LOG_INTERVAL`] and counts the suppressed ones. Each kind of line needs its own limiter.
#[derive(Default)]
pub struct LogRateLimiter {
    last_logged_at: Option<Instant>,
    suppressed: u64,
}

impl LogRateLimiter {
    /// Calls `write_line` with the number of lines suppressed since the last written line, unless that line was written less
    /// than [`LOG_INTERVAL`] ago.
    pub fn log(&mut self, write_line: impl FnOnce(u64)) {
        if self.last_logged_at.is_some_and(|at| at.elapsed() < LOG_INTERVAL) {
            self.suppressed += 1;
            return;
        }
        self.last_logged_at = Some(Instant::now());
        write_line(std::mem::take(&mut self.suppressed));
    }
}

#[cfg(test)]
#[path = "log_rate_limit_tests.rs"]
mod tests;
