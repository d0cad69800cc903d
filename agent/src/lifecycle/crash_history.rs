//! Crash handling of an instance: exponential back-off with jitter, and detection of a crash loop.

use std::collections::VecDeque;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use super::settings::{LifecycleSettings, Nanos};

/// Maximum number of doublings of the back-off. It keeps the shift from overflowing; the maximum back-off of the settings is reached
/// long before.
const MAX_DOUBLINGS: u32 = 30;

/// What an instance does after a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AfterCrash {
    /// The instance is restarted after this time.
    BackOff(Nanos),
    /// The instance is in a crash loop and is not restarted; `crashes` is the number of crashes within the window.
    CrashLoop { crashes: usize },
}

/// The crashes of an instance within the crash-loop window, and the state of the back-off.
#[derive(Clone, Debug)]
pub(super) struct CrashHistory {
    crashed_at: VecDeque<Nanos>,
    /// Crashes since the last reset of the back-off, which doubles with each of them.
    consecutive: u32,
    random: ChaCha8Rng,
}

impl CrashHistory {
    /// Creates a history without crashes. `seed` is that of the jitter.
    pub(super) fn new(seed: u64) -> Self {
        let random = ChaCha8Rng::seed_from_u64(seed);
        Self { crashed_at: VecDeque::new(), consecutive: 0, random }
    }

    /// Discards all crashes and resets the back-off.
    pub(super) fn clear(&mut self) {
        self.consecutive = 0;
        self.crashed_at.clear();
    }

    /// Resets the back-off to its initial value. Crashes within the window still count towards a crash loop.
    pub(super) fn reset_backoff(&mut self) {
        self.consecutive = 0;
    }

    pub(super) fn record(&mut self, now: Nanos, settings: &LifecycleSettings) -> AfterCrash {
        self.crashed_at.push_back(now);
        let window = settings.crash_loop_window;
        while self.crashed_at.front().is_some_and(|at| now.saturating_sub(*at) > window) {
            self.crashed_at.pop_front();
        }
        let crashes = self.crashed_at.len();
        if crashes >= settings.crash_loop_threshold {
            return AfterCrash::CrashLoop { crashes };
        }
        AfterCrash::BackOff(self.next_backoff(settings))
    }

    /// The next back-off, with jitter from half to all of it: instances that crashed from a common cause must not restart simultaneously.
    fn next_backoff(&mut self, settings: &LifecycleSettings) -> Nanos {
        let doublings = self.consecutive.min(MAX_DOUBLINGS);
        let backoff = settings.initial_backoff.saturating_mul(1 << doublings).min(settings.max_backoff);
        self.consecutive += 1;
        backoff / 2 + (backoff as f64 * 0.5 * self.random.random::<f64>()) as Nanos
    }
}
