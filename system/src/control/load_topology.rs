//! The topology of the deployment that the load exchange needs, from the state machine and the settings.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use ivyhatch_control::ControlPlane;
use ivyhatch_control::load_exchange::{LoadTopology, PeerLocation, RegionIndex};
use ivyhatch_protocol::hash::fnv1a_hash;
use ivyhatch_protocol::load_exchange::server_key;
use ivyhatch_protocol::watch::ServerListPosition;

use super::host::Host;
use crate::regions::Regions;

/// The regions of peers and servers as known to this control node.
pub struct Topology {
    host: Rc<Host>,
    regions: Regions,
    servers: RefCell<ServerRegions>,
}

/// The regions of the servers in one version of the server list, cached until the list changes.
#[derive(Default)]
struct ServerRegions {
    position: ServerListPosition,
    by_key: HashMap<u32, RegionIndex>,
}

impl Topology {
    /// Creates the topology from the host's settings. Servers are read from the state machine later.
    pub fn new(host: Rc<Host>) -> Self {
        let regions = Regions::new(&host.settings);
        Self { host, regions, servers: RefCell::default() }
    }

    fn region_of_zone(&self, zone: &str) -> RegionIndex {
        RegionIndex(self.regions.index_of_zone(zone))
    }

    fn update_servers(&self, plane: &ControlPlane) {
        let mut servers = self.servers.borrow_mut();
        let list = plane.server_list();
        if servers.position == list.position() {
            return;
        }
        let region =
            |id: &str, zone: &str| (server_key(fnv1a_hash(id.as_bytes())), self.region_of_zone(zone));
        servers.position = list.position();
        servers.by_key = list.ids_and_zones().map(|(id, zone)| region(id, zone)).collect();
    }
}

impl LoadTopology for Topology {
    fn own_region(&self) -> RegionIndex {
        self.region_of_zone(&self.host.settings.zone)
    }

    fn peers(&self) -> Vec<PeerLocation> {
        self.host.query(|plane| {
            self.update_servers(plane);
            let location = |node| PeerLocation {
                node,
                region: plane.zone_of_peer(node).map(|zone| self.region_of_zone(zone)),
            };
            plane.reachable_peers().into_iter().map(location).collect()
        })
    }

    fn server_region(&self, server: u32) -> Option<RegionIndex> {
        self.servers.borrow().by_key.get(&server).copied()
    }
}
