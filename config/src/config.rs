//! The types of the configuration. Fields are named as in the file; their ranges and defaults are in the schema. Times are in
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
    /// What all nodes share.
    pub fleet: FleetSettings,
    /// The resources of a node, and what it may do.
    pub limits: LimitSettings,
    /// The rules that a node keeps.
    pub rules: RuleSettings,
    /// What nodes and the agent log.
    pub log: LogSettings,
    /// How the agent supervises its instances.
    pub agent: AgentSettings,
    /// The classes of requests.
    #[serde(rename = "class")]
    pub classes: Vec<RequestClass>,
    /// The tenants whose requests come.
    #[serde(rename = "tenant")]
    pub tenants: Vec<Tenant>,
    /// The nodes.
    #[serde(rename = "instance")]
    pub instances: Vec<InstanceSettings>,
}

impl Config {
    /// The instance with this name.
    pub fn instance(&self, name: &str) -> Option<&InstanceSettings> {
        self.instances.iter().find(|instance| instance.name == name)
    }
}

/// What all nodes share.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSettings {
    /// The fleet's name.
    pub name: String,
    /// All zones of servers and nodes.
    pub zones: Vec<String>,
    /// The kinds of machines, as the server list names them.
    pub kinds: Vec<String>,
    /// The address of the server discovery.
    pub discovery: SocketAddr,
    /// How the server list comes: `on_request` or `pushed`.
    pub list: String,
    /// How servers report their load: `pull`, `piggyback` or `silent`.
    pub reports: String,
    /// The cost of a health probe, in requests.
    pub probe_price: f64,
    /// Whether clients mark their retries.
    pub marks_repeats: bool,
    /// Weight of the worst-served class in the goal, from 0 to 1.
    pub worst_class: f64,
    /// What a class's value counts for: each `request`, or its `work`.
    pub worth_by: String,
}

/// The resources of a node, and what it may do.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LimitSettings {
    /// CPU cores of one node.
    pub cores: f64,
    /// Memory of one node, in megabytes.
    pub memory_mb: u64,
    /// File descriptors of one node.
    pub sockets: u64,
    /// The most attempts for one request.
    pub attempts: u64,
    /// Whether attempts without a waiting client are cancelled.
    pub may_cancel: bool,
    /// Whether requests are hedged: a request may have two attempts in flight.
    pub second_copies: bool,
    /// Whether servers are probed for their load.
    pub probes: bool,
    /// The longest `Retry-After` (RFC 9110, section 10.2.3); 0 for none.
    pub longest_pause_ms: u64,
    /// Idle time after which servers close a connection.
    pub idle_ms: u64,
    /// Connect timeout.
    pub connect_ms: u64,
}

/// The rules that a node keeps.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RuleSettings {
    /// How late a final response may be.
    pub answer_slack_ms: u64,
    /// A draining server gets no new request so long after its notice.
    pub drain_grace_ms: u64,
    /// Capacity of a server at the beginning of its slow start, as a part of its full capacity.
    pub start_capacity: f64,
    /// The end of a server's slow start.
    pub warm_after_ms: u64,
    /// A server in slow start collapses at so many times its present capacity.
    pub tip_multiple: f64,
    /// How long a server stays collapsed.
    pub fall_ms: u64,
}

/// What nodes and the agent log.
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
    /// The folder of what outlives the agent.
    pub state: PathBuf,
    /// A node that is not ready so long after its start is killed.
    pub ready_ms: u64,
    /// Drain timeout.
    pub drain_ms: u64,
    /// A node that does not exit so long after it was asked to is killed.
    pub stop_ms: u64,
    /// A node that does not report for so long is unresponsive.
    pub silent_ms: u64,
    /// The back-off after a first crash.
    pub first_wait_ms: u64,
    /// The longest back-off; it doubles with each crash.
    pub longest_wait_ms: u64,
    /// So many crashes within `crashes_ms` are a crash loop.
    pub crashes: u64,
    /// The window in which crashes are counted.
    pub crashes_ms: u64,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RequestClass {
    /// Its name, as in the `X-Call-Class` header.
    pub name: String,
    /// Its idempotency: `repeatable`, `by_key` or `once`.
    pub effect: String,
    /// For `by_key`, which servers discard a repeated key: `all`, those of a `zone`, or those of a `cell`.
    pub key_scope: Option<String>,
    /// For `by_key`, how long they remember a key.
    pub window_ms: Option<u64>,
    /// Latency target: a response within this time counts in full.
    pub aim_ms: u64,
    /// Deadline: a client waits no longer.
    pub deadline_ms: u64,
    /// Value of a response in time.
    pub worth: f64,
    /// Value of a late response, as a part of that, from 0 to 1.
    pub late_worth: f64,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its name, as in the `X-Caller` header.
    pub name: String,
    /// Its quota in requests a second, over all nodes.
    pub quota: f64,
}

/// A node.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceSettings {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// The address on which it listens for clients; port 0 for any free one.
    pub listen: SocketAddr,
    /// Overrides `fleet.discovery`.
    pub discovery: Option<SocketAddr>,
    /// Overrides `limits.sockets`.
    pub sockets: Option<u64>,
    /// Overrides `limits.memory_mb`.
    pub memory_mb: Option<u64>,
    /// The labels by which commands select it.
    pub labels: BTreeMap<String, String>,
    /// Whether the agent runs it as long as no command says otherwise.
    pub enabled: bool,
}
