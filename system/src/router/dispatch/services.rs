//! Services as the configuration has them: each one's balancer, its classes of requests, and the share of this router.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use ivyhatch_balancer::{Balancer, ClassId, ClassSettings, Discovery, Effect, Event, Reports, ZoneId};
use ivyhatch_protocol::configuration::Route;
use ivyhatch_protocol::ids::fnv1a_hash;
use ivyhatch_protocol::{MILLISECOND, Nanos, SECOND};
use ivyhatch_routing::placement::{Placement, RegionSet, ServiceSettings, SharedPlacement, SlowStartLimit};
use ivyhatch_routing::route_table::{PreparedChange, UnreadableItem};
use ivyhatch_routing::router_share::RouterShare;

use super::COLD_MORE;
use super::attempt::Service;
use super::state::{Balanced, DispatcherState};

/// Part of its aim for which a request that was never sent is held: a refusal has to come within a quarter.
const HELD_PART: f64 = 0.2;
/// Longest pause that a refused client is asked for.
const PAUSE: Nanos = 400 * MILLISECOND;
/// Share of a late answer's worth; what it is exactly is not told.
const LATE_SHARE: f64 = 0.5;
/// With more routers a region than this the design would take each for one that sees next to nothing; servers tell their load.
const MOST_ROUTERS_A_REGION: u32 = 8;
/// Part of the slack for repeats that the routers share out; the rest is for routers that are not known of yet.
const SAVED_PART: f64 = 0.8;
/// As long as their number is not known.
const USUAL_ROUTERS_A_REGION: u32 = 4;

impl DispatcherState {
    pub(super) fn region(&self, zone: &str) -> u32 {
        let region = self.zones.get(zone).map_or(zone, String::as_str);
        let at = self.regions.iter().position(|known| known == region);
        // One that the settings do not name is nobody's home.
        at.unwrap_or(self.regions.len()) as u32
    }

    /// Regions in which a route's requests may be served.
    pub(super) fn homes(&self, route: &Route) -> RegionSet {
        if route.home_regions.is_empty() {
            return RegionSet::MAX;
        }
        let bit = |region: &String| {
            let at = self.regions.iter().position(|known| known == region);
            at.filter(|at| *at < 64).map_or(0, |at| 1 << at)
        };
        route.home_regions.iter().map(bit).fold(0, |all: RegionSet, bit: RegionSet| all | bit)
    }

    pub(super) fn configure(&mut self, change: PreparedChange) -> Vec<UnreadableItem> {
        let unreadable = self.table.commit(change);
        let services: Vec<(Rc<str>, ServiceSettings)> = self
            .table
            .services()
            .map(|service| {
                let bound = service.warm_up_rate_per_s * self.bounds.warm_up_rate_factor
                    + self.bounds.warm_up_rate_slack;
                let requests_per_second = if service.warm_up_rate_per_s > 0.0 { bound } else { 0.0 };
                let duration = (service.warm_up_s * SECOND as f64) as Nanos + COLD_MORE;
                let slow_start = SlowStartLimit { requests_per_second, duration };
                let settings = ServiceSettings { is_model: service.engine.is_some(), slow_start };
                (Rc::from(service.name.as_str()), settings)
            })
            .collect();
        for (name, settings) in services {
            let id = self.service(&name);
            if let Some(service) = self.services.get(&id) {
                service.placement.borrow_mut().configure(settings);
            }
        }
        unreadable
    }

    pub(super) fn nodes(&self) -> u32 {
        let regions = self.regions.len().max(1) as u32;
        self.routers.unwrap_or(USUAL_ROUTERS_A_REGION * regions).clamp(1, MOST_ROUTERS_A_REGION * regions)
    }

    pub(super) fn set_routers(&mut self, routers: u32, place: u32) {
        self.routers = Some(routers.max(1));
        self.place = place;
        let nodes = self.nodes();
        let saved = self.bounds.retry_budget_slack * SAVED_PART / f64::from(routers.max(1));
        for service in self.services.values_mut() {
            service.balancer.set_nodes(nodes);
            service.balancer.set_retries_saved(saved);
            service.placement.borrow_mut().set_router_share(RouterShare { count: routers, index: place });
        }
    }

    /// A service's number; a new one gets a balancer.
    pub(super) fn service(&mut self, name: &str) -> Service {
        if let Some(id) = self.names.get(name) {
            return *id;
        }
        let (id, name) = (Service(self.names.len() as u32), Rc::<str>::from(name));
        let regions = self.regions.len() as u32;
        let mut settings = ivyhatch_balancer::Settings::new(ZoneId(self.home), regions);
        settings.nodes = self.nodes();
        settings.classes = vec![ClassSettings { late_share: LATE_SHARE, ..ClassSettings::default() }];
        settings.discovery = Discovery::Pushed;
        settings.reports = Reports::Piggyback;
        settings.repeats_marked = true;
        settings.limits.second_copies = false;
        settings.limits.retry_after = PAUSE;
        settings.rules.start_capacity = 1.0;
        settings.rules.warm_after = 1;
        let seed = self.random ^ fnv1a_hash(name.as_bytes());
        let now = self.clock.now();
        // The settings are the program's own: they are sound.
        let Ok(mut balancer) = Balancer::new(settings, seed, now) else { return id };
        balancer.handle(now, Event::Start, &mut Vec::new());
        let placement = Rc::new(RefCell::new(Placement::new(self.home, regions)));
        if let Some(routers) = self.routers {
            placement.borrow_mut().set_router_share(RouterShare { count: routers, index: self.place });
        }
        balancer.advise(Box::new(SharedPlacement(placement.clone())));
        self.names.insert(name.clone(), id);
        let balanced = Balanced {
            name,
            balancer,
            placement,
            classes: HashMap::new(),
            ids: HashMap::new(),
            backends: HashMap::new(),
            next_backend: 0,
        };
        self.services.insert(id, balanced);
        id
    }
    pub(super) fn class(&mut self, service: Service, route: &Route) -> Option<ClassId> {
        let aim = (route.latency_target_ms.max(1.0) * MILLISECOND as f64) as Nanos;
        let key = (aim, route.priority, route.max_attempts, route.is_idempotent());
        let balanced = self.services.get_mut(&service)?;
        if let Some(class) = balanced.classes.get(&key) {
            return Some(*class);
        }
        let class = balanced.balancer.add_class(ClassSettings {
            aim,
            deadline: (route.timeout_ms.max(1.0) * MILLISECOND as f64) as Nanos,
            // The more urgent, the more it is worth; by how much is not told.
            worth: 4.0 / f64::from(1 + route.priority.min(9)),
            late_share: LATE_SHARE,
            effect: if route.is_idempotent() { Effect::Repeatable } else { Effect::Once },
            attempts: Some(route.max_attempts.max(1)),
            patience: Some((aim as f64 * HELD_PART) as Nanos),
            again_late: true,
        });
        balanced.classes.insert(key, class);
        Some(class)
    }
}
