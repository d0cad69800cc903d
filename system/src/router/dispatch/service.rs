//! A service with its balancer, its placement, and its servers.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use ivyhatch_balancer::{BackendId, BackendState, Balancer, ClassId, ClassSettings, Idempotency};
use ivyhatch_protocol::configuration::Route;
use ivyhatch_protocol::{MILLISECOND, Nanos};
use ivyhatch_routing::placement::Placement;

use super::retry_usage_log::RetryUsageLog;

/// The longest time for which a request may be queued before it is sent, as a fraction of the request's latency target. Less than a
/// quarter, as a rejection is to be sent within a quarter of the target.
const MAX_QUEUE_TIME_FRACTION: f64 = 0.2;
/// The fraction of a request's value that a late response still has. The configuration has no setting for this.
pub const LATE_VALUE_SHARE: f64 = 0.5;
/// The value of a request of the most urgent priority, 0. The configuration orders priorities, but does not assign values to them.
const MAX_REQUEST_VALUE: f64 = 4.0;
/// The least urgent priority with a value of its own. Larger priorities have the same value as this one.
const MAX_PRIORITY: u32 = 9;

/// The properties of a route that determine the balancer's class of its requests.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct ClassKey {
    latency_target: Nanos,
    priority: u32,
    max_attempts: u32,
    is_idempotent: bool,
}

/// A server of a service.
pub struct ServerEntry {
    /// The address at which the server listens.
    pub endpoint: SocketAddr,
    /// The index of the server's region.
    pub region: u32,
    /// The ID of the server's instance.
    pub instance: Rc<str>,
    /// Whether the server takes new requests, as last reported to the balancer.
    pub state: BackendState,
    /// How often the evacuation state of the server's zone had changed when the server list was last applied.
    pub evacuation_changes: u64,
}

/// A service that is named by a route or by a server of the server list.
pub struct Service {
    /// The service's name in the configuration.
    pub name: Rc<str>,
    /// The balancer that chooses servers for the service's requests.
    pub balancer: Balancer,
    /// The placement, shared with the balancer as its advisor.
    pub placement: Rc<RefCell<Placement>>,
    /// The servers that the server list has for this service.
    pub servers: HashMap<BackendId, ServerEntry>,
    /// The balancer's IDs of the servers, by instance ID.
    pub backend_ids: HashMap<String, BackendId>,
    /// Determines when the balancer's retry usage is logged.
    pub retry_usage_log: RetryUsageLog,
    last_backend_id: u32,
    classes: HashMap<ClassKey, ClassId>,
}

impl Service {
    /// Creates a service without servers.
    pub fn new(name: Rc<str>, balancer: Balancer, placement: Rc<RefCell<Placement>>) -> Self {
        Self {
            name,
            balancer,
            placement,
            servers: HashMap::new(),
            backend_ids: HashMap::new(),
            retry_usage_log: RetryUsageLog::default(),
            last_backend_id: 0,
            classes: HashMap::new(),
        }
    }

    /// Returns the balancer's ID of an instance. An unknown instance gets a new ID; IDs are never reused.
    pub fn backend_id(&mut self, instance: &str) -> BackendId {
        if let Some(id) = self.backend_ids.get(instance) {
            return *id;
        }
        self.last_backend_id += 1;
        let id = BackendId(self.last_backend_id);
        self.backend_ids.insert(instance.to_owned(), id);
        id
    }

    /// Returns the balancer's class for a route's requests. Routes with the same properties share a class, which is created on first use.
    pub fn request_class(&mut self, route: &Route) -> ClassId {
        let latency_target = route.latency_target();
        let key = ClassKey {
            latency_target,
            priority: route.priority,
            max_attempts: route.max_attempts,
            is_idempotent: route.is_idempotent(),
        };
        if let Some(class) = self.classes.get(&key) {
            return *class;
        }
        let idempotency =
            if key.is_idempotent { Idempotency::Idempotent } else { Idempotency::NonIdempotent };
        let class = self.balancer.add_class(ClassSettings {
            latency_target,
            deadline: (route.timeout_ms.max(1.0) * MILLISECOND as f64) as Nanos,
            value: MAX_REQUEST_VALUE / f64::from(1 + route.priority.min(MAX_PRIORITY)),
            late_value_share: LATE_VALUE_SHARE,
            idempotency,
            max_attempts: Some(route.max_attempts.max(1)),
            max_queue_time: Some((latency_target as f64 * MAX_QUEUE_TIME_FRACTION) as Nanos),
            retry_past_target: true,
        });
        self.classes.insert(key, class);
        class
    }
}
