//! Whether a region can be reached at all. A router that is partitioned from a region would otherwise find out about each of its
//! servers by a connect of its own, and a request would spend its time on several of them.

use ivyhatch_protocol::{MILLISECOND, Nanos};

/// So many servers of a region that fail one after the other, with no response from any, mean that the region can't be reached.
const MAX_FAILED_SERVERS: u32 = 4;
/// Time between two trials of a region that can't be reached.
const PROBE_INTERVAL: Nanos = 250 * MILLISECOND;

/// What is known of the way to one region.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RegionReachability {
    /// Servers that have failed since the last response.
    failed_servers: u32,
    next_probe_at: Nanos,
}

impl RegionReachability {
    /// Whether a request may be sent there: the region can be reached as far as is known, or it is time for a trial.
    fn allows(&self, now: Nanos) -> bool {
        self.failed_servers < MAX_FAILED_SERVERS || now >= self.next_probe_at
    }

    /// Notes that a server could not be connected to that had not failed before.
    pub(super) fn record_server_failure(&mut self, now: Nanos) {
        self.failed_servers += 1;
        self.next_probe_at = now + PROBE_INTERVAL;
    }

    pub(super) fn record_response(&mut self) {
        self.failed_servers = 0;
    }

    /// Notes that a request is sent there. Where the region could not be reached it is the one trial.
    pub(super) fn record_send(&mut self, now: Nanos) {
        self.next_probe_at = now + PROBE_INTERVAL;
    }
}

/// What is known of the ways to all regions.
#[derive(Debug)]
pub(super) struct Reachability {
    /// By region; the last one is for all regions that the settings do not name.
    by_region: Vec<RegionReachability>,
}

impl Reachability {
    /// All of so many regions can be reached, as far as is known.
    pub(super) fn new(regions: u32) -> Self {
        Self { by_region: vec![RegionReachability::default(); regions as usize + 1] }
    }

    pub(super) fn region_mut(&mut self, region: u32) -> &mut RegionReachability {
        let index = self.index(region);
        &mut self.by_region[index]
    }

    /// Whether a request may be sent to this region.
    pub(super) fn allows(&self, now: Nanos, region: u32) -> bool {
        self.by_region[self.index(region)].allows(now)
    }

    fn index(&self, region: u32) -> usize {
        (region as usize).min(self.by_region.len() - 1)
    }
}
