//! The crashes of an instance: exponential back-off with jitter, and detection of a crash loop.

use std::collections::VecDeque;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use super::settings::{LifecycleSettings, Nanos};

/// How often the back-off doubles at most; far beyond any limit of the settings.
const MAX_DOUBLINGS: u32 = 30;

/// What follows on a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AfterCrash {
    /// The instance is started again after this time.
    BackOff(Nanos),
    /// It is in a crash loop, after so many crashes within the window.
    CrashLoop { crashes: usize },
}

/// The crashes within the window.
#[derive(Clone, Debug)]
pub(super) struct CrashHistory {
    crashed_at: VecDeque<Nanos>,
    /// Crashes without a long service in between, for the back-off.
    consecutive: u32,
    random: ChaCha8Rng,
}

impl CrashHistory {
    /// No crashes. `seed` is for the jitter.
    pub(super) fn new(seed: u64) -> Self {
        let random = ChaCha8Rng::seed_from_u64(seed);
        Self { crashed_at: VecDeque::new(), consecutive: 0, random }
    }

    /// Forgets all crashes.
    pub(super) fn clear(&mut self) {
        self.consecutive = 0;
        self.crashed_at.clear();
    }

    /// Begins with the first back-off again; crashes within the window still count.
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

    /// Half to all of the back-off: instances that crashed of one cause must not come back at the same moment.
    fn next_backoff(&mut self, settings: &LifecycleSettings) -> Nanos {
        let doublings = self.consecutive.min(MAX_DOUBLINGS);
        let backoff = settings.initial_backoff.saturating_mul(1 << doublings).min(settings.max_backoff);
        self.consecutive += 1;
        backoff / 2 + (backoff as f64 * 0.5 * self.random.random::<f64>()) as Nanos
    }
}
