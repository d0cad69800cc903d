//! The view of a configuration by which requests are routed.

use serde::Deserialize;

/// What a route's requests are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum RouteKind {
    /// May run more than once.
    Safe,
    /// May run once for each try of a client.
    Unsafe,
    /// Answered by a series of events; as `unsafe` unless it may be resumed.
    Streaming,
}

/// A service's part of a route.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(expecting = "struct Split")]
pub struct WeightedService {
    /// The service.
    pub service: String,
    /// Its weight against the others'.
    pub weight: f64,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host that its requests name.
    pub host: String,
    /// How their paths begin.
    pub path_prefix: String,
    /// What they are.
    pub route_kind: RouteKind,
    /// The longest that one is held, in milliseconds.
    pub timeout_ms: f64,
    /// An answer within this earns its full worth.
    #[serde(rename = "target_ms", default)]
    pub latency_target_ms: f64,
    /// Its rank; 0 goes first.
    #[serde(default)]
    pub priority: u32,
    /// The service, where there is one.
    pub service: Option<String>,
    /// The services, where there are several.
    #[serde(default)]
    pub split: Vec<WeightedService>,
    /// Servers that one try may be sent to.
    #[serde(rename = "max_tries", default = "one")]
    pub max_attempts: u32,
    /// Servers keep something of its requests for the next ones.
    #[serde(default)]
    pub sticky: bool,
    /// A stream may go on at another server.
    #[serde(default)]
    pub resumable: bool,
    /// The longest pause between events at which an answer is in time.
    #[serde(rename = "gap_aim_ms", default)]
    pub event_gap_target_ms: f64,
    /// The regions in which its requests may be served; any where there are none.
    #[serde(default)]
    pub home_regions: Vec<String>,
}

fn one() -> u32 {
    1
}

impl Route {
    /// Whether a request may run more than once.
    pub fn is_idempotent(&self) -> bool {
        match self.route_kind {
            RouteKind::Safe => true,
            RouteKind::Unsafe => false,
            RouteKind::Streaming => self.resumable,
        }
    }

    /// The services that it leads to, with their weights.
    pub fn targets(&self) -> Vec<(&str, f64)> {
        match &self.service {
            Some(service) if self.split.is_empty() => vec![(service, 1.0)],
            _ => self.split.iter().map(|part| (part.service.as_str(), part.weight)).collect(),
        }
    }
}

/// What is known of a service's engines.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
pub struct Engine {
    /// Requests that run at once.
    pub slots: f64,
    /// Tokens that are kept, for running requests and for prompts that may come again.
    pub cache_tokens: f64,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Where its health is asked for.
    #[serde(default)]
    pub health_path: String,
    /// Connections that a server accepts from all callers together.
    #[serde(rename = "max_conns", default = "many")]
    pub max_connections: f64,
    /// A server is cold for so many seconds after its start ...
    #[serde(rename = "cold_s", default)]
    pub warm_up_s: f64,
    /// ... and bears so many requests a second meanwhile.
    #[serde(rename = "cold_per_s", default)]
    pub warm_up_rate_per_s: f64,
    /// Its engines, where it is a model's.
    pub engine: Option<Engine>,
}

fn many() -> f64 {
    1000.0
}

/// What clients may send, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(default, expecting = "struct Limits")]
pub struct RequestLimits {
    /// The longest head, in bytes.
    pub max_header_bytes: f64,
    /// The longest body, in bytes.
    pub max_body_bytes: f64,
    /// The longest that a head may take to come, in milliseconds.
    pub header_timeout_ms: f64,
    /// The longest that a connection may be idle, in milliseconds.
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

/// The view of a configuration by which requests are routed.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct Configuration {
    /// Its version.
    pub revision: u64,
    /// Its routes.
    #[serde(default)]
    pub routes: Vec<Route>,
    /// Its services.
    #[serde(default)]
    pub services: Vec<Service>,
    /// Its limits.
    #[serde(default)]
    pub limits: RequestLimits,
}
