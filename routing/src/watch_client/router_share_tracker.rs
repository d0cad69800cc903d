//! Tracks the number of routers and this router's index, as reported by the control nodes.

use ivyhatch_protocol::{Nanos, SECOND};

use crate::router_share::RouterShare;

/// A lower count is adopted only after no count as high as the current one has been reported for this time: a router's share of a
/// common limit must not grow on the report of a control node that is partitioned from some of the routers.
const COUNT_RETENTION: Nanos = 30 * SECOND;

/// Adopts an increase of the count at once, and a decrease after [`COUNT_RETENTION`].
#[derive(Debug)]
pub(super) struct RouterShareTracker {
    current: RouterShare,
    /// The time when a count at least as high as the current one was last reported.
    confirmed_at: Nanos,
}

impl RouterShareTracker {
    /// Creates a tracker without a report; the count is 0.
    pub(super) fn new(now: Nanos) -> Self {
        Self { current: RouterShare::default(), confirmed_at: now }
    }

    /// Processes a report; a report with a count of 0 is ignored. Returns the share if it has changed.
    pub(super) fn observe(&mut self, reported: RouterShare, now: Nanos) -> Option<RouterShare> {
        if reported.count >= self.current.count {
            self.confirmed_at = now;
        }
        let falls_early = reported.count < self.current.count && now < self.confirmed_at + COUNT_RETENTION;
        if reported.count == 0 || falls_early || reported == self.current {
            return None;
        }
        (self.current, self.confirmed_at) = (reported, now);
        Some(reported)
    }
}
