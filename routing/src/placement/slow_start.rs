//! Slow start: a server whose caches are cold is sent only so many requests a second, by all routers together.

use std::collections::VecDeque;

use ivyhatch_protocol::{MILLISECOND, Nanos};

use crate::router_share::RouterShare;

/// The window in which a server's requests are counted: a second, and a tenth for requests that are delayed on the way.
pub(super) const WINDOW: Nanos = 1100 * MILLISECOND;
/// The part of the limit that is used; the rest is for routers that are not known of yet.
const USED_FRACTION: f64 = 0.85;

/// The limit on a service's servers in slow start.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowStartLimit {
    /// Requests a second to one server, over all routers; 0 where there is no limit.
    pub requests_per_second: f64,
    /// How long a server may be in slow start after an evacuation of its zone has been withdrawn.
    pub duration: Nanos,
}

impl SlowStartLimit {
    pub(super) fn is_set(&self) -> bool {
        self.requests_per_second > 0.0
    }

    /// Requests a second that one router may send to the server with this hash. The shares of all routers add up to the limit and
    /// no more: the remainder of the division goes to some of the routers, to others for each server. A router that does not know
    /// its share has none.
    pub(super) fn for_router(&self, share: Option<RouterShare>, server_hash: u64) -> usize {
        let Some(share) = share else { return 0 };
        let (routers, index) = (u64::from(share.count.max(1)), u64::from(share.index));
        let total = (self.requests_per_second * USED_FRACTION) as u64;
        let rank = (index + server_hash % routers) % routers;
        let remainder = u64::from(rank < total % routers);
        (total / routers + remainder) as usize
    }
}

/// The slow start of one server.
#[derive(Debug, Default)]
pub(super) struct SlowStart {
    until: Nanos,
    sent_at: VecDeque<Nanos>,
}

impl SlowStart {
    /// Prolongs the slow start; one that lasts longer already is not shortened.
    pub(super) fn extend_until(&mut self, until: Nanos) {
        self.until = self.until.max(until);
    }

    pub(super) fn is_active(&self, now: Nanos) -> bool {
        now < self.until
    }

    /// Notes that a request is sent. Requests are counted at all times, as a server may turn cold after they were sent.
    pub(super) fn record_send(&mut self, now: Nanos) {
        self.sent_at.push_back(now);
        while self.sent_at.front().is_some_and(|sent_at| now >= sent_at + WINDOW) {
            self.sent_at.pop_front();
        }
    }

    /// Requests that were sent within the window.
    pub(super) fn recent_sends(&self, now: Nanos) -> usize {
        self.sent_at.iter().filter(|sent_at| now < *sent_at + WINDOW).count()
    }
}
