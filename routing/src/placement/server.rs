//! The state that a router keeps for one server of a service.

use ivyhatch_balancer::BackendId;
use ivyhatch_protocol::Nanos;
use ivyhatch_protocol::hash::fnv1a_hash;
use ivyhatch_protocol::load_exchange::server_key;

use crate::prefix_cache::PrefixCache;
use crate::time_to_first_token::ServerQueue;

use super::affinity::Candidate;
use super::backoff::ConnectBackoff;
use super::slow_start::SlowStart;

/// The data of a server from the server list.
#[derive(Clone, Copy, Debug)]
pub struct ListedServer<'a> {
    /// The id of the server in the server list.
    pub name: &'a str,
    /// The index of the server's region.
    pub region: u32,
    /// The end of the server's slow start; 0 if it is not in slow start.
    pub slow_start_until: Nanos,
    /// Whether the server's zone was evacuated when the router last had contact with a quorum. Such a server is used, within the
    /// limits of slow start, only if no other server is reachable.
    pub is_last_resort: bool,
}

/// A server of a service with its back-off, queue and cache state.
#[derive(Debug, Default)]
pub(super) struct Server {
    pub(super) region: u32,
    pub(super) name_hash: u64,
    pub(super) is_last_resort: bool,
    pub(super) has_idle_connection: bool,
    pub(super) slow_start: SlowStart,
    pub(super) backoff: ConnectBackoff,
    pub(super) queue: ServerQueue,
    pub(super) cache: PrefixCache,
}

impl Server {
    pub(super) fn update(&mut self, listed: ListedServer<'_>) {
        self.region = listed.region;
        self.name_hash = fnv1a_hash(listed.name.as_bytes());
        self.is_last_resort = listed.is_last_resort;
        self.slow_start.extend_until(listed.slow_start_until);
    }

    /// The key that identifies the server in the load reports exchanged between routers.
    pub(super) fn load_key(&self) -> u32 {
        server_key(self.name_hash)
    }

    pub(super) fn candidate(&self, id: BackendId) -> Candidate {
        Candidate { id, region: self.region, name_hash: self.name_hash }
    }
}
