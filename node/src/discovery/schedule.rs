//! Decides when to call discovery, how long a call's long poll is, and when a call without a response times out. No I/O: the
//! caller supplies the time and reports how calls ended.
//!
//! If one discovery service serves all nodes, nodes that start together call together and are rejected together, so each node
//! waits for a random part of a span (full jitter; docs/incidents/fleet-herd.md). Watches also become unresponsive all at
//! once; this is detected at the end of their long polls, whose lengths are random for the same reason
//! (docs/incidents/narrow-moments.md). A change that a watch has missed counts as notified from a known time on, whether or not
//! the node has received it: until then another call matters more than a low load on discovery, and delays are shortened.

use std::time::Duration;

use ivyhatch_balancer::hash_mix;

/// The time that each node adds to the span over which calls are spread: a discovery service needs some hundredths of a second
/// per call, and serves one call after the other. Three nodes hardly wait; the calls of a hundred nodes that start together are
/// spread over five seconds.
const SPREAD_PER_NODE: Duration = Duration::from_millis(50);
/// The longest long poll at an agent on the node's own machine, where a call costs little and an unresponsive agent should be
/// detected soon. The shortest long poll is half as long.
const MAX_LONG_POLL_LOCAL: Duration = Duration::from_secs(3);
/// The longest long poll if all nodes call one service. The shortest is half as long.
const MAX_LONG_POLL_SHARED: Duration = Duration::from_secs(20);
/// Set by the discovery protocol: a change that an unresponsive call misses counts as notified this long after the call became
/// unresponsive, or [`NOTIFIED_AFTER_LONG_POLL`] after the end of its long poll if that is later.
const NOTIFIED_AFTER_SILENCE: Duration = Duration::from_secs(6);
const NOTIFIED_AFTER_LONG_POLL: Duration = Duration::from_secs(2);
/// Set by the discovery protocol: a change during a move of discovery counts as notified this long after the move.
const NOTIFIED_AFTER_MOVE: Duration = Duration::from_secs(4);
/// A watch times out this long after the end of its long poll. Discovery ends long polls to the millisecond. A quarter of the time
/// until a missed change counts as notified is left for a slow network, the rest for the next call.
const LONG_POLL_OVERDUE_AFTER: Duration = Duration::from_millis(500);
/// The timeout of a call for the full list. The call may wait in discovery's queue, which rejects calls that have waited for a
/// second or two.
const FULL_LIST_TIMEOUT: Duration = Duration::from_secs(3);
/// The longest time that a connect to discovery may take.
const MAX_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The first and the longest delay of the exponential backoff after consecutive failures.
#[derive(Clone, Copy)]
struct BackoffBounds {
    initial: Duration,
    max: Duration,
}

const BACKOFF_LOCAL: BackoffBounds =
    BackoffBounds { initial: Duration::from_millis(50), max: Duration::from_millis(800) };
/// Longer than [`BACKOFF_LOCAL`], as all nodes call one service.
const BACKOFF_SHARED: BackoffBounds =
    BackoffBounds { initial: Duration::from_millis(300), max: Duration::from_millis(4800) };
/// The largest exponent of the backoff; prevents an overflow, and is far above the exponents at which the bounds are reached.
const MAX_DOUBLINGS: u32 = 16;

/// Why a call ended without a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// The call was rejected, its connection failed, or its response was no list.
    Error,
    /// No response arrived within the call's timeout.
    TimedOut,
}

/// What a call requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// The changes since a revision, by a long poll.
    Watch,
    /// The full list at once.
    FullList,
}

/// How long one call may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallTimeouts {
    /// How long a watch asks discovery to wait for a change.
    pub long_poll: Duration,
    /// The timeout of the call, from its start.
    pub call: Duration,
}

/// Schedules a node's calls to discovery. All times are since an origin that the caller chooses.
pub struct DiscoverySchedule {
    max_long_poll: Duration,
    backoff: BackoffBounds,
    /// The span over which the calls of all nodes are spread.
    spread: Duration,
    max_spread: Duration,
    /// Whether a call has been made or discovery has moved.
    has_called: bool,
    consecutive_failures: u32,
    /// Whether the last call was a watch that has not failed with an error.
    last_watch_silent: bool,
    /// When changes that the current call may miss count as notified.
    current_call_notified_at: Duration,
    /// When changes that a call or a move has missed count as notified; `None` if nothing was missed.
    missed_notified_at: Option<Duration>,
    random_state: u64,
}

impl DiscoverySchedule {
    /// A schedule for one of `nodes` nodes that share a discovery service and must call at least every `max_poll_interval`. `seed`
    /// should differ between nodes.
    pub fn for_shared_service(nodes: u32, max_poll_interval: Duration, seed: u64) -> Self {
        let max_spread = max_poll_interval / 2;
        let spread = (SPREAD_PER_NODE * nodes.saturating_sub(1)).min(max_spread);
        // The list of a node whose call has failed expires after four times `max_poll_interval`: the node must have called again
        // by then. The delay never reaches zero, so that calls that are rejected at once make no tight loop.
        let bounded = |delay: Duration| delay.min(max_spread).max(BACKOFF_LOCAL.initial);
        let backoff =
            BackoffBounds { initial: bounded(BACKOFF_SHARED.initial), max: bounded(BACKOFF_SHARED.max) };
        Self::new(MAX_LONG_POLL_SHARED, backoff, spread, max_spread, seed)
    }

    /// A schedule for a discovery agent on the node's own machine. Failed calls are retried so often that the first list of a
    /// restarted agent arrives well within `drain_grace`; after that nothing may be sent to a backend that drains by that list.
    pub fn for_local_agent(drain_grace: Duration, seed: u64) -> Self {
        let max = (drain_grace / 4).clamp(BACKOFF_LOCAL.initial, BACKOFF_LOCAL.max);
        let backoff = BackoffBounds { initial: BACKOFF_LOCAL.initial, max };
        Self::new(MAX_LONG_POLL_LOCAL, backoff, Duration::ZERO, Duration::ZERO, seed)
    }

    fn new(
        max_long_poll: Duration,
        backoff: BackoffBounds,
        spread: Duration,
        max_spread: Duration,
        seed: u64,
    ) -> Self {
        Self {
            max_long_poll,
            backoff,
            spread,
            max_spread,
            has_called: false,
            consecutive_failures: 0,
            last_watch_silent: false,
            current_call_notified_at: Duration::ZERO,
            missed_notified_at: None,
            random_state: seed,
        }
    }

    /// The timeout of a connect to discovery: no longer than the longest backoff delay.
    pub fn connect_timeout(&self) -> Duration {
        MAX_CONNECT_TIMEOUT.min(self.backoff.max)
    }

    /// Records the start of a call, and returns the call's timeouts.
    pub fn start_call(&mut self, now: Duration, kind: CallKind) -> CallTimeouts {
        self.has_called = true;
        let long_poll = self.max_long_poll.mul_f64(0.5 + 0.5 * self.random());
        self.last_watch_silent = kind == CallKind::Watch;
        let (notified_after, call) = match kind {
            CallKind::FullList => (NOTIFIED_AFTER_SILENCE, FULL_LIST_TIMEOUT),
            CallKind::Watch => (
                NOTIFIED_AFTER_SILENCE.max(long_poll + NOTIFIED_AFTER_LONG_POLL),
                long_poll + LONG_POLL_OVERDUE_AFTER,
            ),
        };
        self.current_call_notified_at = now + notified_after;
        CallTimeouts { long_poll, call }
    }

    /// Records that the call has returned a list.
    pub fn call_succeeded(&mut self) {
        self.consecutive_failures = 0;
        self.missed_notified_at = None;
    }

    /// Records that the call has returned no list.
    pub fn call_failed(&mut self, failure: CallFailure) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.last_watch_silent &= failure == CallFailure::TimedOut;
        if failure == CallFailure::TimedOut {
            self.missed_notified_at.get_or_insert(self.current_call_notified_at);
        }
    }

    /// Records that discovery has moved to another address.
    pub fn discovery_moved(&mut self, now: Duration) {
        self.has_called = true;
        self.consecutive_failures = 0;
        self.missed_notified_at = Some(now + NOTIFIED_AFTER_MOVE);
    }

    /// The delay before the next call.
    pub fn next_delay(&mut self, now: Duration) -> Duration {
        if self.consecutive_failures == 0 {
            // The next call follows a list at once: discovery counts a watch as continued for 200 ms after its end, and changes
            // within that time as notified. The same applies to a move.
            return if self.has_called { Duration::ZERO } else { self.spread.mul_f64(self.random()) };
        }
        if self.consecutive_failures == 1 && self.last_watch_silent {
            return Duration::ZERO;
        }
        let delay = self.backoff_delay();
        match self.missed_notified_at.and_then(|notified_at| notified_at.checked_sub(now)) {
            // Half of the remaining time is left for the call itself.
            Some(left) => delay.min((left / 2).mul_f64(self.random()).max(self.backoff.initial)),
            None => delay,
        }
    }

    /// Exponential backoff with jitter, plus a random part of the nodes' spread, which grows with each failure.
    fn backoff_delay(&mut self) -> Duration {
        let doubled = |span: Duration, times: u32| span.saturating_mul(1 << times.min(MAX_DOUBLINGS));
        let BackoffBounds { initial, max } = self.backoff;
        let backoff =
            doubled(initial, self.consecutive_failures - 1).min(max).mul_f64(0.75 + 0.5 * self.random());
        let spread = doubled(self.spread, self.consecutive_failures).min(self.max_spread);
        backoff + spread.mul_f64(self.random())
    }

    /// A uniform random number from 0 up to, but not including, 1, by SplitMix64.
    fn random(&mut self) -> f64 {
        self.random_state = self.random_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        (hash_mix(self.random_state) >> 11) as f64 / (1u64 << 53) as f64
    }
}

#[cfg(test)]
#[path = "schedule_tests.rs"]
mod tests;
