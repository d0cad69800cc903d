//! The routes, services and limits in force, and the route of a request by host and longest path prefix.
//!
//! A change is applied item by item, so that a small change of a large configuration costs little. To parse the items of a large
//! change is most of its cost: a [`PreparedChange`] does it a few items at a time beforehand. The change itself is then made at once,
//! so that no request sees half of it.

use std::collections::HashMap;
use std::rc::Rc;

use ivyhatch_protocol::configuration::{Change, Item, RequestLimits, Route, Service};
use serde::de::DeserializeOwned;

const ROUTES: &str = "routes";
const SERVICES: &str = "services";
const LIMITS: &str = "limits";

/// An item that can't be parsed. The control plane has validated it before, so it is of another release.
#[derive(Debug, thiserror::Error)]
#[error("{section}: {name:?} can't be read ({error}): bring all machines to one release")]
pub struct UnreadableItem {
    section: &'static str,
    name: String,
    error: serde_json::Error,
}

/// The routes, services and limits in force.
#[derive(Debug, Default)]
pub struct RouteTable {
    routes: HashMap<String, Rc<Route>>,
    /// Routes by host in lower case, then by path prefix.
    by_host: HashMap<String, HashMap<String, Rc<Route>>>,
    services: HashMap<String, Service>,
    limits: RequestLimits,
}

/// A change whose items are being parsed, some at a time.
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
    /// A change of which no route and no service has been parsed yet.
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

    /// Parses at most `max_items` of the items that are left. Returns whether all have been parsed.
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

    /// Parses one item; one that can't be parsed is kept aside for the caller of [`RouteTable::commit`].
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
    /// Parses a change and applies it. Returns the items that can't be parsed; these stay as they were.
    pub fn apply(&mut self, change: &Change) -> Vec<UnreadableItem> {
        self.commit(PreparedChange::new(change.clone()))
    }

    /// Applies a change, after parsing what is left of it. Returns the items that can't be parsed; these stay as they were.
    pub fn commit(&mut self, mut change: PreparedChange) -> Vec<UnreadableItem> {
        change.parse_items(usize::MAX);
        for name in &change.removed_routes {
            self.remove_route(name);
        }
        for name in &change.removed_services {
            self.services.remove(name);
        }
        // Two routes may swap their prefixes: all are removed before any is added.
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

    /// The route of a request: among those of its host, the one with the longest prefix of its path. `host` is the value of the
    /// `Host` field, with or without a port, in any case (RFC 9110, sections 7.2 and 4.2.3).
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let name = without_port(host);
        let prefixes = match self.by_host.get(name) {
            Some(prefixes) => prefixes,
            None => self.by_host.get(&name.to_ascii_lowercase())?,
        };
        // A prefix ends with a slash: one can end at each slash of the path, and the longest is wanted.
        let slashes = path.bytes().enumerate().rev().filter(|(_, byte)| *byte == b'/');
        slashes.into_iter().find_map(|(index, _)| prefixes.get(&path[..=index]))
    }

    /// The service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// All services, in no order.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// All routes, in no order.
    pub fn routes(&self) -> impl Iterator<Item = &Rc<Route>> {
        self.routes.values()
    }

    /// The limits on requests; the defaults where the configuration names none.
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

/// The service to which a request of this route goes. A split is by weight, and `draw`, a random number from 0 to 1, decides; a
/// service of weight 0 is never chosen.
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
    // A draw of 1, or the sum's rounding.
    route.split.iter().rfind(|part| part.weight > 0.0).map(|part| part.service.as_str())
}
