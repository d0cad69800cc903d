//! The routers: a router is there while its session with a control node stands. Control nodes tell each other their sessions, so
//! that each knows of all routers.

use std::collections::BTreeMap;

use ivyhatch_protocol::ids::NodeId;
use ivyhatch_protocol::watch::{Router, RouterState};
use ivyhatch_protocol::{MILLISECOND, Nanos, SECOND};

/// A router that has said nothing for so long is not where clients are sent: three of its beats.
pub const SILENT: Nanos = 1500 * MILLISECOND;
/// What another control node has told of its sessions counts for so long after it was last heard.
const TOLD: Nanos = 3 * SECOND;
/// A router that is not there counts for so long among those who share what all may do: it may come back at any moment, or be cut
/// off and at work.
const SEEN: Nanos = 60 * SECOND;
/// A router that was told to end is restarted soon, at the same address: for so long it stands for its region in the directory, if
/// that has no other.
const LEFT_KEPT: Nanos = 3 * SECOND;
/// The directory names no more.
pub const MOST_ADDRESSES: usize = 64;

/// All routers that are known of.
#[derive(Debug, Default)]
pub struct Routers {
    own: BTreeMap<NodeId, (Router, Nanos)>,
    told: BTreeMap<NodeId, (Vec<Router>, Nanos)>,
    /// When each was known of last.
    seen: BTreeMap<NodeId, Nanos>,
    /// Routers that were leaving when they were heard last, and when that was.
    left: BTreeMap<NodeId, (Router, Nanos)>,
}

impl Routers {
    /// A router has been heard on its session. Whether anything of it has changed.
    pub fn heard(&mut self, now: Nanos, router: Router) -> bool {
        let before = self.own.insert(router.node, (router.clone(), now));
        before.is_none_or(|(before, at)| before != router || now >= at + SILENT)
    }

    /// A session has ended.
    pub fn ended(&mut self, node: NodeId) -> bool {
        self.own.remove(&node).is_some()
    }

    /// Drops sessions that have said nothing for too long. Whether there were any.
    pub fn drop_silent(&mut self, now: Nanos) -> bool {
        let before = self.own.len();
        self.own.retain(|_, (_, at)| now < *at + SILENT);
        self.told.retain(|_, (_, at)| now < *at + TOLD);
        self.own.len() != before
    }

    /// Another control node tells of its sessions.
    pub fn tell(&mut self, now: Nanos, from: NodeId, routers: Vec<Router>) {
        self.told.insert(from, (routers, now));
    }

    /// Another control node is there.
    pub fn alive(&mut self, now: Nanos, from: NodeId) {
        if let Some((_, at)) = self.told.get_mut(&from) {
            *at = now;
        }
    }

    /// The sessions that stand here.
    pub fn own(&self) -> Vec<Router> {
        self.own.values().map(|(router, _)| router.clone()).collect()
    }

    /// All routers. Where two tell of one, its own session goes first, then the state that is further on.
    fn all(&self) -> BTreeMap<NodeId, &Router> {
        let mut all: BTreeMap<NodeId, &Router> = BTreeMap::new();
        for router in self.told.values().flat_map(|(routers, _)| routers) {
            let known = all.entry(router.node).or_insert(router);
            if router.state > known.state {
                *known = router;
            }
        }
        all.extend(self.own.iter().map(|(node, (router, _))| (*node, router)));
        all
    }

    /// Notes who is there. Called now and then.
    pub fn note(&mut self, now: Nanos) {
        let all = self.all();
        let there: Vec<(NodeId, RouterState)> =
            all.values().map(|router| (router.node, router.state)).collect();
        let leaving = all.values().filter(|router| router.state == RouterState::Draining);
        let leaving: Vec<Router> = leaving.map(|router| (*router).clone()).collect();
        for (node, state) in there {
            self.seen.insert(node, now);
            if state == RouterState::Ready {
                self.left.remove(&node);
            }
        }
        self.left.extend(leaving.into_iter().map(|router| (router.node, (router, now))));
        self.seen.retain(|_, at| now < *at + SEEN);
        self.left.retain(|_, (_, at)| now < *at + LEFT_KEPT);
    }

    /// How many there are or were lately, and a router's place among them.
    pub fn place(&self, node: NodeId) -> (usize, usize) {
        (self.seen.range(..node).count(), self.seen.len().max(1))
    }

    /// Where a client of this region should go: to the routers of its region, or to all where that has none. A region whose routers
    /// are all leaving has them for a moment more: they still take connections, or are being restarted, and requests that are bound
    /// to the region must not be led out of it.
    pub fn near(&self, region: &str) -> Vec<String> {
        let all = self.all();
        let ready = || all.values().copied().filter(|router| router.state == RouterState::Ready);
        let near: Vec<&Router> = ready().filter(|router| router.region == region).collect();
        let leaving =
            || self.left.values().map(|(router, _)| router).filter(|router| router.region == region);
        let chosen = match near.is_empty() {
            false => near,
            true if leaving().next().is_some() => leaving().collect(),
            true => ready().collect(),
        };
        chosen.into_iter().map(|router| router.client_address.clone()).take(MOST_ADDRESSES).collect()
    }
}
