//! Which of how many routers this one is, as the control nodes report it.

use ivyhatch_protocol::{Nanos, SECOND};

use crate::router_share::RouterShare;

/// A lower count is not believed until the higher one has not been reported for so long: a router's share of a common limit must
/// not grow on the report of a control node that is cut off from some of the routers.
const COUNT_RETENTION: Nanos = 30 * SECOND;

/// Takes a rise of the count at once, and a fall of it late.
#[derive(Debug)]
pub(super) struct RouterShareTracker {
    current: RouterShare,
    /// When a count at least as high as the current one was last reported.
    confirmed_at: Nanos,
}

impl RouterShareTracker {
    /// Nothing has been reported yet: the count is 0.
    pub(super) fn new(now: Nanos) -> Self {
        Self { current: RouterShare::default(), confirmed_at: now }
    }

    /// Takes a report in; a count of 0 is none. Returns the share where it has changed.
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
