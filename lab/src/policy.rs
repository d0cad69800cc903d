//! The load-balancing policies that a simulation can run, and their configuration.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A load-balancing policy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// The balancer itself.
    #[default]
    #[serde(rename = "module")]
    Balancer,
    /// A server at random.
    Random,
    /// One server after the other.
    RoundRobin,
    /// The server with the fewest of the node's own requests in flight.
    LeastRequests,
    /// The better of two random servers by that count.
    #[serde(rename = "two_choices")]
    PowerOfTwoChoices,
    /// The paper's rule on current and true utilisations: the home zone below a threshold, else the best-scored zone
    /// below it, else the home zone; round robin within the zone.
    Paper,
    /// Sees each server's true state, takes the one that would respond first, and rejects what none would respond to in
    /// time or without degrading. Greedy, so no upper bound of what can be served.
    #[serde(rename = "truth")]
    Omniscient,
}

impl Policy {
    /// The reference policies: all but the balancer.
    pub const REFERENCES: [Self; 6] = [
        Self::Random,
        Self::RoundRobin,
        Self::LeastRequests,
        Self::PowerOfTwoChoices,
        Self::Paper,
        Self::Omniscient,
    ];
}

/// The name in the sentences of reports.
impl fmt::Display for Policy {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Balancer => "Module",
            Self::Random => "Random",
            Self::RoundRobin => "RoundRobin",
            Self::LeastRequests => "LeastRequests",
            Self::PowerOfTwoChoices => "TwoChoices",
            Self::Paper => "Paper",
            Self::Omniscient => "Truth",
        })
    }
}

/// Utilisation threshold of [`Policy::Paper`] where none is configured.
const DEFAULT_THRESHOLD: f64 = 0.9;
/// Limit of attempts a request where none is configured.
const DEFAULT_MAX_ATTEMPTS: u32 = 6;

/// A policy with its settings.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PolicyConfig {
    /// The policy.
    #[serde(default)]
    pub policy: Policy,
    /// Utilisation threshold, 0.9 by default; for [`Policy::Paper`] only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub threshold: Option<f64>,
    /// Limit of attempts a request, 6 by default.
    #[serde(rename = "attempts", default, skip_serializing_if = "Option::is_none")]
    pub max_attempts: Option<u32>,
    /// Whether the balancer probes, true by default; for [`Policy::Balancer`] only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub probes: Option<bool>,
    /// Whether the balancer sends hedged requests, true by default; for [`Policy::Balancer`] only.
    #[serde(rename = "second_copies", default, skip_serializing_if = "Option::is_none")]
    pub hedging: Option<bool>,
}

/// A setting of a [`PolicyConfig`] that is out of range or does not belong to its policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {wanted}")]
pub struct PolicyConfigError {
    /// The setting, as experiment files name it.
    pub field: &'static str,
    /// The accepted range.
    pub wanted: &'static str,
}

impl PolicyConfig {
    /// A policy with its default settings.
    pub fn new(policy: Policy) -> Self {
        Self { policy, ..Self::default() }
    }

    /// Checks the settings.
    ///
    /// # Errors
    /// The first setting that is out of range or does not belong to the policy.
    pub fn check(&self) -> Result<(), PolicyConfigError> {
        let reject = |field, wanted| Err(PolicyConfigError { field, wanted });
        if self.threshold.is_some_and(|threshold| !(0.0..=1.0).contains(&threshold)) {
            return reject("threshold", "0 to 1");
        }
        if self.threshold.is_some() && self.policy != Policy::Paper {
            return reject("threshold", "only policy = \"paper\" has one to set");
        }
        if self.max_attempts.is_some_and(|attempts| !(1..=100).contains(&attempts)) {
            return reject("attempts", "1 to 100");
        }
        if self.policy != Policy::Balancer && (self.probes.is_some() || self.hedging.is_some()) {
            return reject("probes, second_copies", "only policy = \"module\" has them to set");
        }
        Ok(())
    }

    pub(crate) fn threshold_or_default(&self) -> f64 {
        self.threshold.unwrap_or(DEFAULT_THRESHOLD)
    }

    pub(crate) fn max_attempts_or_default(&self) -> u32 {
        self.max_attempts.unwrap_or(DEFAULT_MAX_ATTEMPTS)
    }
}
