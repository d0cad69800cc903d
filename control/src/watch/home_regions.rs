//! The home regions of the configuration's routes, by which the directory selects router addresses for partitioned regions.

use std::collections::BTreeSet;

use ivyhatch_protocol::configuration::Document;

/// The home regions of all routes that have any.
#[derive(Debug, Default)]
pub struct HomeRegions {
    /// The sets of home regions of the routes, each distinct set once.
    distinct_homes: BTreeSet<BTreeSet<String>>,
    /// The sequence number of the configuration that the home regions were read from.
    sequence: u64,
}

impl HomeRegions {
    /// Reads the home regions from the configuration with this sequence number, unless they have been read from it already. A
    /// configuration that can't be decoded counts as one without home regions.
    pub fn update(&mut self, sequence: u64, document: &Document) {
        if sequence == self.sequence {
            return;
        }
        let routes = document.routing_view().map(|view| view.routes).unwrap_or_default();
        let homes = routes.into_iter().map(|route| route.home_regions.into_iter().collect::<BTreeSet<_>>());
        *self = Self { distinct_homes: homes.filter(|homes| !homes.is_empty()).collect(), sequence };
    }

    /// The regions that are home to every route whose requests may not be served in `region`; empty where there is no such route. A router
    /// in one of these regions can serve the requests of `region`'s clients on all those routes.
    pub fn homes_common_to_routes_excluding(&self, region: &str) -> BTreeSet<String> {
        let mut excluding = self.distinct_homes.iter().filter(|homes| !homes.contains(region));
        let Some(first) = excluding.next() else { return BTreeSet::new() };
        excluding.fold(first.clone(), |common, homes| common.intersection(homes).cloned().collect())
    }
}
