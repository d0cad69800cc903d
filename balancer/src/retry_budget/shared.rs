//! A node's part of a retry budget that many nodes share.
//!
//! The budget limits the retries of all nodes together: in each window there may be no more retries than a
//! ratio of the requests of that window, or of the window before if that had more, plus a slack. No node
//! knows what the others send, so each stays within a part of the budget. The parts add up to no more than
//! the complete budget, whatever the nodes do:
//!
//! - A request earns half of the ratio, which may be spent for one window. What all nodes spend in a window was
//!   earned in that window or in the one before: half of the ratio of both, and so no more than the ratio of the
//!   larger.
//! - Each node has its share of the slack. Slack that has been spent is available again one window later.
//! - A process that has just started has a smaller share of the slack for one window, because the previous
//!   process of the node may have spent its own share. The embedder sets the shares such that they add up to
//!   no more than the slack with as many starts as the embedder expects.

use std::collections::VecDeque;

use crate::api::Nanos;

/// The part of the ratio that a request earns. Earnings last for one window, so the retries of a window are
/// paid for by the requests of two windows.
const EARNED_PART: f64 = 0.5;
/// Number of bins that a window is divided into. The earnings of requests in one bin expire together.
const BINS_PER_WINDOW: Nanos = 20;
/// The cost of one retry.
const RETRY_COST: f64 = 1.0;
/// Tolerance for rounding errors in sums of earned parts.
const ROUNDING: f64 = 1e-9;

/// A node's part of a retry budget that many nodes share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedRetryBudget {
    /// Allowed retries per request within a window, over all nodes.
    pub ratio: f64,
    /// The length of a window, in nanoseconds.
    pub window: Nanos,
    /// This node's share of the slack, the retries beyond the ratio that all nodes may make within a window;
    /// may be below 1.
    pub slack_share: f64,
    /// This node's share of the slack in the first window after the start of its process.
    pub starting_slack_share: f64,
    /// When the process of the node started, on the clock of the events.
    pub started_at: Nanos,
}

/// An amount that was earned or spent, and the time of it.
struct Entry {
    at: Nanos,
    amount: f64,
}

/// The earnings and spending of a node's part.
pub(crate) struct SharedBudget {
    settings: SharedRetryBudget,
    /// Earned and not spent, the oldest first. Each entry is a bin, with the time of the bin's start.
    earned: VecDeque<Entry>,
    /// Spent of the slack, the oldest first.
    slack_spent: VecDeque<Entry>,
}

impl SharedBudget {
    pub(crate) fn new(settings: SharedRetryBudget) -> Self {
        Self { settings, earned: VecDeque::new(), slack_spent: VecDeque::new() }
    }

    /// Changes the limits; amounts already earned and spent are kept.
    pub(crate) fn set(&mut self, settings: SharedRetryBudget) {
        self.settings = settings;
    }

    /// Adds the earnings of a request that has arrived.
    pub(crate) fn earn(&mut self, now: Nanos) {
        self.expire(now);
        let amount = self.settings.ratio.max(0.0) * EARNED_PART;
        let bin_length = (self.settings.window / BINS_PER_WINDOW).max(1);
        match self.earned.back_mut().filter(|bin| now < bin.at + bin_length) {
            Some(bin) => bin.amount += amount,
            None => self.earned.push_back(Entry { at: now, amount }),
        }
    }

    /// Whether a retry could be paid for now.
    pub(crate) fn can_pay(&self, now: Nanos) -> bool {
        self.sum_within_window(&self.earned, now) + self.slack_at(now) >= RETRY_COST - ROUNDING
    }

    /// Pays for a retry, from the earnings first, the oldest of them before the others, and then from the
    /// slack. Returns whether the retry is paid for.
    pub(crate) fn pay(&mut self, now: Nanos) -> bool {
        if !self.can_pay(now) {
            return false;
        }
        self.expire(now);
        let mut remaining_cost = RETRY_COST;
        while let Some(bin) = self.earned.front_mut()
            && remaining_cost > 0.0
        {
            let paid = bin.amount.min(remaining_cost);
            remaining_cost -= paid;
            bin.amount -= paid;
            if bin.amount <= 0.0 {
                self.earned.pop_front();
            }
        }
        if remaining_cost > 0.0 {
            self.slack_spent.push_back(Entry { at: now, amount: remaining_cost });
        }
        true
    }

    fn slack_at(&self, now: Nanos) -> f64 {
        let SharedRetryBudget { window, slack_share, starting_slack_share, started_at, .. } = self.settings;
        let share = if now < started_at + window { starting_slack_share } else { slack_share };
        (share - self.sum_within_window(&self.slack_spent, now)).max(0.0)
    }

    /// The sum of the entries within the last window.
    fn sum_within_window(&self, entries: &VecDeque<Entry>, now: Nanos) -> f64 {
        let window = self.settings.window;
        entries.iter().filter(|entry| now < entry.at + window).map(|entry| entry.amount).sum()
    }

    fn expire(&mut self, now: Nanos) {
        let window = self.settings.window;
        for entries in [&mut self.earned, &mut self.slack_spent] {
            while entries.front().is_some_and(|entry| now >= entry.at + window) {
                entries.pop_front();
            }
        }
    }
}

#[cfg(test)]
#[path = "shared_tests.rs"]
mod tests;
