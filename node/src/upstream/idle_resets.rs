//! Learns after how long an idle connection is lost without notice.

use std::cell::Cell;

use ivyhatch_balancer::Nanos;

/// The weight of one use in the moving average, and the share of resets from which on connections of that idle time are not
/// used: a new connection costs a handshake, a reset the request.
const SMOOTHING: f64 = 0.1;
const MAX_RESET_SHARE: f64 = 0.25;
/// What fades of a share at each [`IdleResetRates::decay`].
const DECAY: f64 = SMOOTHING / 4.0;
/// Classes of idle time, each twice as long as the one before; the first one ends at 16 ms.
const CLASSES: usize = 12;
const FIRST_CLASS: Nanos = 16_000_000;

/// The shares of reused connections that were reset at their next request, by how long they had been idle. Some networks drop a
/// quiet connection without notice, long before the backends' own timeout.
#[derive(Default)]
pub struct IdleResetRates([Cell<f64>; CLASSES]);

impl IdleResetRates {
    /// Notes that a connection was used after `idle_time`, and whether it was reset.
    pub fn record(&self, idle_time: Nanos, was_reset: bool) {
        let share = &self.0[Self::class(idle_time)];
        let sample = f64::from(u8::from(was_reset));
        share.set(share.get() + (sample - share.get()) * SMOOTHING);
    }

    /// Whether a connection that has been idle for so long should be used.
    pub fn is_reuse_safe(&self, idle_time: Nanos) -> bool {
        self.0[Self::class(idle_time)].get() < MAX_RESET_SHARE
    }

    /// Forgets a part of what is known, so that a class that is not used is tried again.
    pub fn decay(&self) {
        self.0.iter().for_each(|share| share.set(share.get() * (1.0 - DECAY)));
    }

    fn class(idle_time: Nanos) -> usize {
        let doublings = (idle_time / FIRST_CLASS).checked_ilog2().map_or(0, |log| log as usize + 1);
        doublings.min(CLASSES - 1)
    }
}
