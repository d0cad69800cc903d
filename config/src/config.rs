//! The types of the configuration. Fields have the names of the file; ranges and defaults are in the schema. Times are in
//! milliseconds.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use serde::{Deserialize, Serialize};

/// A configuration.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// The version of the schema.
    pub version: u64,
    /// Settings common to all nodes.
    pub fleet: FleetSettings,
    /// Resource limits of a node, and limits on its attempts and probes.
    pub limits: LimitSettings,
    /// Rules that a node must observe, and the behaviour of servers that it may assume.
    pub rules: RuleSettings,
    /// Log settings of the nodes and the agent.
    pub log: LogSettings,
    /// How the agent supervises its instances.
    pub agent: AgentSettings,
    /// The classes of requests.
    #[serde(rename = "class")]
    pub classes: Vec<RequestClass>,
    /// The tenants that send requests.
    #[serde(rename = "tenant")]
    pub tenants: Vec<Tenant>,
    /// The instances, one node each.
    #[serde(rename = "instance")]
    pub instances: Vec<InstanceSettings>,
}

impl Config {
    /// The instance with this name; `None` if there is none.
    pub fn instance(&self, name: &str) -> Option<&InstanceSettings> {
        self.instances.iter().find(|instance| instance.name == name)
    }
}

/// Settings common to all nodes.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSettings {
    /// Name of the fleet, in logs and reports.
    pub name: String,
    /// All zones of servers and nodes.
    pub zones: Vec<String>,
    /// The kinds of machines, as the server list names them.
    pub kinds: Vec<String>,
    /// Address of the discovery service, which has the server list.
    pub discovery: SocketAddr,
    /// How nodes get the server list: `on_request` or `pushed`.
    pub list: String,
    /// How servers report their load: `pull`, `piggyback` or `silent`.
    pub reports: String,
    /// The cost of a health probe, in requests.
    pub probe_price: f64,
    /// Whether clients mark their retries.
    pub marks_repeats: bool,
    /// Weight of the worst-served class in the objective, from 0 to 1.
    pub worst_class: f64,
    /// Unit to which the `worth` of a class applies: each `request`, or its `work`.
    pub worth_by: String,
}

/// Resource limits of a node, and limits on its attempts and probes.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LimitSettings {
    /// CPU cores of one node.
    pub cores: f64,
    /// Memory of one node, in megabytes.
    pub memory_mb: u64,
    /// File descriptors of one node.
    pub sockets: u64,
    /// Maximum number of attempts of one request.
    pub attempts: u64,
    /// Whether attempts are cancelled once no client waits for their response.
    pub may_cancel: bool,
    /// Whether requests may be hedged: a request may have two attempts in flight.
    pub second_copies: bool,
    /// Whether servers may be probed for their load.
    pub probes: bool,
    /// The longest `Retry-After` (RFC 9110, section 10.2.3); 0 for none.
    pub longest_pause_ms: u64,
    /// Idle time after which servers close a connection.
    pub idle_ms: u64,
    /// Timeout for establishing a connection.
    pub connect_ms: u64,
}

/// Rules that a node must observe, and the behaviour of servers that it may assume.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RuleSettings {
    /// How long after the deadline a final response may still arrive.
    pub answer_slack_ms: u64,
    /// Time after a server's drain notice from which it must not get new requests.
    pub drain_grace_ms: u64,
    /// Capacity of a server at the beginning of its slow start, as a fraction of its full capacity.
    pub start_capacity: f64,
    /// Duration of a server's slow start.
    pub warm_after_ms: u64,
    /// Load at which a server in slow start collapses, as a multiple of its current capacity.
    pub tip_multiple: f64,
    /// How long a server stays collapsed.
    pub fall_ms: u64,
}

/// Log settings of the nodes and the agent.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    /// The least severe level that is logged: `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
    /// The format of a line: `text` or `json`.
    pub format: String,
}

/// How the agent supervises its instances.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// Folder of the agent's durable state: the command store, process records, sockets and logs.
    pub state: PathBuf,
    /// Time from a node's start until it must be ready; it is killed otherwise.
    pub ready_ms: u64,
    /// Time for a node to drain before its exit; it is terminated after that.
    pub drain_ms: u64,
    /// Time for a node to exit after its termination; it is killed after that.
    pub stop_ms: u64,
    /// Time without a report after which a node is unresponsive.
    pub silent_ms: u64,
    /// Back-off after the first crash; it doubles with each further crash.
    pub first_wait_ms: u64,
    /// Upper limit of the back-off.
    pub longest_wait_ms: u64,
    /// Number of crashes within `crashes_ms` that make a crash loop.
    pub crashes: u64,
    /// The window in which crashes are counted.
    pub crashes_ms: u64,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RequestClass {
    /// Name of the class, as in the `X-Call-Class` header.
    pub name: String,
    /// Idempotency: `repeatable`, `by_key` or `once`.
    pub effect: String,
    /// Servers that deduplicate requests by their key: `all`, those of a `zone`, or those of a `cell`. Set for `by_key` only.
    pub key_scope: Option<String>,
    /// How long these servers remember a key. Set for `by_key` only.
    pub window_ms: Option<u64>,
    /// Latency target: a response within this time counts in full.
    pub aim_ms: u64,
    /// Deadline: the time after which a client stops waiting.
    pub deadline_ms: u64,
    /// Value of a response within the latency target.
    pub worth: f64,
    /// Value of a late response as a fraction of `worth`, from 0 to 1.
    pub late_worth: f64,
}

/// A tenant: a client with a quota.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Name of the tenant, as in the `X-Caller` header.
    pub name: String,
    /// Quota in requests per second, over all nodes.
    pub quota: f64,
}

/// An instance: the settings of one node.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceSettings {
    /// Name of the node.
    pub name: String,
    /// Zone of the node.
    pub zone: String,
    /// Address on which the node listens for clients; port 0 for any free port.
    pub listen: SocketAddr,
    /// Overrides `fleet.discovery` if set.
    pub discovery: Option<SocketAddr>,
    /// Overrides `limits.sockets` if set.
    pub sockets: Option<u64>,
    /// Overrides `limits.memory_mb` if set.
    pub memory_mb: Option<u64>,
    /// Labels by which commands select the instance.
    pub labels: BTreeMap<String, String>,
    /// Whether the agent runs the instance if no command has set its desired state.
    pub enabled: bool,
}
