//! What the operators configure.

use super::ids::ZoneId;
use super::time::{MILLISECOND, Nanos, SECOND};

/// Which backends share the idempotency keys that they have seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdempotencyScope {
    /// All backends.
    All,
    /// The backends of one zone.
    Zone,
    /// The backends of one cell.
    Cell,
}

/// Whether a request may take effect twice (RFC 9110, section 9.2.2).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// May be repeated anywhere.
    Idempotent,
    /// Backends of one `scope` drop a repeat within `window` of the first send that may have run.
    Keyed {
        /// The backends that share the keys they have seen.
        scope: IdempotencyScope,
        /// How long they remember a key, in nanoseconds.
        window: Nanos,
    },
    /// Must not run twice.
    NonIdempotent,
}

/// The settings of one request class.
#[derive(Clone, Copy, Debug)]
pub struct ClassSettings {
    /// Latency target in nanoseconds: a response within it earns the full value.
    pub latency_target: Nanos,
    /// How long a client waits in all, over its retries, in nanoseconds.
    pub deadline: Nanos,
    /// Value of one request served in time.
    pub value: f64,
    /// Share of the value still earned by a response after the latency target.
    pub late_value_share: f64,
    /// Whether it may be repeated.
    pub idempotency: Idempotency,
    /// Most backends that one request may be sent to; `None` for [`Limits::max_attempts`].
    pub max_attempts: Option<u32>,
    /// A request that was never sent is queued for this long at most, in nanoseconds; `None` for half of
    /// its client's time.
    pub max_queue_time: Option<Nanos>,
    /// A failed request is retried after its latency target as well.
    pub retry_past_target: bool,
}

impl Default for ClassSettings {
    fn default() -> Self {
        Self {
            latency_target: 500 * MILLISECOND,
            deadline: SECOND,
            value: 1.0,
            late_value_share: 0.0,
            idempotency: Idempotency::Idempotent,
            max_attempts: None,
            max_queue_time: None,
            retry_past_target: false,
        }
    }
}

/// How the list of backends reaches the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Changes are pushed.
    Pushed,
    /// Only after [`Action::Watch`](super::Action::Watch) or [`Action::Fetch`](super::Action::Fetch).
    OnRequest,
}

/// What [`Member::weight`](super::Member::weight) stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Weights {
    /// The registered size, which may be absent or inexact.
    Size,
    /// The size divided by 1 + requests in flight for each core, as of some time ago.
    Live,
}

/// How a backend's load reports reach the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReporting {
    /// With responses and with the ends of probes.
    Piggyback,
    /// With the ends of probes only.
    Pull,
    /// Not at all.
    Disabled,
}

/// What the site allows.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Most attempts for one request.
    pub max_attempts: u32,
    /// Two attempts of one request may be in flight together (hedged requests).
    pub hedging: bool,
    /// Probes may be sent.
    pub probes: bool,
    /// Attempts may be cancelled.
    pub cancellation: bool,
    /// Longest retry-after that a client honours, in nanoseconds; 0 where none is passed on.
    pub max_retry_after: Nanos,
}

/// The parameters of the four rules that a node has to keep.
#[derive(Clone, Copy, Debug)]
pub struct RuleSettings {
    /// A final answer is accepted this long after the client's deadline, in nanoseconds.
    pub answer_grace: Nanos,
    /// A node that has not polled discovery for this long (nanoseconds) counts as notified of the list of
    /// that time.
    pub max_poll_interval: Nanos,
    /// Attempts at a draining backend must have ended this long after the notice, in nanoseconds.
    pub drain_grace: Nanos,
    /// Least share of its capacity that a backend starts with, 0 to 1.
    pub initial_capacity: f64,
    /// A backend is warm at the latest this long after its start, in nanoseconds.
    pub warm_up_time: Nanos,
    /// A backend that is warming up fails when sent more than this multiple of its capacity ...
    pub overload_multiple: f64,
    /// ... over any span of this length, in nanoseconds.
    pub overload_window: Nanos,
}

/// All settings of a node.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The node's own zone.
    pub home: ZoneId,
    /// Number of zones.
    pub zones: u32,
    /// Number of nodes that share the backends, this one included.
    pub nodes: u32,
    /// The classes, by [`ClassId`](super::ClassId).
    pub classes: Vec<ClassSettings>,
    /// Each tenant's quota in requests a second, over all nodes.
    pub tenant_quotas: Vec<f64>,
    /// Value of a request over its tenant's quota as a multiple of the value of one within it.
    pub over_quota_value: f64,
    /// How the list of backends arrives.
    pub discovery: Discovery,
    /// What the list's weights stand for.
    pub weights: Weights,
    /// How load reports arrive.
    pub reports: LoadReporting,
    /// The cost of one probe for each request as a share of the goal; 0 for none.
    pub probe_cost: f64,
    /// What the site allows.
    pub limits: Limits,
    /// The parameters of the rules.
    pub rules: RuleSettings,
    /// Share of the site's goal that the worst-served class decides, 0 to 1.
    pub worst_class_weight: f64,
    /// Clients mark all of their retries.
    pub clients_mark_retries: bool,
    /// Value counts for each unit of work instead of for each request.
    pub value_per_work: bool,
    /// Shortest time between two calls of [`Balancer::handle`](crate::Balancer::handle), in nanoseconds.
    pub quantum: Nanos,
}

impl Settings {
    /// Settings for a node in zone `home` of `zones` zones, with defaults for the rest and no classes yet.
    pub fn new(home: ZoneId, zones: u32) -> Self {
        Self {
            home,
            zones,
            nodes: 1,
            classes: Vec::new(),
            tenant_quotas: Vec::new(),
            over_quota_value: 1.0,
            discovery: Discovery::Pushed,
            weights: Weights::Size,
            reports: LoadReporting::Disabled,
            probe_cost: 0.0,
            limits: Limits {
                max_attempts: 3,
                hedging: true,
                probes: false,
                cancellation: true,
                max_retry_after: 0,
            },
            rules: RuleSettings {
                answer_grace: 20 * MILLISECOND,
                max_poll_interval: 10 * SECOND,
                drain_grace: 500 * MILLISECOND,
                initial_capacity: 0.1,
                warm_up_time: 30 * SECOND,
                overload_multiple: 2.0,
                overload_window: 2 * SECOND,
            },
            worst_class_weight: 0.0,
            clients_mark_retries: false,
            value_per_work: false,
            quantum: MILLISECOND,
        }
    }
}
