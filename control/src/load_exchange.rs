//! Selects the loads that a control node sends to routers and to other control nodes.
//!
//! Routers get the load of the other routers at the servers of the control node's region. Control nodes of the same region get the load of
//! this node's routers at all servers; those of another region get only the load at the servers of that region. The load at servers
//! elsewhere is sent once a second, for the choice of a region to overflow to.

use std::collections::{BTreeMap, BTreeSet};

use ivyhatch_protocol::ids::NodeId;
use ivyhatch_protocol::load_exchange::{LoadDatagram, ServerLoad};
use ivyhatch_protocol::{Nanos, SECOND};

use crate::load_aggregator::LoadAggregator;

/// The interval of `RemoteSummary` and `RemoteExchange` datagrams to one receiver.
const REMOTE_INTERVAL: Nanos = SECOND;

/// The index of a region in the order of region names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RegionIndex(pub u32);

/// Another control node and its region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerLocation {
    /// The id of the control node.
    pub node: NodeId,
    /// The region of the control node; `None` where it is not known.
    pub region: Option<RegionIndex>,
}

/// The topology of the deployment, by which a control node selects the receivers of each load.
pub trait LoadTopology {
    /// The control node's own region.
    fn own_region(&self) -> RegionIndex;
    /// The other control nodes that are reachable.
    fn peers(&self) -> Vec<PeerLocation>;
    /// The region of the server with this [`ivyhatch_protocol::load_exchange::server_key`]; `None` where it is not known.
    fn server_region(&self, server: u32) -> Option<RegionIndex>;
}

/// The load exchange of one control node.
#[derive(Debug)]
pub struct LoadExchange<T> {
    topology: T,
    aggregator: LoadAggregator,
    /// The time at which the last [`LoadDatagram::RemoteSummary`] was sent to each router.
    remote_summary_sent_at: BTreeMap<NodeId, Nanos>,
    remote_exchange_sent_at: Option<Nanos>,
    /// Control nodes of other regions whose last exchange held loads.
    loaded_peers: BTreeSet<NodeId>,
}

impl<T: LoadTopology> LoadExchange<T> {
    /// Creates an exchange without any loads.
    pub fn new(topology: T) -> Self {
        Self {
            topology,
            aggregator: LoadAggregator::default(),
            remote_summary_sent_at: BTreeMap::new(),
            remote_exchange_sent_at: None,
            loaded_peers: BTreeSet::new(),
        }
    }

    /// The datagrams to send to other control nodes now. Expected to be called ten times a second.
    pub fn exchanges(&mut self, now: Nanos) -> Vec<(NodeId, LoadDatagram)> {
        let is_remote_due = is_due(self.remote_exchange_sent_at, now);
        if is_remote_due {
            self.remote_exchange_sent_at = Some(now);
            // A router that has not reported for two intervals is dropped; if it reports again, it gets a remote summary at once.
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
            // One empty exchange after a non-empty one clears the loads at the receiver.
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

    /// Handles a datagram, and returns the answers to its sender.
    pub fn receive(&mut self, now: Nanos, from: NodeId, datagram: LoadDatagram) -> Vec<LoadDatagram> {
        match datagram {
            LoadDatagram::Report(loads) => return self.answer(now, from, loads),
            LoadDatagram::Exchange(loads) => self.aggregator.record_exchange(now, from, loads),
            LoadDatagram::RemoteExchange(loads) => self.aggregator.record_remote_exchange(now, from, loads),
            LoadDatagram::Summary(_) | LoadDatagram::RemoteSummary(_) => {}
        }
        Vec::new()
    }

    /// Answers a router's report with the load of the other routers: at servers of this node's region in each answer, at other servers once
    /// a second. A server whose region is not known counts as one of this node's region.
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
