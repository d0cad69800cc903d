//! A table of timers, ordered by the time at which they are due.

use std::collections::BTreeSet;

use ivyhatch_balancer::Nanos;

/// Timers of type `T`, ordered by the time at which they are due. Inserting the same timer for the same time again has no effect.
pub struct TimerTable<T> {
    timers: BTreeSet<(Nanos, T)>,
}

impl<T: Copy + Ord> TimerTable<T> {
    /// Adds a timer. Returns whether it is due before all others, so that the task that waits for the next timer must wake up
    /// earlier.
    pub fn insert(&mut self, at: Nanos, timer: T) -> bool {
        let is_next = self.next_at().is_none_or(|next| at < next);
        self.timers.insert((at, timer));
        is_next
    }

    /// Removes a timer, if it is still in the table.
    pub fn remove(&mut self, at: Nanos, timer: T) {
        self.timers.remove(&(at, timer));
    }

    /// Removes and returns the next timer that is due at `now`.
    pub fn pop_due(&mut self, now: Nanos) -> Option<T> {
        self.next_at().filter(|at| *at <= now)?;
        self.timers.pop_first().map(|(_, timer)| timer)
    }

    /// When the next timer is due; `None` if there are no timers.
    pub fn next_at(&self) -> Option<Nanos> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// All timers, in the order in which they are due.
    #[cfg(test)]
    pub fn iter(&self) -> impl Iterator<Item = T> + '_ {
        self.timers.iter().map(|(_, timer)| *timer)
    }
}

impl<T> Default for TimerTable<T> {
    fn default() -> Self {
        Self { timers: BTreeSet::new() }
    }
}

#[cfg(test)]
#[path = "timers_tests.rs"]
mod tests;
