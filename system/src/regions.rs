//! Maps the regions and zones of the settings to region indexes.

use std::collections::{BTreeMap, BTreeSet};

use ivyhatch_protocol::configuration::Route;
use ivyhatch_protocol::settings::Settings;
use ivyhatch_routing::placement::RegionSet;

/// The regions of the settings in alphabetical order, so that all processes assign the same indexes.
pub struct Regions {
    names: Vec<String>,
    by_zone: BTreeMap<String, String>,
    /// The index of this machine's region.
    pub home: u32,
}

impl Regions {
    /// Collects the regions of all zones in the settings, and this machine's region.
    pub fn new(settings: &Settings) -> Self {
        let names: BTreeSet<String> =
            settings.zones.values().cloned().chain([settings.region.clone()]).collect();
        let names: Vec<String> = names.into_iter().collect();
        let home = names.iter().position(|name| *name == settings.region).unwrap_or(0) as u32;
        Self { names, by_zone: settings.zones.clone(), home }
    }

    /// The number of regions. Indexes of known regions are below this number.
    pub fn count(&self) -> u32 {
        self.names.len() as u32
    }

    /// The index of a zone's region. A zone that the settings do not name counts as a region with the zone's name. All unknown regions
    /// share the index after the last region, which is no route's home region.
    pub fn index_of_zone(&self, zone: &str) -> u32 {
        let region = self.by_zone.get(zone).map_or(zone, String::as_str);
        self.position(region).unwrap_or(self.names.len()) as u32
    }

    /// The regions in which a route's requests may be served: all if the route names none.
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
