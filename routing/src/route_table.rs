//! The routes, services and limits in force, and the lookup of a request's route by host and longest path prefix.
//!
//! A change is applied item by item, so that a small change to a large configuration is cheap. Most of the cost of a large change is
//! parsing: a [`PreparedChange`] parses its items in advance, a few at a time, so that the router is not blocked. The parsed change is
//! then committed in one step, so that no request sees a partly applied change.

use std::collections::HashMap;
use std::rc::Rc;

use ivyhatch_protocol::configuration::{Change, Item, RequestLimits, Route, Service};
use serde::de::DeserializeOwned;

const ROUTES: &str = "routes";
const SERVICES: &str = "services";
const LIMITS: &str = "limits";

/// A configuration item that cannot be parsed. The control plane has validated the item, so it was written by another release.
#[derive(Debug, thiserror::Error)]
#[error("{section}: item {name:?} cannot be parsed: {error}; run the same release on all machines")]
pub struct UnreadableItem {
    section: &'static str,
    name: String,
    error: serde_json::Error,
}

/// The routes, services and limits in force.
#[derive(Debug, Default)]
pub struct RouteTable {
    routes: HashMap<String, Rc<Route>>,
    /// Routes by lower-case host, then by path prefix.
    by_host: HashMap<String, HashMap<String, Rc<Route>>>,
    services: HashMap<String, Service>,
    limits: RequestLimits,
}

/// A configuration change whose items are parsed in steps before the change is committed.
#[derive(Debug)]
pub struct PreparedChange {
    removed_routes: Vec<String>,
    removed_services: Vec<String>,
    unparsed_routes: std::vec::IntoIter<Item>,
    unparsed_services: std::vec::IntoIter<Item>,
    routes: Vec<Rc<Route>>,
    services: Vec<Service>,
    limits: Option<RequestLimits>,
    unreadable: Vec<UnreadableItem>,
}

impl PreparedChange {
    /// Creates a prepared change with no route or service parsed yet; the limits are parsed at once.
    pub fn new(mut change: Change) -> Self {
        let mut prepared = Self {
            removed_routes: change.remove.remove(ROUTES).unwrap_or_default(),
            removed_services: change.remove.remove(SERVICES).unwrap_or_default(),
            unparsed_routes: change.upsert.remove(ROUTES).unwrap_or_default().into_iter(),
            unparsed_services: change.upsert.remove(SERVICES).unwrap_or_default().into_iter(),
            routes: Vec::new(),
            services: Vec::new(),
            limits: None,
            unreadable: Vec::new(),
        };
        if let Some(limits) = change.other_fields.remove(LIMITS) {
            prepared.limits = prepared.parse(LIMITS, LIMITS, limits.as_deref().unwrap_or("{}"));
        }
        prepared
    }

    /// Parses at most `max_items` of the remaining items. Returns whether all items have been parsed.
    pub fn parse_items(&mut self, max_items: usize) -> bool {
        for _ in 0..max_items {
            if let Some(item) = self.unparsed_routes.next() {
                let route = self.parse(ROUTES, &item.name, &item.json).map(Rc::new);
                self.routes.extend(route);
            } else if let Some(item) = self.unparsed_services.next() {
                let service = self.parse(SERVICES, &item.name, &item.json);
                self.services.extend(service);
            } else {
                return true;
            }
        }
        self.unparsed_routes.len() + self.unparsed_services.len() == 0
    }

    /// Parses one item. An item that cannot be parsed is recorded, to be returned by [`RouteTable::commit`].
    fn parse<T: DeserializeOwned>(&mut self, section: &'static str, name: &str, json: &str) -> Option<T> {
        match serde_json::from_str(json) {
            Ok(parsed) => Some(parsed),
            Err(error) => {
                self.unreadable.push(UnreadableItem { section, name: name.to_owned(), error });
                None
            }
        }
    }
}

impl RouteTable {
    /// Parses a change and applies it. Returns the items that cannot be parsed; their previous versions stay in force.
    pub fn apply(&mut self, change: &Change) -> Vec<UnreadableItem> {
        self.commit(PreparedChange::new(change.clone()))
    }

    /// Applies a change, after parsing its remaining items. Returns the items that cannot be parsed; their previous versions stay in
    /// force.
    pub fn commit(&mut self, mut change: PreparedChange) -> Vec<UnreadableItem> {
        change.parse_items(usize::MAX);
        for name in &change.removed_routes {
            self.remove_route(name);
        }
        for name in &change.removed_services {
            self.services.remove(name);
        }
        // Routes may swap their prefixes in one change: all changed routes are removed before any is added.
        for route in &change.routes {
            self.remove_route(&route.name);
        }
        for route in change.routes {
            self.add_route(route);
        }
        let services = change.services.into_iter().map(|service| (service.name.clone(), service));
        self.services.extend(services);
        if let Some(limits) = change.limits {
            self.limits = limits;
        }
        change.unreadable
    }

    fn add_route(&mut self, route: Rc<Route>) {
        let prefixes = self.by_host.entry(route.host.to_ascii_lowercase()).or_default();
        prefixes.insert(route.path_prefix.clone(), route.clone());
        self.routes.insert(route.name.clone(), route);
    }

    fn remove_route(&mut self, name: &str) {
        let Some(route) = self.routes.remove(name) else { return };
        let host = route.host.to_ascii_lowercase();
        let Some(prefixes) = self.by_host.get_mut(&host) else { return };
        if prefixes.get(&route.path_prefix).is_some_and(|current| current.name == name) {
            prefixes.remove(&route.path_prefix);
        }
        if prefixes.is_empty() {
            self.by_host.remove(&host);
        }
    }

    /// The route of a request: among the routes of the host, the one with the longest path prefix that `path` begins with; `None` if
    /// there is none. `host` is the value of the `Host` field, with or without a port, in upper or lower case (RFC 9110, sections 7.2
    /// and 4.2.3).
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let name = without_port(host);
        let prefixes = match self.by_host.get(name) {
            Some(prefixes) => prefixes,
            None => self.by_host.get(&name.to_ascii_lowercase())?,
        };
        // Every prefix ends with a slash, so the slashes of the path are tried from the last to the first: longest prefix first.
        let slashes = path.bytes().enumerate().rev().filter(|(_, byte)| *byte == b'/');
        slashes.into_iter().find_map(|(index, _)| prefixes.get(&path[..=index]))
    }

    /// The service with this name; `None` if it is not configured.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// All services, in arbitrary order.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// All routes, in arbitrary order.
    pub fn routes(&self) -> impl Iterator<Item = &Rc<Route>> {
        self.routes.values()
    }

    /// The limits on requests; the defaults if the configuration sets none.
    pub fn limits(&self) -> RequestLimits {
        self.limits
    }
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}

/// The service to which a request of this route is sent. If the route is split, the service is selected by `draw`, a random number
/// from 0 to 1, in proportion to the weights; a service of weight 0 is never selected. `None` if the route has no service to select.
pub fn select_service(route: &Route, draw: f64) -> Option<&str> {
    if route.split.is_empty() {
        return route.service.as_deref();
    }
    let total_weight: f64 = route.split.iter().map(|part| part.weight).sum();
    let mut remaining = draw * total_weight;
    for part in &route.split {
        remaining -= part.weight;
        if remaining < 0.0 && part.weight > 0.0 {
            return Some(&part.service);
        }
    }
    // Reached if `draw` is 1, or by a rounding error of the sum.
    route.split.iter().rfind(|part| part.weight > 0.0).map(|part| part.service.as_str())
}
