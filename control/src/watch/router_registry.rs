//! The known routers: the routers with a session on this node, and the routers that other control nodes report.
//!
//! Each control node reports the routers that have a session with it to all other control nodes, so that every control node knows all
//! routers.

use std::collections::{BTreeMap, BTreeSet};

use ivyhatch_protocol::ids::NodeId;
use ivyhatch_protocol::peer::{RouterChanges, routers_digest};
use ivyhatch_protocol::watch::{Router, RouterState};
use ivyhatch_protocol::{MILLISECOND, Nanos, SECOND};

/// A local router is dropped when nothing was received on its session for this long: three heartbeat intervals of a router.
pub const SESSION_TIMEOUT: Nanos = 1500 * MILLISECOND;
/// The report of another control node expires this long after the last message from that node.
const REPORT_TIMEOUT: Nanos = 3 * SECOND;
/// How long a router that was lost still counts in the division of shared quotas: it may return at any moment, or may be partitioned from
/// the control nodes and still serve requests. Its address is kept equally long for clients of a region that is partitioned from it.
const LAST_SEEN_RETENTION: Nanos = 60 * SECOND;
/// How long the directory keeps a router that was last seen draining, for a region without another router. Such a router is usually
/// restarted at the same address.
const DRAINING_RETENTION: Nanos = 3 * SECOND;
/// The longest interval between two reports of the local routers to other control nodes.
const REPORT_INTERVAL: Nanos = 5 * SECOND;
/// The largest number of addresses in a response of the directory.
pub const MAX_DIRECTORY_ADDRESSES: usize = 64;

/// A router with a session on this node.
#[derive(Debug)]
struct LocalRouter {
    router: Router,
    last_received_at: Nanos,
}

/// The routers with a session on another control node.
#[derive(Debug)]
struct PeerReport {
    routers: BTreeMap<NodeId, Router>,
    received_at: Nanos,
}

/// A router in the state in which it was last seen.
#[derive(Debug)]
struct SeenRouter {
    router: Router,
    seen_at: Nanos,
}

/// A router's rank among the routers that share quotas.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RouterRank {
    /// The number of routers seen within the last minute; at least 1.
    pub count: usize,
    /// The index of the router among the counted routers, from 0, in the order of addresses.
    pub index: usize,
}

/// All routers that this node knows, with those that it has seen recently.
#[derive(Debug, Default)]
pub struct RouterRegistry {
    local: BTreeMap<NodeId, LocalRouter>,
    /// The local routers as sent in the last report to other control nodes.
    reported: BTreeMap<NodeId, Router>,
    reported_by_peers: BTreeMap<NodeId, PeerReport>,
    /// The time at which each router was last seen, in any state.
    last_seen: BTreeMap<NodeId, Nanos>,
    /// Routers as last seen draining, for clients of a region without a ready router.
    draining: BTreeMap<NodeId, SeenRouter>,
    /// Routers as last seen ready, for clients of a region that is partitioned from these routers.
    last_seen_ready: BTreeMap<NodeId, SeenRouter>,
    last_report_sent_at: Nanos,
}

impl RouterRegistry {
    /// Records that a message from a router was received on its session. Returns whether other control nodes need a new report: the router
    /// is new, has changed, or had timed out.
    pub fn record_local(&mut self, now: Nanos, router: Router) -> bool {
        let current = LocalRouter { router: router.clone(), last_received_at: now };
        let previous = self.local.insert(router.node, current);
        previous.is_none_or(|previous| {
            previous.router != router || now >= previous.last_received_at + SESSION_TIMEOUT
        })
    }

    /// Removes a router whose session has ended. Returns whether it was known.
    pub fn remove_local(&mut self, node: NodeId) -> bool {
        self.local.remove(&node).is_some()
    }

    /// The local router at this address; `None` where it has no session on this node.
    pub fn local(&self, node: NodeId) -> Option<&Router> {
        self.local.get(&node).map(|local| &local.router)
    }

    /// The routers with a session on this node, as a complete report for other control nodes.
    pub fn local_routers(&self) -> Vec<Router> {
        self.local.values().map(|local| local.router.clone()).collect()
    }

    /// Whether the next report to other control nodes is due.
    pub fn is_report_due(&self, now: Nanos) -> bool {
        now >= self.last_report_sent_at + REPORT_INTERVAL
    }

    /// The changes of the local routers since the last report. The current routers become the base of the next report.
    pub fn take_report(&mut self, now: Nanos) -> RouterChanges {
        self.last_report_sent_at = now;
        let local: BTreeMap<NodeId, Router> =
            self.local.iter().map(|(node, local)| (*node, local.router.clone())).collect();
        let changed = local.iter().filter(|(node, router)| self.reported.get(node) != Some(router));
        let upsert = changed.map(|(_, router)| router.clone()).collect();
        let removed = self.reported.keys().filter(|node| !local.contains_key(node)).copied().collect();
        let digest = routers_digest(local.values());
        self.reported = local;
        RouterChanges { upsert, removed, digest }
    }

    /// Makes the next report to other control nodes due at once.
    pub fn expedite_report(&mut self) {
        self.last_report_sent_at = 0;
    }

    /// Drops local routers and reports of other control nodes that have timed out. Returns whether a local router was dropped.
    pub fn expire(&mut self, now: Nanos) -> bool {
        let count_before = self.local.len();
        self.local.retain(|_, local| now < local.last_received_at + SESSION_TIMEOUT);
        self.reported_by_peers.retain(|_, report| now < report.received_at + REPORT_TIMEOUT);
        self.local.len() != count_before
    }

    /// Replaces the report of another control node.
    pub fn apply_report(&mut self, now: Nanos, from: NodeId, routers: Vec<Router>) {
        let routers = routers.into_iter().map(|router| (router.node, router)).collect();
        self.reported_by_peers.insert(from, PeerReport { routers, received_at: now });
    }

    /// Applies changes to the report of another control node. Returns whether the result has the digest that the changes state; if not,
    /// earlier changes were missed, and the caller has to request a complete report.
    pub fn apply_changes(&mut self, now: Nanos, from: NodeId, changes: RouterChanges) -> bool {
        let RouterChanges { upsert, removed, digest } = changes;
        let new_report = || PeerReport { routers: BTreeMap::new(), received_at: now };
        let report = self.reported_by_peers.entry(from).or_insert_with(new_report);
        report.received_at = now;
        removed.iter().for_each(|node| drop(report.routers.remove(node)));
        report.routers.extend(upsert.into_iter().map(|router| (router.node, router)));
        routers_digest(report.routers.values()) == digest
    }

    /// Renews the report of another control node, as a heartbeat from that node was received.
    pub fn keep_report_alive(&mut self, now: Nanos, from: NodeId) {
        if let Some(report) = self.reported_by_peers.get_mut(&from) {
            report.received_at = now;
        }
    }

    /// All known routers. Of several entries for one router, the local entry has precedence, then the entry with the most advanced state.
    fn all(&self) -> BTreeMap<NodeId, &Router> {
        let mut all: BTreeMap<NodeId, &Router> = BTreeMap::new();
        for router in self.reported_by_peers.values().flat_map(|report| report.routers.values()) {
            let entry = all.entry(router.node).or_insert(router);
            if router.state > entry.state {
                *entry = router;
            }
        }
        all.extend(self.local.iter().map(|(node, local)| (*node, &local.router)));
        all
    }

    /// Records the currently known routers for [`RouterRegistry::rank`] and for the directory. Called on each tick. Routers that are lost
    /// while this node is in contact with a quorum are not kept for partitioned regions, as no partition separates this node from them.
    pub fn refresh(&mut self, now: Nanos, has_quorum: bool) {
        let all: Vec<Router> = self.all().into_values().cloned().collect();
        if has_quorum {
            self.last_seen_ready.clear();
        }
        for router in all {
            self.last_seen.insert(router.node, now);
            match router.state {
                RouterState::Ready => {
                    self.draining.remove(&router.node);
                    self.last_seen_ready.insert(router.node, SeenRouter { router, seen_at: now });
                }
                RouterState::Draining => {
                    self.draining.insert(router.node, SeenRouter { router, seen_at: now });
                }
                RouterState::Starting => {}
            }
        }
        self.last_seen.retain(|_, seen_at| now < *seen_at + LAST_SEEN_RETENTION);
        self.draining.retain(|_, draining| now < draining.seen_at + DRAINING_RETENTION);
        self.last_seen_ready.retain(|_, seen| now < seen.seen_at + LAST_SEEN_RETENTION);
    }

    /// The number of routers seen recently, and the index of a router among them.
    pub fn rank(&self, node: NodeId) -> RouterRank {
        RouterRank { count: self.last_seen.len().max(1), index: self.last_seen.range(..node).count() }
    }

    /// The addresses that the directory of a partitioned region gives to the region's clients: the region's routers, which still reach
    /// the region's servers, and routers last seen ready in `other_regions`, which the clients may still reach. Each group gets at most
    /// half of [`MAX_DIRECTORY_ADDRESSES`].
    pub fn addresses_while_partitioned(&self, region: &str, other_regions: &BTreeSet<String>) -> Vec<String> {
        let mut addresses = self.addresses_for_region(region);
        let last_seen_ready = self.last_seen_ready.values().map(|seen| &seen.router);
        let elsewhere = last_seen_ready.filter(|router| other_regions.contains(&router.region));
        let elsewhere = elsewhere.map(|router| router.client_address.clone());
        addresses.truncate(MAX_DIRECTORY_ADDRESSES / 2);
        addresses.extend(elsewhere.take(MAX_DIRECTORY_ADDRESSES / 2));
        addresses
    }

    /// The addresses that the directory gives to clients of a region: the region's ready routers; else its routers that were seen draining
    /// within `DRAINING_RETENTION`; else all ready routers. Draining routers still accept connections or are being restarted, and
    /// requests that are bound to the region must not leave it.
    pub fn addresses_for_region(&self, region: &str) -> Vec<String> {
        let all = self.all();
        let ready = || all.values().copied().filter(|router| router.state == RouterState::Ready);
        let ready_in_region: Vec<&Router> = ready().filter(|router| router.region == region).collect();
        let draining = self.draining.values().map(|draining| &draining.router);
        let draining_in_region: Vec<&Router> = draining.filter(|router| router.region == region).collect();
        let chosen = if !ready_in_region.is_empty() {
            ready_in_region
        } else if !draining_in_region.is_empty() {
            draining_in_region
        } else {
            ready().collect()
        };
        chosen.into_iter().map(|router| router.client_address.clone()).take(MAX_DIRECTORY_ADDRESSES).collect()
    }
}
