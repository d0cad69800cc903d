//! Prefix affinity: requests that share a prompt prefix prefer the same server in each region, so that its cache holds the prefix. All
//! routers select the same server by rendezvous hashing (highest random weight), without communication.

use ivyhatch_balancer::BackendId;
use ivyhatch_protocol::hash::hash_mix;

/// The preferred server of a request in each region, if any.
#[derive(Debug)]
pub(super) struct PreferredServers {
    by_region: Vec<Option<BackendId>>,
}

/// A server that may be selected as the preferred server of its region.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub(super) id: BackendId,
    pub(super) region: u32,
    pub(super) name_hash: u64,
}

impl PreferredServers {
    /// No preferred server in any region; `regions` is the number of regions.
    pub(super) fn none(regions: u32) -> Self {
        Self { by_region: vec![None; regions as usize] }
    }

    /// Selects the candidate with the highest rendezvous weight for `affinity_key` in each region; `regions` is the number of regions.
    pub(super) fn select(
        regions: u32,
        affinity_key: u64,
        candidates: impl Iterator<Item = Candidate>,
    ) -> Self {
        let mut preferred = Self::none(regions);
        let mut highest_weights = vec![0; regions as usize];
        for candidate in candidates {
            let region = candidate.region as usize;
            let weight = hash_mix(candidate.name_hash ^ affinity_key).max(1);
            if highest_weights.get(region).is_some_and(|highest| weight > *highest) {
                highest_weights[region] = weight;
                preferred.by_region[region] = Some(candidate.id);
            }
        }
        preferred
    }

    pub(super) fn contains(&self, region: u32, id: BackendId) -> bool {
        self.by_region.get(region as usize).copied().flatten() == Some(id)
    }
}
