//! The load-balancing core: the decisions of one node as a deterministic state machine without I/O. A node is
//! one instance of the load balancer; several nodes may share the same backends.
//!
//! An embedder owns a [`Balancer`], passes [`Event`]s with the current time to [`Balancer::handle`], and
//! carries out the [`Action`]s that the call appends. The core has no clock, no sockets and no threads; the
//! same settings, seed and events give the same actions. It decides which backend receives each request, when
//! requests are queued, retried or rejected, which backends are ejected or in slow start, and when the
//! embedder must send a probe or query discovery.
//!
//! `api/` is the interface, `policy/` makes all decisions, and `state/` is the state of a node; the other
//! modules hold the estimators, the pending queue, the membership, the retry budget, and the log lines and
//! snapshots for operators.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod advisor;
pub mod api;
mod counters;
mod embedder_settings;
mod estimators;
mod latency_model;
mod load_reports;
mod membership;
mod pending_queue;
mod policy;
mod random;
mod removal_notices;
mod reporting;
mod retry_budget;
mod retry_usage;
mod served_capacity;
mod state;
mod zone_utilisation;

#[cfg(test)]
mod bounded_state_tests;

pub use advisor::PlacementAdvisor;
pub use api::{
    Action, Arrival, AttemptEnd, BackendId, BackendSnapshot, BackendState, ClassId, ClassSettings, Discovery,
    Event, Idempotency, IdempotencyScope, Limits, ListScope, LoadReport, LoadReporting, Member, Nanos,
    Outcome, RequestId, RuleSettings, Settings, SettingsError, Weights, ZoneId,
};
pub use random::hash_mix;
pub use retry_budget::SharedRetryBudget;
pub use retry_usage::RetryUsage;
pub use state::Balancer;
