//! The regions of the settings, as indexes.

use std::collections::{BTreeMap, BTreeSet};

use ivyhatch_protocol::configuration::Route;
use ivyhatch_protocol::settings::Settings;
use ivyhatch_routing::placement::RegionSet;

/// Regions in their alphabetical order, which all routers share.
pub struct Regions {
    names: Vec<String>,
    by_zone: BTreeMap<String, String>,
    /// The index of this machine's region.
    pub home: u32,
}

impl Regions {
    /// The regions of all zones, and this machine's own.
    pub fn new(settings: &Settings) -> Self {
        let names: BTreeSet<String> =
            settings.zones.values().cloned().chain([settings.region.clone()]).collect();
        let names: Vec<String> = names.into_iter().collect();
        let home = names.iter().position(|name| *name == settings.region).unwrap_or(0) as u32;
        Self { names, by_zone: settings.zones.clone(), home }
    }

    /// How many regions there are.
    pub fn count(&self) -> u32 {
        self.names.len() as u32
    }

    /// The index of a zone's region. Zones that the settings do not name share an index behind all regions, which is home to nothing.
    pub fn index_of_zone(&self, zone: &str) -> u32 {
        let region = self.by_zone.get(zone).map_or(zone, String::as_str);
        self.position(region).unwrap_or(self.names.len()) as u32
    }

    /// The regions in which a route's requests may be served.
    pub fn home_regions(&self, route: &Route) -> RegionSet {
        if route.home_regions.is_empty() {
            return RegionSet::MAX;
        }
        let bit = |region: &String| {
            let index = self.position(region).filter(|index| *index < RegionSet::BITS as usize);
            index.map_or(0, |index| 1 << index)
        };
        route.home_regions.iter().map(bit).fold(0, |set: RegionSet, bit: RegionSet| set | bit)
    }

    fn position(&self, region: &str) -> Option<usize> {
        self.names.iter().position(|name| name == region)
    }
}
