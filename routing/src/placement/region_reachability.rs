//! Whether a region is reachable at all. Without this, a router that is partitioned from a region would have to detect the failure of
//! each of the region's servers by a separate connection attempt, and a request would use up its deadline on several of these attempts.

use ivyhatch_protocol::{MILLISECOND, Nanos};

/// Number of failed servers at which a region counts as unreachable, if none of the region's servers has responded in between.
const MAX_FAILED_SERVERS: u32 = 4;
/// Minimum time between two probes of an unreachable region. A probe is an ordinary request that is sent there.
const PROBE_INTERVAL: Nanos = 250 * MILLISECOND;

/// The reachability of one region.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RegionReachability {
    /// The number of servers that have failed since the last response from the region.
    failed_servers: u32,
    next_probe_at: Nanos,
}

impl RegionReachability {
    /// Whether a request may be sent to the region: it is not known to be unreachable, or a probe is due.
    fn allows(&self, now: Nanos) -> bool {
        self.failed_servers < MAX_FAILED_SERVERS || now >= self.next_probe_at
    }

    /// Records the first failed connection attempt to a server since the server's last response.
    pub(super) fn record_server_failure(&mut self, now: Nanos) {
        self.failed_servers += 1;
        self.next_probe_at = now + PROBE_INTERVAL;
    }

    pub(super) fn record_response(&mut self) {
        self.failed_servers = 0;
    }

    /// Records that a request is sent to the region. If the region is unreachable, this request is the probe, and no other request is
    /// sent until the next probe is due.
    pub(super) fn record_send(&mut self, now: Nanos) {
        self.next_probe_at = now + PROBE_INTERVAL;
    }
}

/// The reachability of all regions.
#[derive(Debug)]
pub(super) struct Reachability {
    /// By region index; the last element is for all regions that are not in the settings.
    by_region: Vec<RegionReachability>,
}

impl Reachability {
    /// Creates the state for this number of regions, none of which is known to be unreachable.
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
