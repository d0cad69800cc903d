//! The typed view of a configuration, by which requests are routed. Unknown fields are ignored.
//!
//! If the name of a field in the configuration is not the usual term, the Rust field has the usual term as its name,
//! and a `serde` attribute has the name in the configuration.

use serde::Deserialize;

use crate::{MILLISECOND, Nanos};

/// How the requests of a route may be executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum RouteKind {
    /// Idempotent: a request may be retried and executed more than once.
    Safe,
    /// Not idempotent: a request may be executed once for each attempt of the client.
    Unsafe,
    /// Answered by server-sent events. Idempotent only if [`Route::resumable`] is set.
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
    /// The host of matching requests, compared without regard to case.
    pub host: String,
    /// The prefix of the path of matching requests. Of several routes that match, the one with the longest prefix is
    /// used.
    pub path_prefix: String,
    /// How often requests may be executed, and whether the response is a stream of events.
    pub route_kind: RouteKind,
    /// Milliseconds from the arrival of a request until the request times out.
    pub timeout_ms: f64,
    /// The latency target in milliseconds (SLO): the time within which a response, or the first event of a
    /// stream, is on time; 0 if the configuration has none.
    #[serde(rename = "target_ms", default)]
    pub latency_target_ms: f64,
    /// The priority of requests; 0 is the highest. Lower priorities are shed first.
    #[serde(default)]
    pub priority: u32,
    /// The only service of the route; `None` if the route has a `split`.
    pub service: Option<String>,
    /// The services of the route with their weights; if not empty, `service` is not used.
    #[serde(default)]
    pub split: Vec<Split>,
    /// The maximum number of servers to which one request may be sent, including the first one.
    #[serde(rename = "max_tries", default = "default_max_attempts")]
    pub max_attempts: u32,
    /// Whether servers keep state of a session (for example a prefix cache), so that the requests of a session should
    /// be sent to the same server (affinity).
    #[serde(default)]
    pub sticky: bool,
    /// Whether an interrupted stream can be resumed at another server.
    #[serde(default)]
    pub resumable: bool,
    /// The maximum gap between two events of a stream that is on time, in milliseconds; 0 for no maximum.
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
    /// The latency target, at least one millisecond.
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

    /// The names of the services of the route, with their weights.
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
    /// The number of requests that the engine decodes concurrently.
    pub slots: f64,
    /// The capacity of the KV cache in tokens, for running requests and cached prefixes.
    pub cache_tokens: f64,
}

/// A service: a group of interchangeable servers.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Service {
    /// The name of the service.
    pub name: String,
    /// The path of health checks; empty if the configuration has none.
    #[serde(default)]
    pub health_path: String,
    /// The number of connections that a server accepts from all routers together.
    #[serde(rename = "max_conns", default = "default_max_connections")]
    pub max_connections: f64,
    /// The duration of the warm-up (slow start) of a server after its start, in seconds.
    #[serde(rename = "cold_s", default)]
    pub warm_up_s: f64,
    /// The maximum request rate of a server during its warm-up, in requests per second from all routers together; 0
    /// for no limit.
    #[serde(rename = "cold_per_s", default)]
    pub warm_up_rate_per_s: f64,
    /// The capacity of the inference engine of each server; `None` for servers without an inference engine.
    pub engine: Option<Engine>,
}

fn default_max_connections() -> f64 {
    1000.0
}

/// Limits of clients' requests and connections.
// `expecting` keeps the object's name in error texts, which differs from the name of the type.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(default, expecting = "struct Limits")]
pub struct RequestLimits {
    /// The maximum length of a request head, in bytes.
    pub max_header_bytes: f64,
    /// The maximum length of a request body, in bytes.
    pub max_body_bytes: f64,
    /// The maximum time until a request head is complete, in milliseconds.
    pub header_timeout_ms: f64,
    /// The maximum time for which a connection may be idle, in milliseconds.
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
    /// The revision; see [`super::Document::revision`].
    pub revision: u64,
    /// The routes.
    #[serde(default)]
    pub routes: Vec<Route>,
    /// The services.
    #[serde(default)]
    pub services: Vec<Service>,
    /// Limits of clients' requests and connections.
    #[serde(default)]
    pub limits: RequestLimits,
}
