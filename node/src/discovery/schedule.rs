//! Decides when to call discovery, how long a call may wait there, and when a silent call is abandoned. No I/O: the caller
//! supplies the time and reports how calls ended.
//!
//! Where one discovery service serves all nodes they start together and are rejected together, so each waits for a random part
//! of a span (full jitter; docs/incidents/fleet-herd.md). Watches that fall silent do so together as well; the silence is
//! detected at the end of their long polls, whose lengths are random for the same reason (docs/incidents/narrow-moments.md).
//! What a watch missed counts as notified from a known moment on, whether or not it arrived: until then another call is worth
//! more than a lower load on discovery, and delays are cut short.

use std::time::Duration;

use ivyhatch_balancer::hash_mix;

/// What each node adds to the span over which calls are spread: a call takes a single service some hundredths of a second, and
/// it serves one node after the other. Three nodes hardly wait; a hundred that start together spread over five seconds.
const SPREAD_PER_NODE: Duration = Duration::from_millis(50);
/// The longest long poll at an agent on the node's own machine, where a call costs nothing and silence should be detected soon.
/// The shortest is half of it.
const MAX_LONG_POLL_LOCAL: Duration = Duration::from_secs(3);
/// The longest long poll where all nodes call one service.
const MAX_LONG_POLL_SHARED: Duration = Duration::from_secs(20);
/// The protocol: what a silent call misses counts as notified so long after it fell silent, and
/// [`NOTIFIED_AFTER_LONG_POLL`] after its long poll was over if that is later.
const NOTIFIED_AFTER_SILENCE: Duration = Duration::from_secs(6);
const NOTIFIED_AFTER_LONG_POLL: Duration = Duration::from_secs(2);
/// The protocol: what has changed when discovery moves counts as notified so long after the move.
const NOTIFIED_AFTER_MOVE: Duration = Duration::from_secs(4);
/// A watch without a response so long after its long poll was over gets none any more. Discovery ends long polls to the
/// millisecond; a quarter of what is left until the change counts as notified is for a slow network, the rest for the next call.
const LONG_POLL_OVERDUE_AFTER: Duration = Duration::from_millis(500);
/// A call for the full list may wait in discovery's queue, which rejects calls that have waited for a second or two.
const FULL_LIST_TIMEOUT: Duration = Duration::from_secs(3);
/// A connection that is not up by then is abandoned.
const MAX_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The first and the last delay after failures in a row, doubled in between.
#[derive(Clone, Copy)]
struct BackoffBounds {
    initial: Duration,
    max: Duration,
}

const BACKOFF_LOCAL: BackoffBounds =
    BackoffBounds { initial: Duration::from_millis(50), max: Duration::from_millis(800) };
/// Longer, as all nodes call one service.
const BACKOFF_SHARED: BackoffBounds =
    BackoffBounds { initial: Duration::from_millis(300), max: Duration::from_millis(4800) };
/// The exponent of the backoff stops here, far above every bound.
const MAX_DOUBLINGS: u32 = 16;

/// What ended a call without a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// The call was rejected, its connection failed, or it brought no list.
    Error,
    /// No response arrived in time.
    TimedOut,
}

/// What a call asks for.
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
    /// When the call is abandoned, from its start.
    pub call: Duration,
}

/// Schedules a node's calls. All times are since some fixed moment.
pub struct DiscoverySchedule {
    max_long_poll: Duration,
    backoff: BackoffBounds,
    /// The span over which calls of all nodes are spread.
    spread: Duration,
    max_spread: Duration,
    /// Whether a call has been made.
    has_called: bool,
    consecutive_failures: u32,
    /// The last call was a watch, and has not failed with an error.
    last_watch_silent: bool,
    /// When what the current call may miss counts as notified.
    current_call_notified_at: Duration,
    /// When what has been missed counts as notified.
    missed_notified_at: Option<Duration>,
    random_state: u64,
}

impl DiscoverySchedule {
    /// For one of `nodes` that share a discovery service and must call at least every `max_poll_interval`. `seed` should differ
    /// from node to node.
    pub fn for_shared_service(nodes: u32, max_poll_interval: Duration, seed: u64) -> Self {
        let max_spread = max_poll_interval / 2;
        let spread = (SPREAD_PER_NODE * nodes.saturating_sub(1)).min(max_spread);
        // The lists of a node whose call has failed expire after four times `max_poll_interval`: it must have tried again by
        // then. The delay never reaches zero: calls that are rejected at once must not make a tight loop.
        let bounded = |delay: Duration| delay.min(max_spread).max(BACKOFF_LOCAL.initial);
        let backoff =
            BackoffBounds { initial: bounded(BACKOFF_SHARED.initial), max: bounded(BACKOFF_SHARED.max) };
        Self::new(MAX_LONG_POLL_SHARED, backoff, spread, max_spread, seed)
    }

    /// For an agent on the node's own machine. It is retried so often that a list it has once it is back arrives well within
    /// `drain_grace`, after which nothing may be sent to a backend that drains by that list.
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

    /// How long a connect to discovery may take: no longer than the longest delay between two calls.
    pub fn connect_timeout(&self) -> Duration {
        MAX_CONNECT_TIMEOUT.min(self.backoff.max)
    }

    /// A call starts.
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

    /// The call has brought a list.
    pub fn call_succeeded(&mut self) {
        self.consecutive_failures = 0;
        self.missed_notified_at = None;
    }

    /// The call has brought no list.
    pub fn call_failed(&mut self, failure: CallFailure) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.last_watch_silent &= failure == CallFailure::TimedOut;
        if failure == CallFailure::TimedOut {
            self.missed_notified_at.get_or_insert(self.current_call_notified_at);
        }
    }

    /// Discovery has another address now.
    pub fn discovery_moved(&mut self, now: Duration) {
        self.has_called = true;
        self.consecutive_failures = 0;
        self.missed_notified_at = Some(now + NOTIFIED_AFTER_MOVE);
    }

    /// How long to wait before the next call.
    pub fn next_delay(&mut self, now: Duration) -> Duration {
        if self.consecutive_failures == 0 {
            // A list is followed by the next call at once: for 200 ms its watch counts as continued, and what changes in that
            // time as notified. The same goes for a move.
            return if self.has_called { Duration::ZERO } else { self.spread.mul_f64(self.random()) };
        }
        if self.consecutive_failures == 1 && self.last_watch_silent {
            return Duration::ZERO;
        }
        let delay = self.backoff_delay();
        match self.missed_notified_at.and_then(|notified_at| notified_at.checked_sub(now)) {
            // Half of what is left is for the call itself.
            Some(left) => delay.min((left / 2).mul_f64(self.random()).max(self.backoff.initial)),
            None => delay,
        }
    }

    /// Exponential backoff, with the growing spread of all nodes' calls on top.
    fn backoff_delay(&mut self) -> Duration {
        let doubled = |span: Duration, times: u32| span.saturating_mul(1 << times.min(MAX_DOUBLINGS));
        let BackoffBounds { initial, max } = self.backoff;
        let backoff =
            doubled(initial, self.consecutive_failures - 1).min(max).mul_f64(0.75 + 0.5 * self.random());
        let spread = doubled(self.spread, self.consecutive_failures).min(self.max_spread);
        backoff + spread.mul_f64(self.random())
    }

    /// A uniform number from 0 to 1, by SplitMix64.
    fn random(&mut self) -> f64 {
        self.random_state = self.random_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        (hash_mix(self.random_state) >> 11) as f64 / (1u64 << 53) as f64
    }
}

#[cfg(test)]
#[path = "schedule_tests.rs"]
mod tests;
