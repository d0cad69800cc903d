use std::time::Instant;

use super::{LOG_INTERVAL, LogRateLimiter};

/// Guards against a log filled by a warning that is raised for every request.
#[test]
fn burst_of_warnings_writes_one_line_and_counts_the_suppressed_ones() {
    let (mut limiter, mut lines) = (LogRateLimiter::default(), Vec::new());
    (0..1000).for_each(|_| limiter.log(|suppressed| lines.push(suppressed)));
    assert_eq!((lines.as_slice(), limiter.suppressed), ([0].as_slice(), 999));
    limiter.last_logged_at = Instant::now().checked_sub(LOG_INTERVAL);
    limiter.log(|suppressed| lines.push(suppressed));
    assert_eq!(lines, [0, 999]);
}
