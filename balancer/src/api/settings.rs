//! The settings that operators configure.

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

/// Whether a request may take effect more than once (RFC 9110, section 9.2.2).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The request may be repeated at any backend.
    Idempotent,
    /// Backends of one `scope` drop a repeat within `window` of the send of the first attempt that may have
    /// run.
    Keyed {
        /// The backends that share the keys they have seen.
        scope: IdempotencyScope,
        /// How long these backends remember a key, in nanoseconds.
        window: Nanos,
    },
    /// The request must not run twice.
    NonIdempotent,
}

/// The settings of one request class.
#[derive(Clone, Copy, Debug)]
pub struct ClassSettings {
    /// Latency target in nanoseconds: a response within it has the full value. Must be above 0.
    pub latency_target: Nanos,
    /// How long a client waits in total, including its retries, in nanoseconds. Must be above 0.
    pub deadline: Nanos,
    /// Value of one request served in time.
    pub value: f64,
    /// Share of the value that a response after the latency target still has.
    pub late_value_share: f64,
    /// Whether a request may be repeated.
    pub idempotency: Idempotency,
    /// Most backends that one request may be sent to; `None` to use [`Limits::max_attempts`].
    pub max_attempts: Option<u32>,
    /// Longest time in the queue of a request that was never sent, in nanoseconds; `None` for half of the
    /// time that its client waits.
    pub max_queue_time: Option<Nanos>,
    /// Whether a failed request is also retried after its latency target.
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
    /// Discovery pushes changes without being asked.
    Pushed,
    /// The list is delivered only after [`Action::Watch`](super::Action::Watch) or
    /// [`Action::Fetch`](super::Action::Fetch).
    OnRequest,
}

/// The meaning of [`Member::weight`](super::Member::weight).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Weights {
    /// The registered size, which may be absent or inexact.
    Size,
    /// The size divided by 1 + requests in flight per core, as of some time ago.
    Live,
}

/// How a backend's load reports reach the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReporting {
    /// With responses and with the replies to probes.
    Piggyback,
    /// With the replies to probes only.
    Pull,
    /// Load reports are not available.
    Disabled,
}

/// The limits that the site sets.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Most attempts for one request; at least 1.
    pub max_attempts: u32,
    /// Whether two attempts of one request may be in flight at the same time (hedged requests).
    pub hedging: bool,
    /// Whether probes may be sent.
    pub probes: bool,
    /// Whether attempts may be cancelled.
    pub cancellation: bool,
    /// Longest retry-after that clients honour, in nanoseconds; 0 if clients are sent no retry-after.
    pub max_retry_after: Nanos,
}

/// The parameters of the four rules that a node must comply with: final answers in time, use of a recent
/// list of backends, no attempts at drained backends, and slow start.
#[derive(Clone, Copy, Debug)]
pub struct RuleSettings {
    /// A final answer is still accepted this long after the client's deadline, in nanoseconds.
    pub answer_grace: Nanos,
    /// Longest time between two polls of discovery, in nanoseconds. Once this long has passed without a poll,
    /// the node counts as notified of the list as it was at the end of that time.
    pub max_poll_interval: Nanos,
    /// Attempts at a draining backend must have ended this long after the drain notice, in nanoseconds.
    pub drain_grace: Nanos,
    /// Minimum share of its capacity that a backend has at its start, 0 to 1.
    pub initial_capacity: f64,
    /// A backend is warm no later than this long after its start, in nanoseconds.
    pub warm_up_time: Nanos,
    /// A backend that is warming up fails if it is sent more than this multiple of its capacity over any span
    /// of `overload_window`.
    pub overload_multiple: f64,
    /// The length of the span that `overload_multiple` applies to, in nanoseconds.
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
    /// The request classes, indexed by [`ClassId`](super::ClassId); at least one.
    pub classes: Vec<ClassSettings>,
    /// Quota of each tenant in requests per second, over all nodes.
    pub tenant_quotas: Vec<f64>,
    /// Value of a request over its tenant's quota as a multiple of the value of one within it.
    pub over_quota_value: f64,
    /// How the node receives the list of backends.
    pub discovery: Discovery,
    /// The meaning of the weights in the list.
    pub weights: Weights,
    /// How the node receives load reports.
    pub reports: LoadReporting,
    /// The cost of one probe per request as a share of the site's goal; 0 if probes cost nothing.
    pub probe_cost: f64,
    /// The limits that the site sets.
    pub limits: Limits,
    /// The parameters of the rules.
    pub rules: RuleSettings,
    /// Share of the site's goal that is determined by the worst-served class, 0 to 1.
    pub worst_class_weight: f64,
    /// Whether clients mark all of their retries.
    pub clients_mark_retries: bool,
    /// Whether a class's value is per unit of work instead of per request.
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
