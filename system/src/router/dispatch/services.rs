//! Creates and configures services: the settings of their balancers, and this router's share of their capacity and retry budgets.

use std::cell::RefCell;
use std::rc::Rc;

use ivyhatch_balancer::{
    Balancer, ClassId, ClassSettings, Discovery, Event, LoadReporting, Settings as BalancerSettings,
    SharedRetryBudget, ZoneId,
};
use ivyhatch_protocol::configuration::{Route, Service as ServiceConfiguration};
use ivyhatch_protocol::hash::fnv1a_hash;
use ivyhatch_protocol::settings::Bounds;
use ivyhatch_protocol::{MILLISECOND, Nanos, SECOND};
use ivyhatch_routing::placement::{Placement, ServiceSettings, SharedPlacement, SlowStartLimit};
use ivyhatch_routing::route_table::{PreparedChange, UnreadableItem};
use ivyhatch_routing::router_share::RouterShare;

use super::service::{LATE_VALUE_SHARE, Service};
use super::state::{DispatcherState, WARM_UP_MARGIN};
use crate::router::attempt::ServiceId;

/// The longest `Retry-After` of a rejected request.
const MAX_RETRY_AFTER: Nanos = 400 * MILLISECOND;
/// Upper bound of the number of routers in a balancer's settings, per region. With a larger number, a balancer would assume that it sees
/// hardly any of the requests; the bound is safe because servers report their load.
const MAX_ROUTERS_PER_REGION: u32 = 8;
/// The number of routers in a region that is assumed until a control node has reported the number.
const DEFAULT_ROUTERS_PER_REGION: u32 = 4;
/// The fraction of the retry budget's slack, the retries allowed beyond the budget's ratio, that is divided among the known routers.
const RETRY_SLACK_FRACTION: f64 = 0.6;
/// The fraction of the retry budget's slack that is divided among the known routers during the first window after a router's start.
/// Smaller, as all routers may restart twice within one window.
const STARTING_RETRY_SLACK_FRACTION: f64 = 0.2;

impl DispatcherState {
    pub(super) fn configure(&mut self, change: PreparedChange) -> Vec<UnreadableItem> {
        let invalid_items = self.route_table.commit(change);
        let services: Vec<(Rc<str>, ServiceSettings)> = self
            .route_table
            .services()
            .map(|service| (Rc::from(service.name.as_str()), service_settings(service, &self.bounds)))
            .collect();
        for (name, settings) in services {
            let id = self.service_id(&name);
            if let Some(service) = self.services.get(&id) {
                service.placement.borrow_mut().configure(settings);
            }
        }
        invalid_items
    }

    pub(super) fn set_router_share(&mut self, share: RouterShare) {
        // The count is 0 while no router is in the directory; this router then counts itself.
        self.router_share = Some(RouterShare { count: share.count.max(1), ..share });
        let nodes = self.balancing_nodes();
        for service in self.services.values_mut() {
            service.balancer.set_nodes(nodes);
            service.placement.borrow_mut().set_router_share(share);
        }
        self.update_retry_budgets();
    }

    /// Sets whether the watched control nodes reach a quorum, on which the retry budgets depend.
    pub(super) fn set_quorum_reachable(&mut self, is_quorum_reachable: bool) {
        self.is_quorum_reachable = is_quorum_reachable;
        self.update_retry_budgets();
    }

    fn update_retry_budgets(&mut self) {
        let retry_budget = self.retry_budget();
        for service in self.services.values_mut() {
            service.balancer.share_retry_budget(retry_budget);
        }
    }

    /// This router's part of the retry budget of each service. The router has no share of the slack while the number of routers is
    /// unknown: before a control node has reported the number, and without a quorum, as each side of a partition would count only its own
    /// routers.
    fn retry_budget(&self) -> SharedRetryBudget {
        let known_share = self.router_share.filter(|_| self.is_quorum_reachable);
        let slack = self.bounds.retry_budget_slack;
        let share = known_share.map_or(0.0, |share| slack / f64::from(share.count));
        SharedRetryBudget {
            ratio: self.bounds.retry_budget_ratio,
            window: (self.bounds.retry_budget_window_s * SECOND as f64) as Nanos,
            slack_share: share * RETRY_SLACK_FRACTION,
            starting_slack_share: share * STARTING_RETRY_SLACK_FRACTION,
            started_at: self.started_at,
        }
    }

    /// The number of routers, including this one, that share the servers according to the balancers' settings.
    fn balancing_nodes(&self) -> u32 {
        let regions = self.regions.count().max(1);
        let routers = match self.router_share {
            Some(share) => share.count,
            None => DEFAULT_ROUTERS_PER_REGION * regions,
        };
        routers.clamp(1, MAX_ROUTERS_PER_REGION * regions)
    }

    /// Returns the ID of a service. If the name is unknown, a service with a balancer of its own is created.
    pub(super) fn service_id(&mut self, name: &str) -> ServiceId {
        if let Some(id) = self.service_ids.get(name) {
            return *id;
        }
        let id = ServiceId(self.service_ids.len() as u32);
        let name = Rc::<str>::from(name);
        let seed = self.random_state ^ fnv1a_hash(name.as_bytes());
        let now = self.clock.now();
        // `Balancer::new` rejects only invalid settings; these are constants of this file or clamped, and valid.
        let Ok(mut balancer) = Balancer::new(self.balancer_settings(), seed, now) else { return id };
        balancer.share_retry_budget(self.retry_budget());
        balancer.handle(now, Event::Start, &mut Vec::new());
        let placement = Rc::new(RefCell::new(Placement::new(self.regions.home, self.regions.count())));
        placement.borrow_mut().set_started_at(self.started_at);
        if let Some(share) = self.router_share {
            placement.borrow_mut().set_router_share(share);
        }
        balancer.set_advisor(Box::new(SharedPlacement(placement.clone())));
        self.service_ids.insert(name.clone(), id);
        self.services.insert(id, Service::new(name, balancer, placement));
        id
    }

    fn balancer_settings(&self) -> BalancerSettings {
        let mut settings = BalancerSettings::new(ZoneId(self.regions.home), self.regions.count());
        settings.nodes = self.balancing_nodes();
        settings.classes =
            vec![ClassSettings { late_value_share: LATE_VALUE_SHARE, ..ClassSettings::default() }];
        settings.discovery = Discovery::Pushed;
        settings.reports = LoadReporting::Piggyback;
        settings.clients_mark_retries = true;
        settings.limits.hedging = false;
        settings.limits.max_retry_after = MAX_RETRY_AFTER;
        settings.rules.initial_capacity = 1.0;
        // Slow start is implemented by the placement; the shortest time switches off the balancer's own.
        settings.rules.warm_up_time = 1;
        settings
    }

    /// The balancer's class for a route's requests; `None` if the service does not exist.
    pub(super) fn request_class(&mut self, service: ServiceId, route: &Route) -> Option<ClassId> {
        self.services.get_mut(&service).map(|service| service.request_class(route))
    }
}

/// The placement's settings for a service, derived from the configuration and the operator's bounds.
fn service_settings(service: &ServiceConfiguration, bounds: &Bounds) -> ServiceSettings {
    let limit = service.warm_up_rate_per_s * bounds.warm_up_rate_factor + bounds.warm_up_rate_slack;
    let requests_per_second = if service.warm_up_rate_per_s > 0.0 { limit } else { 0.0 };
    let duration = (service.warm_up_s * SECOND as f64) as Nanos + WARM_UP_MARGIN;
    let slow_start = SlowStartLimit { requests_per_second, duration };
    ServiceSettings { is_model: service.engine.is_some(), slow_start }
}
