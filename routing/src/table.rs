//! Routes by host and longest prefix. Changes are taken in item by item: a large configuration of which little changes costs
//! little.

use std::collections::HashMap;
use std::rc::Rc;

use ivyhatch_protocol::configuration::{Change, Limits, Route, Service};

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
pub struct Table {
    routes: HashMap<String, Rc<Route>>,
    places: HashMap<String, HashMap<String, Rc<Route>>>,
    services: HashMap<String, Service>,
    limits: Limits,
}

impl Table {
    /// Takes a change in. Items that can't be read are told, and left as they were.
    pub fn apply(&mut self, change: &Change) -> Vec<UnreadableItem> {
        let mut unreadable = Vec::new();
        let mut told = |section, name: &str, error: &serde_json::Error| {
            unreadable.push(UnreadableItem { section, name: name.to_owned(), problem: error.to_string() });
        };
        let removed = |section: &str| change.remove.get(section).into_iter().flatten();
        let items = |section: &str| change.upsert.get(section).into_iter().flatten();
        removed(ROUTES).for_each(|name| self.remove_route(name));
        removed(SERVICES).for_each(|name| drop(self.services.remove(name)));
        // Two routes may change places: all of them leave theirs before any takes one.
        let mut routes = Vec::new();
        for item in items(ROUTES) {
            match serde_json::from_str::<Route>(&item.json) {
                Ok(route) => {
                    self.remove_route(&item.name);
                    routes.push(Rc::new(route));
                }
                Err(error) => told(ROUTES, &item.name, &error),
            }
        }
        routes.into_iter().for_each(|route| self.add_route(route));
        for item in items(SERVICES) {
            match serde_json::from_str::<Service>(&item.json) {
                Ok(service) => drop(self.services.insert(item.name.clone(), service)),
                Err(error) => told(SERVICES, &item.name, &error),
            }
        }
        if let Some(limits) = change.rest.get(LIMITS) {
            match serde_json::from_str(limits.as_deref().unwrap_or("{}")) {
                Ok(limits) => self.limits = limits,
                Err(error) => told(LIMITS, LIMITS, &error),
            }
        }
        unreadable
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
    pub fn limits(&self) -> Limits {
        self.limits
    }
}

/// The service to which a request of this route goes: by weight, `draw` from 0 to 1 deciding.
pub fn target(route: &Route, draw: f64) -> Option<&str> {
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
