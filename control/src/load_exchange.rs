//! Which loads a control node sends to whom: to routers what the others have at the servers of its region, to control nodes of other regions
//! what its routers have at theirs. What is elsewhere follows once a second, for the choice of a region to overflow to.

use std::collections::{BTreeMap, BTreeSet};

use ivyhatch_protocol::ids::NodeId;
use ivyhatch_protocol::load_exchange::{LoadDatagram, ServerLoad};
use ivyhatch_protocol::{Nanos, SECOND};

use crate::load_aggregator::LoadAggregator;

/// Interval of what is said of other regions' servers.
const REMOTE_INTERVAL: Nanos = SECOND;

/// A region, by its index in the order of names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RegionIndex(pub u32);

/// Another control node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerLocation {
    /// The node.
    pub node: NodeId,
    /// Its region; none where it is not known.
    pub region: Option<RegionIndex>,
}

/// What a control node has to know of the deployment to send each load where it counts.
pub trait LoadTopology {
    /// The control node's own region.
    fn own_region(&self) -> RegionIndex;
    /// The other control nodes that can be reached.
    fn peers(&self) -> Vec<PeerLocation>;
    /// The region of a server, by [`ivyhatch_protocol::load_exchange::server_key`]; none where it is not known.
    fn server_region(&self, server: u32) -> Option<RegionIndex>;
}

/// The exchange at one control node.
#[derive(Debug)]
pub struct LoadExchange<T> {
    topology: T,
    aggregator: LoadAggregator,
    /// When the last [`LoadDatagram::RemoteSummary`] was sent to each router.
    remote_summary_sent_at: BTreeMap<NodeId, Nanos>,
    remote_exchange_sent_at: Option<Nanos>,
    /// Control nodes of other regions whose last exchange held loads.
    loaded_peers: BTreeSet<NodeId>,
}

impl<T: LoadTopology> LoadExchange<T> {
    /// No loads are known yet.
    pub fn new(topology: T) -> Self {
        Self {
            topology,
            aggregator: LoadAggregator::default(),
            remote_summary_sent_at: BTreeMap::new(),
            remote_exchange_sent_at: None,
            loaded_peers: BTreeSet::new(),
        }
    }

    /// What is to be sent to other control nodes now. Expected ten times a second.
    pub fn exchanges(&mut self, now: Nanos) -> Vec<(NodeId, LoadDatagram)> {
        let is_remote_due = is_due(self.remote_exchange_sent_at, now);
        if is_remote_due {
            self.remote_exchange_sent_at = Some(now);
            // A router that has sent no report for two intervals is gone, or gets its next summary at once.
            self.remote_summary_sent_at.retain(|_, sent_at| now < *sent_at + 2 * REMOTE_INTERVAL);
        }
        let own_region = self.topology.own_region();
        let sum = self.aggregator.local_sum(now);
        let own_loads = is_remote_due.then(|| self.in_region(&sum, own_region));
        let mut datagrams = Vec::new();
        for PeerLocation { node, region } in self.topology.peers() {
            let Some(region) = region.filter(|region| *region != own_region) else {
                datagrams.push((node, LoadDatagram::Exchange(sum.clone())));
                continue;
            };
            let loads = self.in_region(&sum, region);
            let is_loaded = !loads.is_empty();
            // Once without loads after some: those are gone.
            if is_loaded || self.loaded_peers.contains(&node) {
                datagrams.push((node, LoadDatagram::Exchange(loads)));
            }
            if is_loaded {
                self.loaded_peers.insert(node)
            } else {
                self.loaded_peers.remove(&node)
            };
            if let Some(own_loads) = &own_loads {
                datagrams.push((node, LoadDatagram::RemoteExchange(own_loads.clone())));
            }
        }
        datagrams
    }

    fn in_region(&self, loads: &[ServerLoad], region: RegionIndex) -> Vec<ServerLoad> {
        let is_in_region = |load: &&ServerLoad| self.topology.server_region(load.server) == Some(region);
        loads.iter().filter(is_in_region).copied().collect()
    }

    /// Takes a datagram, and returns the answers to its sender.
    pub fn receive(&mut self, now: Nanos, from: NodeId, datagram: LoadDatagram) -> Vec<LoadDatagram> {
        match datagram {
            LoadDatagram::Report(loads) => return self.answer(now, from, loads),
            LoadDatagram::Exchange(loads) => self.aggregator.record_exchange(now, from, loads),
            LoadDatagram::RemoteExchange(loads) => self.aggregator.record_remote_exchange(now, from, loads),
            LoadDatagram::Summary(_) | LoadDatagram::RemoteSummary(_) => {}
        }
        Vec::new()
    }

    /// What the other routers have: near by at once, elsewhere once a second. A server whose region is not known counts as near.
    fn answer(&mut self, now: Nanos, router: NodeId, loads: Vec<ServerLoad>) -> Vec<LoadDatagram> {
        let others = self.aggregator.record_report(now, router, loads);
        let own_region = self.topology.own_region();
        let (local, remote): (Vec<ServerLoad>, Vec<ServerLoad>) = others.into_iter().partition(|load| {
            self.topology.server_region(load.server).is_none_or(|region| region == own_region)
        });
        if !is_due(self.remote_summary_sent_at.get(&router).copied(), now) {
            return vec![LoadDatagram::Summary(local)];
        }
        self.remote_summary_sent_at.insert(router, now);
        vec![LoadDatagram::RemoteSummary(remote), LoadDatagram::Summary(local)]
    }
}

fn is_due(sent_at: Option<Nanos>, now: Nanos) -> bool {
    sent_at.is_none_or(|sent_at| now >= sent_at + REMOTE_INTERVAL)
}
