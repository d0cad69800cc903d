//! The cold start of a server: its capacity grows to the full one, and too much load meanwhile crashes its process.

use std::collections::VecDeque;

use crate::time::{Nanos, SECOND};

/// Fraction of its capacity that a server starts with.
pub const COLD_START_CAPACITY: f64 = 0.33;
/// Time from a server's start until it has its full capacity.
pub const WARM_UP_PERIOD: Nanos = 6 * SECOND;
/// Window over which the load of a cold server is summed.
pub const OVERLOAD_WINDOW: Nanos = 2 * SECOND;
/// A cold server crashes when the load of a window exceeds its capacity so many times.
pub const OVERLOAD_CRASH_MULTIPLE: f64 = 3.0;
/// Load, in seconds of one core, that a cold server bears beyond that multiple.
const OVERLOAD_ALLOWANCE_CORE_SECONDS: f64 = 0.5;

/// Whether the sender of a request knew when its server started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SenderKnowledge {
    /// It knew of the start.
    Informed,
    /// It did not know of it.
    Uninformed,
}

/// Fraction of the full capacity at an age of the process.
pub(super) fn warm_fraction(age: Nanos) -> f64 {
    let progress = age as f64 / WARM_UP_PERIOD as f64;
    (COLD_START_CAPACITY + (1.0 - COLD_START_CAPACITY) * progress).min(1.0)
}

struct ColdRequest {
    at: Nanos,
    work: f64,
    sender: SenderKnowledge,
}

/// The requests that have reached a cold server within the window.
#[derive(Default)]
pub(super) struct ColdStart {
    window: VecDeque<ColdRequest>,
}

impl ColdStart {
    pub(super) fn clear(&mut self) {
        self.window.clear();
    }

    pub(super) fn record(&mut self, work: f64, sender: SenderKnowledge, now: Nanos) {
        while self.window.front().is_some_and(|request| request.at + OVERLOAD_WINDOW < now) {
            self.window.pop_front();
        }
        self.window.push_back(ColdRequest { at: now, work, sender });
    }

    /// Whether the window's load exceeds what a server of this capacity (work a nanosecond) bears. `Some(true)` if two
    /// thirds of it came from informed senders.
    pub(super) fn overload(&self, capacity: f64) -> Option<bool> {
        let load: f64 = self.window.iter().map(|request| request.work).sum();
        let bearable = OVERLOAD_CRASH_MULTIPLE * capacity * OVERLOAD_WINDOW as f64
            + OVERLOAD_ALLOWANCE_CORE_SECONDS * SECOND as f64;
        if load <= bearable {
            return None;
        }
        let informed = self.window.iter().filter(|request| request.sender == SenderKnowledge::Informed);
        let informed_load: f64 = informed.map(|request| request.work).sum();
        Some(informed_load * 3.0 >= load * 2.0)
    }
}
