//! Estimates after which idle times connections turn out to be reset when they are reused.

use std::cell::Cell;

use ivyhatch_balancer::Nanos;

/// The weight of one reuse in the exponential moving average of the share of resets.
const SMOOTHING: f64 = 0.1;
/// From this share of resets on connections of an idle-time class are not reused: a new connection costs a handshake, a reset may
/// cost the request.
const MAX_RESET_SHARE: f64 = 0.25;
/// The part by which each share of resets shrinks at each [`IdleResetRates::decay`].
const DECAY: f64 = SMOOTHING / 4.0;
/// The number of idle-time classes. The first class ends at 16 ms; each further one ends at twice the end of the one before.
const CLASSES: usize = 12;
const FIRST_CLASS: Nanos = 16_000_000;

/// The shares of reused connections that were reset at their next request, by how long they had been idle. Some networks drop an
/// idle connection without closing it, long before the backends' idle timeout.
#[derive(Default)]
pub struct IdleResetRates([Cell<f64>; CLASSES]);

impl IdleResetRates {
    /// Records that a connection was reused after `idle_time`, and whether it was reset.
    pub fn record(&self, idle_time: Nanos, was_reset: bool) {
        let share = &self.0[Self::class(idle_time)];
        let sample = f64::from(u8::from(was_reset));
        share.set(share.get() + (sample - share.get()) * SMOOTHING);
    }

    /// Whether a connection that has been idle for `idle_time` should be reused.
    pub fn is_reuse_safe(&self, idle_time: Nanos) -> bool {
        self.0[Self::class(idle_time)].get() < MAX_RESET_SHARE
    }

    /// Reduces all shares a little, so that connections of a class that is not reused are eventually tried again.
    pub fn decay(&self) {
        self.0.iter().for_each(|share| share.set(share.get() * (1.0 - DECAY)));
    }

    fn class(idle_time: Nanos) -> usize {
        let doublings = (idle_time / FIRST_CLASS).checked_ilog2().map_or(0, |log| log as usize + 1);
        doublings.min(CLASSES - 1)
    }
}
