//! The home regions of the configuration's routes, for the directory.

use std::collections::BTreeSet;

use ivyhatch_protocol::configuration::Document;

/// The home regions of all routes that have any.
#[derive(Debug, Default)]
pub struct HomeRegions {
    distinct_homes: BTreeSet<BTreeSet<String>>,
    /// The sequence number of the configuration that they are of.
    sequence: u64,
}

impl HomeRegions {
    /// Takes those of the configuration with this sequence number, unless they are known; none where it can't be read.
    pub fn update(&mut self, sequence: u64, document: &Document) {
        if sequence == self.sequence {
            return;
        }
        let routes = document.routing_view().map(|view| view.routes).unwrap_or_default();
        let homes = routes.into_iter().map(|route| route.home_regions.into_iter().collect::<BTreeSet<_>>());
        *self = Self { distinct_homes: homes.filter(|homes| !homes.is_empty()).collect(), sequence };
    }

    /// The regions that are home to every route whose requests may not be served in this region; empty where there is no such route.
    /// Requests that a client of this region sends to a router there are among their homes.
    pub fn common_to_excluding_routes(&self, region: &str) -> BTreeSet<String> {
        let mut excluding = self.distinct_homes.iter().filter(|homes| !homes.contains(region));
        let Some(first) = excluding.next() else { return BTreeSet::new() };
        excluding.fold(first.clone(), |common, homes| common.intersection(homes).cloned().collect())
    }
}
