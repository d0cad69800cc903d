//! The typed view of a configuration, by which requests are routed. Unknown fields are ignored.
//!
//! A field that the code calls by the standard term keeps its name in the configuration as a `serde`
//! attribute.

use serde::Deserialize;

use crate::{MILLISECOND, Nanos};

/// How the requests of a route may be executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum RouteKind {
    /// Idempotent: a request may be retried, and executed more than once.
    Safe,
    /// Not idempotent: a request may be executed once for each attempt of the client.
    Unsafe,
    /// Answered by server-sent events. Not idempotent, unless [`Route::resumable`].
    Streaming,
}

/// A service's weight in a traffic split.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Split {
    /// The name of the service.
    pub service: String,
    /// The service's weight, relative to the sum of all weights of the route.
    pub weight: f64,
}

/// A route: which requests it matches, and how they are served.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Route {
    /// The name of the route.
    pub name: String,
    /// The host that requests name; case does not matter.
    pub host: String,
    /// The beginning of the path of requests. The longest matching prefix counts.
    pub path_prefix: String,
    /// How requests may be executed.
    pub route_kind: RouteKind,
    /// Milliseconds from the arrival of a request until it is given up.
    pub timeout_ms: f64,
    /// The latency target in milliseconds (SLO): the time within which a response, or the first event of a
    /// stream, is on time.
    #[serde(rename = "target_ms", default)]
    pub latency_target_ms: f64,
    /// The priority of requests; 0 is the highest. Lower priorities are shed first.
    #[serde(default)]
    pub priority: u32,
    /// The only service; `None` if there is a `split`.
    pub service: Option<String>,
    /// The services, by weight.
    #[serde(default)]
    pub split: Vec<Split>,
    /// The highest number of servers that one request may be sent to, the first one included.
    #[serde(rename = "max_tries", default = "default_max_attempts")]
    pub max_attempts: u32,
    /// Whether servers keep state of a session (a prefix cache, say), so that its requests should go to the
    /// same one (affinity).
    #[serde(default)]
    pub sticky: bool,
    /// Whether a stream that breaks off can be resumed at another server.
    #[serde(default)]
    pub resumable: bool,
    /// The longest gap between two events of a stream that is on time, in milliseconds; 0 for none.
    #[serde(rename = "gap_aim_ms", default)]
    pub event_gap_target_ms: f64,
    /// The regions in which requests may be served; empty for all.
    #[serde(default)]
    pub home_regions: Vec<String>,
}

fn default_max_attempts() -> u32 {
    1
}

impl Route {
    /// The latency target, of a millisecond at least.
    pub fn latency_target(&self) -> Nanos {
        (self.latency_target_ms.max(1.0) * MILLISECOND as f64) as Nanos
    }

    /// Whether a request may be executed more than once.
    pub fn is_idempotent(&self) -> bool {
        match self.route_kind {
            RouteKind::Safe => true,
            RouteKind::Unsafe => false,
            RouteKind::Streaming => self.resumable,
        }
    }

    /// The services of the route, with their weights.
    pub fn targets(&self) -> Vec<(&str, f64)> {
        match &self.service {
            Some(service) if self.split.is_empty() => vec![(service, 1.0)],
            _ => self.split.iter().map(|target| (target.service.as_str(), target.weight)).collect(),
        }
    }
}

/// The capacity of an inference engine.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
pub struct Engine {
    /// The number of requests that are decoded concurrently.
    pub slots: f64,
    /// The capacity of the KV cache in tokens, for running requests and cached prefixes.
    pub cache_tokens: f64,
}

/// A service: a group of servers that are interchangeable.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Service {
    /// The name of the service.
    pub name: String,
    /// The path of health checks.
    #[serde(default)]
    pub health_path: String,
    /// The number of connections that a server accepts from all routers together.
    #[serde(rename = "max_conns", default = "default_max_connections")]
    pub max_connections: f64,
    /// The warm-up (slow start) of a server after its start, in seconds.
    #[serde(rename = "cold_s", default)]
    pub warm_up_s: f64,
    /// The rate of a server during its warm-up, in requests per second from all routers together; 0 for no
    /// limit.
    #[serde(rename = "cold_per_s", default)]
    pub warm_up_rate_per_s: f64,
    /// The capacity of the servers' inference engines; none for other servers.
    pub engine: Option<Engine>,
}

fn default_max_connections() -> f64 {
    1000.0
}

/// Limits of clients' requests and connections.
// `expecting` keeps the name by which error texts have always called the object.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(default, expecting = "struct Limits")]
pub struct RequestLimits {
    /// The longest request head, in bytes.
    pub max_header_bytes: f64,
    /// The longest request body, in bytes.
    pub max_body_bytes: f64,
    /// The longest time until a request head is complete, in milliseconds.
    pub header_timeout_ms: f64,
    /// The longest time for which a connection may be idle, in milliseconds.
    pub idle_timeout_ms: f64,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16384.0,
            max_body_bytes: 4_194_304.0,
            header_timeout_ms: 3000.0,
            idle_timeout_ms: 15000.0,
        }
    }
}

/// The typed view of a configuration.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct Configuration {
    /// The revision.
    pub revision: u64,
    /// The routes.
    #[serde(default)]
    pub routes: Vec<Route>,
    /// The services.
    #[serde(default)]
    pub services: Vec<Service>,
    /// Limits of requests.
    #[serde(default)]
    pub limits: RequestLimits,
}
