//! A request of a service, and its current attempt at a server.

use ivyhatch_balancer::BackendId;
use ivyhatch_protocol::Nanos;

use crate::prompt::Prompt;

use super::affinity::PreferredServers;

/// A set of regions as a bit mask: bit `i` is the region with index `i`. Regions with an index of at least [`RegionSet::BITS`] are in
/// every set.
pub type RegionSet = u64;

/// A request's attempt at a server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub(super) backend: BackendId,
    /// The number of tokens that the server has to prefill, as estimated when the request was sent.
    pub(super) uncached_tokens: u32,
    /// Whether the response has begun.
    pub(super) responded: bool,
}

/// A request of a service.
#[derive(Debug)]
pub(super) struct PlacedRequest {
    pub(super) home_regions: RegionSet,
    pub(super) prompt: Prompt,
    /// The target for the time to the first token.
    pub(super) latency_target: Nanos,
    pub(super) preferred: PreferredServers,
    pub(super) attempt: Option<Attempt>,
}

impl PlacedRequest {
    /// Whether the request may be served in this region.
    pub(super) fn allows_region(&self, region: u32) -> bool {
        region >= RegionSet::BITS || self.home_regions & (1 << region) != 0
    }
}
