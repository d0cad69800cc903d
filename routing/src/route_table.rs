//! Routes by host and longest prefix. Changes are taken in item by item: a large configuration of which little changes costs
//! little. Reading the items of a large change is most of its cost, and can be done a few at a time beforehand; the change itself
//! is then made at once, so that no request sees half of it.

use std::collections::HashMap;
use std::rc::Rc;

use ivyhatch_protocol::configuration::{Change, Item, RequestLimits, Route, Service};
use serde::de::DeserializeOwned;

const ROUTES: &str = "routes";
const SERVICES: &str = "services";
const LIMITS: &str = "limits";

/// Why an item could not be used. It was checked before it was decided on, so this is another release's.
#[derive(Debug, thiserror::Error)]
#[error("{section}: {name:?} can't be read ({problem}): bring all machines to one release")]
pub struct UnreadableItem {
    section: &'static str,
    name: String,
    problem: String,
}

/// The routes, services and limits in force.
#[derive(Debug, Default)]
pub struct RouteTable {
    routes: HashMap<String, Rc<Route>>,
    places: HashMap<String, HashMap<String, Rc<Route>>>,
    services: HashMap<String, Service>,
    limits: RequestLimits,
}

/// A change whose items are being read, some at a time.
#[derive(Debug)]
pub struct PreparedChange {
    removed_routes: Vec<String>,
    removed_services: Vec<String>,
    unread_routes: std::vec::IntoIter<Item>,
    unread_services: std::vec::IntoIter<Item>,
    routes: Vec<Rc<Route>>,
    services: Vec<Service>,
    limits: Option<RequestLimits>,
    unreadable: Vec<UnreadableItem>,
}

impl PreparedChange {
    /// A change none of whose routes and services has been read yet.
    pub fn new(mut change: Change) -> Self {
        let mut prepared = Self {
            removed_routes: change.remove.remove(ROUTES).unwrap_or_default(),
            removed_services: change.remove.remove(SERVICES).unwrap_or_default(),
            unread_routes: change.upsert.remove(ROUTES).unwrap_or_default().into_iter(),
            unread_services: change.upsert.remove(SERVICES).unwrap_or_default().into_iter(),
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

    /// Reads at most so many of the items. Whether all have been read.
    pub fn parse_items(&mut self, max_items: usize) -> bool {
        for _ in 0..max_items {
            if let Some(item) = self.unread_routes.next() {
                let route = self.parse(ROUTES, &item.name, &item.json).map(Rc::new);
                self.routes.extend(route);
            } else if let Some(item) = self.unread_services.next() {
                let service = self.parse(SERVICES, &item.name, &item.json);
                self.services.extend(service);
            } else {
                return true;
            }
        }
        self.unread_routes.len() + self.unread_services.len() == 0
    }

    fn parse<T: DeserializeOwned>(&mut self, section: &'static str, name: &str, json: &str) -> Option<T> {
        match serde_json::from_str(json) {
            Ok(read) => Some(read),
            Err(error) => {
                let (name, problem) = (name.to_owned(), error.to_string());
                self.unreadable.push(UnreadableItem { section, name, problem });
                None
            }
        }
    }
}

impl RouteTable {
    /// Takes a change in. Items that can't be read are told, and left as they were.
    pub fn apply(&mut self, change: &Change) -> Vec<UnreadableItem> {
        self.commit(PreparedChange::new(change.clone()))
    }

    /// Takes a change in, with whatever has not been read of it yet. Items that can't be read are told, and left as they were.
    pub fn commit(&mut self, mut change: PreparedChange) -> Vec<UnreadableItem> {
        change.parse_items(usize::MAX);
        change.removed_routes.iter().for_each(|name| self.remove_route(name));
        change.removed_services.iter().for_each(|name| drop(self.services.remove(name)));
        // Two routes may change places: all of them leave theirs before any takes one.
        change.routes.iter().for_each(|route| self.remove_route(&route.name));
        change.routes.into_iter().for_each(|route| self.add_route(route));
        let services = change.services.into_iter().map(|service| (service.name.clone(), service));
        self.services.extend(services);
        if let Some(limits) = change.limits {
            self.limits = limits;
        }
        change.unreadable
    }

    fn add_route(&mut self, route: Rc<Route>) {
        let host = self.places.entry(route.host.to_ascii_lowercase()).or_default();
        host.insert(route.path_prefix.clone(), route.clone());
        self.routes.insert(route.name.clone(), route);
    }

    fn remove_route(&mut self, name: &str) {
        let Some(route) = self.routes.remove(name) else { return };
        let host = route.host.to_ascii_lowercase();
        if let Some(prefixes) = self.places.get_mut(&host) {
            if prefixes.get(&route.path_prefix).is_some_and(|there| there.name == name) {
                prefixes.remove(&route.path_prefix);
            }
            if prefixes.is_empty() {
                self.places.remove(&host);
            }
        }
    }

    /// The route of a request: among those of its host, the one with the longest prefix that begins its path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, port)| {
            if port.bytes().all(|byte| byte.is_ascii_digit()) { name } else { host }
        });
        let prefixes = match self.places.get(name) {
            Some(prefixes) => prefixes,
            None => self.places.get(&name.to_ascii_lowercase())?,
        };
        // Prefixes end with a slash: only as far as each of the path's can one go.
        let ends = path.bytes().enumerate().rev().filter(|(_, byte)| *byte == b'/').map(|(at, _)| at + 1);
        ends.into_iter().find_map(|end| prefixes.get(&path[..end]))
    }

    /// A service.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Rc<Route>> {
        self.routes.values()
    }

    /// The limits.
    pub fn limits(&self) -> RequestLimits {
        self.limits
    }
}

/// The service to which a request of this route goes: by weight, `draw` from 0 to 1 deciding.
pub fn select_service(route: &Route, draw: f64) -> Option<&str> {
    if route.split.is_empty() {
        return route.service.as_deref();
    }
    let sum: f64 = route.split.iter().map(|part| part.weight).sum();
    let mut left = draw * sum;
    for part in &route.split {
        left -= part.weight;
        if left < 0.0 && part.weight > 0.0 {
            return Some(&part.service);
        }
    }
    route.split.iter().rfind(|part| part.weight > 0.0).map(|part| part.service.as_str())
}
