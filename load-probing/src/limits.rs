//! The bounds of a scheduler.

use crate::{MILLISECOND, Nanos, SECOND};

/// The bounds of a scheduler.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Probes earned by each arrival; 0 to 10.
    pub probes_per_request: f64,
    /// Most probes saved up, with which the scheduler also starts; 1 to 1,000.
    pub max_saved_probes: f64,
    /// Most probes in flight together; at least 1.
    pub max_in_flight: usize,
    /// Most probes in flight together in one group; at least 1.
    pub max_in_flight_per_group: usize,
    /// The interval between two probes of a server in nanoseconds, by [`Priority`](crate::Priority), the
    /// lowest first; each at least 1 ms, none longer than the one before.
    pub intervals: [Nanos; 4],
    /// An older report says nothing, in nanoseconds.
    pub report_max_age: Nanos,
    /// Fewest servers tracked; at least 1.
    pub min_tracked: usize,
    /// Most servers tracked; at least `min_tracked`.
    pub max_tracked: usize,
    /// A probe that has not ended after this time, in nanoseconds, never will; more than the prober's own
    /// timeout.
    pub lost_after: Nanos,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            probes_per_request: 0.1,
            max_saved_probes: 16.0,
            max_in_flight: 16,
            max_in_flight_per_group: 8,
            intervals: [2500 * MILLISECOND, 1200 * MILLISECOND, 700 * MILLISECOND, 500 * MILLISECOND],
            report_max_age: 4 * SECOND,
            min_tracked: 24,
            max_tracked: 512,
            lost_after: 5 * SECOND,
        }
    }
}

/// Limits that cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("probing: {field}: {problem}")]
pub struct LimitsError {
    /// The field at fault.
    pub field: &'static str,
    /// What would be right.
    pub problem: &'static str,
}

impl Limits {
    pub(crate) fn validate(&self) -> Result<(), LimitsError> {
        let fail = |field, problem| Err(LimitsError { field, problem });
        if !(0.0..=10.0).contains(&self.probes_per_request) {
            return fail("probes_per_request", "must lie between 0 and 10");
        }
        if !(1.0..=1000.0).contains(&self.max_saved_probes) {
            return fail("max_saved_probes", "must lie between 1 and 1000");
        }
        if self.max_in_flight == 0 || self.max_in_flight_per_group == 0 {
            return fail("max_in_flight", "must be at least 1");
        }
        let too_short = self.intervals.iter().any(|&interval| interval < MILLISECOND);
        if too_short || !self.intervals.is_sorted_by(|a, b| a >= b) {
            return fail("intervals", "must be at least 1 ms, the longest first");
        }
        if self.min_tracked == 0 || self.min_tracked > self.max_tracked {
            return fail("min_tracked", "must be at least 1 and at most max_tracked");
        }
        if self.report_max_age == 0 || self.lost_after == 0 {
            return fail("report_max_age, lost_after", "must be above 0");
        }
        Ok(())
    }
}
