//! Whether a region can be reached at all. A router that is partitioned from a region would otherwise find out about each of its
//! servers by a connect of its own, and a request would spend its time on several of them.

use ivyhatch_protocol::{MILLISECOND, Nanos};

/// So many servers of a region that fail one after the other, with no response from any, mean that the region can't be reached.
const MAX_FAILED_SERVERS: u32 = 4;
/// Time between two trials of a region that can't be reached.
const TRIAL_INTERVAL: Nanos = 250 * MILLISECOND;

/// What is known of the way to one region.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RegionReachability {
    /// Servers that have failed since the last response.
    failed_servers: u32,
    next_trial_at: Nanos,
}

impl RegionReachability {
    /// Whether a request may be sent there: the region can be reached as far as is known, or it is time for a trial.
    pub(super) fn allows(&self, now: Nanos) -> bool {
        self.failed_servers < MAX_FAILED_SERVERS || now >= self.next_trial_at
    }

    /// Notes that a server could not be connected to that had not failed before.
    pub(super) fn record_server_failure(&mut self, now: Nanos) {
        self.failed_servers += 1;
        self.next_trial_at = now + TRIAL_INTERVAL;
    }

    pub(super) fn record_response(&mut self) {
        self.failed_servers = 0;
    }

    /// Notes that a request is sent there. Where the region could not be reached it is the one trial.
    pub(super) fn record_send(&mut self, now: Nanos) {
        self.next_trial_at = now + TRIAL_INTERVAL;
    }
}
