//! When the next heartbeat of this node is due, and when the recent ones were sent.

use std::collections::VecDeque;

use ivyhatch_protocol::{MILLISECOND, Nanos, SECOND};

/// Interval between two heartbeats.
pub const HEARTBEAT_INTERVAL: Nanos = 200 * MILLISECOND;
/// How long the sending time of a heartbeat is kept. Longer than the maximum age at which a forwarded request is still carried out.
const SEND_TIME_RETENTION: Nanos = 3 * SECOND;

/// A heartbeat that was sent.
#[derive(Clone, Copy, Debug)]
struct SentHeartbeat {
    sequence: u64,
    sent_at: Nanos,
}

/// The schedule of a node's own heartbeats.
#[derive(Debug, Default)]
pub struct HeartbeatSchedule {
    sent: VecDeque<SentHeartbeat>,
    last_sent_at: Nanos,
}

impl HeartbeatSchedule {
    /// Whether the next heartbeat is due.
    pub fn is_due(&self, now: Nanos) -> bool {
        now >= self.last_sent_at + HEARTBEAT_INTERVAL
    }

    /// Makes the next heartbeat due at once.
    pub fn expedite(&mut self) {
        self.last_sent_at = 0;
    }

    /// Records that a heartbeat is sent now, and returns the heartbeat's sequence number.
    pub fn record_sent(&mut self, now: Nanos) -> u64 {
        let sequence = self.sent.back().map_or(1, |last| last.sequence + 1);
        self.last_sent_at = now;
        self.sent.push_back(SentHeartbeat { sequence, sent_at: now });
        while self.sent.front().is_some_and(|first| now > first.sent_at + SEND_TIME_RETENTION) {
            self.sent.pop_front();
        }
        sequence
    }

    /// When this process sent the heartbeat with this sequence number; `None` where that is longer ago than `SEND_TIME_RETENTION`,
    /// or an earlier process sent the heartbeat.
    pub fn sent_at(&self, sequence: u64) -> Option<Nanos> {
        self.sent.iter().find(|heartbeat| heartbeat.sequence == sequence).map(|heartbeat| heartbeat.sent_at)
    }
}
