//! Slow start: the total rate of requests that all routers send to a server with cold caches is limited.

use std::collections::VecDeque;

use ivyhatch_protocol::{MILLISECOND, Nanos};

use crate::router_share::RouterShare;

/// The window in which the requests to a server are counted: one second, plus 100 ms for requests that are delayed in the network.
pub(super) const WINDOW: Nanos = 1100 * MILLISECOND;
/// The fraction of the limit that is divided among the known routers; the rest is reserved for routers that are not yet known.
const USED_FRACTION: f64 = 0.85;

/// The limit on requests to each server of a service that is in slow start.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowStartLimit {
    /// Requests per second to one server, in total over all routers; 0 means no limit.
    pub requests_per_second: f64,
    /// The duration of a server's slow start after the evacuation of its zone has ended.
    pub duration: Nanos,
}

impl SlowStartLimit {
    pub(super) fn is_set(&self) -> bool {
        self.requests_per_second > 0.0
    }

    /// Requests per second that one router may send to the server with this hash. The shares of all routers add up to the usable
    /// part of the limit and not more: the remainder of the division is given to some of the routers, to different ones for
    /// different servers. A router that does not know its share may send none.
    pub(super) fn for_router(&self, share: Option<RouterShare>, server_hash: u64) -> usize {
        let Some(share) = share else { return 0 };
        let (routers, index) = (u64::from(share.count.max(1)), u64::from(share.index));
        let total = (self.requests_per_second * USED_FRACTION) as u64;
        let rank = (index + server_hash % routers) % routers;
        let remainder = u64::from(rank < total % routers);
        (total / routers + remainder) as usize
    }
}

/// The slow start state of one server.
#[derive(Debug, Default)]
pub(super) struct SlowStart {
    until: Nanos,
    sent_at: VecDeque<Nanos>,
}

impl SlowStart {
    /// Extends the slow start to `until`; a later end is kept.
    pub(super) fn extend_until(&mut self, until: Nanos) {
        self.until = self.until.max(until);
    }

    pub(super) fn is_active(&self, now: Nanos) -> bool {
        now < self.until
    }

    /// Records that a request is sent. Requests are counted outside slow start as well, because a slow start may begin after they were
    /// sent.
    pub(super) fn record_send(&mut self, now: Nanos) {
        self.sent_at.push_back(now);
        while self.sent_at.front().is_some_and(|sent_at| now >= sent_at + WINDOW) {
            self.sent_at.pop_front();
        }
    }

    /// The number of requests that were sent within the window before `now`.
    pub(super) fn recent_sends(&self, now: Nanos) -> usize {
        self.sent_at.iter().filter(|sent_at| now < *sent_at + WINDOW).count()
    }
}
