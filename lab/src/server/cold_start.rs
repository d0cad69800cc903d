//! The cold start of a server: its capacity increases to the full capacity during warm-up, and overload in this period
//! crashes its process.

use std::collections::VecDeque;

use crate::time::{Nanos, SECOND};

/// Fraction of the full capacity that a server has at its start.
pub const COLD_START_CAPACITY: f64 = 0.33;
/// Time from a server's start until full capacity.
pub const WARM_UP_PERIOD: Nanos = 6 * SECOND;
/// Sliding window over which the load of a cold server is summed.
pub const OVERLOAD_WINDOW: Nanos = 2 * SECOND;
/// A cold server crashes if the load within the window exceeds this multiple of the server's capacity in the window.
pub const OVERLOAD_CRASH_MULTIPLE: f64 = 3.0;
/// Load, in seconds of one core, that a cold server sustains beyond that multiple.
const OVERLOAD_ALLOWANCE_CORE_SECONDS: f64 = 0.5;

/// Whether the sender of a request knew of the server's latest start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SenderKnowledge {
    /// The sender had been notified of the start.
    Informed,
    /// The sender had not been notified of the start.
    Uninformed,
}

/// Fraction of the full capacity that a process of this age has.
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

    /// `Some` if the window's load exceeds the limit for a server of this capacity (work per nanosecond), and then whether
    /// at least two thirds of the load came from informed senders.
    pub(super) fn overload(&self, capacity: f64) -> Option<bool> {
        let load: f64 = self.window.iter().map(|request| request.work).sum();
        let max_load = OVERLOAD_CRASH_MULTIPLE * capacity * OVERLOAD_WINDOW as f64
            + OVERLOAD_ALLOWANCE_CORE_SECONDS * SECOND as f64;
        if load <= max_load {
            return None;
        }
        let informed = self.window.iter().filter(|request| request.sender == SenderKnowledge::Informed);
        let informed_load: f64 = informed.map(|request| request.work).sum();
        Some(informed_load * 3.0 >= load * 2.0)
    }
}
