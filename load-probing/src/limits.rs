//! The limits of a scheduler.

use crate::{MILLISECOND, Nanos, SECOND};

/// The limits of a scheduler.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Probes that each request adds to the budget; from 0 to 10.
    pub probes_per_request: f64,
    /// The most probes that are saved up, which is also the initial budget; from 1 to 1,000.
    pub max_saved_probes: f64,
    /// The most probes in flight; at least 1.
    pub max_in_flight: usize,
    /// The most probes in flight in one group; at least 1.
    pub max_in_flight_per_group: usize,
    /// The interval between two probes of a server, by [`crate::Priority`] in ascending order of priority;
    /// each at least 1 ms, and none longer than the one before.
    pub intervals: [Nanos; 4],
    /// The age at which a report is stale; above 0.
    pub report_ttl: Nanos,
    /// The size of the subset of servers that are probed.
    pub subset_size: SubsetSize,
    /// The time after which a probe without an outcome counts as unreachable; above 0, and longer than the
    /// probe timeout of the embedder.
    pub lost_after: Nanos,
}

/// The minimum and the maximum number of servers that are probed; the minimum is at least 1 and at most the
/// maximum.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubsetSize {
    /// The size of the subset even if the budget can't keep this many reports fresh.
    pub min: usize,
    /// The size that the subset never exceeds.
    pub max: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            probes_per_request: 0.1,
            max_saved_probes: 16.0,
            max_in_flight: 16,
            max_in_flight_per_group: 8,
            intervals: [2500 * MILLISECOND, 1200 * MILLISECOND, 700 * MILLISECOND, 500 * MILLISECOND],
            report_ttl: 4 * SECOND,
            subset_size: SubsetSize { min: 24, max: 512 },
            lost_after: 5 * SECOND,
        }
    }
}

/// A limit that is out of its range.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("load-probing limits: {field}: {problem}")]
pub struct LimitsError {
    /// The field that is out of range.
    pub field: &'static str,
    /// The condition that the value does not meet.
    pub problem: &'static str,
}

impl Limits {
    /// Checks the range of each field.
    pub(crate) fn validate(&self) -> Result<(), LimitsError> {
        let fail = |field, problem| Err(LimitsError { field, problem });
        if !(0.0..=10.0).contains(&self.probes_per_request) {
            return fail("probes_per_request", "must lie between 0 and 10");
        }
        if !(1.0..=1000.0).contains(&self.max_saved_probes) {
            return fail("max_saved_probes", "must lie between 1 and 1000");
        }
        if self.max_in_flight == 0 || self.max_in_flight_per_group == 0 {
            return fail("max_in_flight", "the total and the limit per group must each be at least 1");
        }
        let is_misordered = !self.intervals.is_sorted_by(|a, b| a >= b);
        if is_misordered || self.intervals.iter().any(|&interval| interval < MILLISECOND) {
            return fail("intervals", "must each be at least 1 ms, and none longer than the one before");
        }
        if self.subset_size.min == 0 || self.subset_size.min > self.subset_size.max {
            return fail("subset_size", "min must be at least 1 and at most max");
        }
        if self.report_ttl == 0 || self.lost_after == 0 {
            return fail("report_ttl, lost_after", "must each be above 0");
        }
        Ok(())
    }
}
