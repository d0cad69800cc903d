//! The load-balancing policies that a simulation can run, and their configuration.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A load-balancing policy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// The balancer under test.
    #[default]
    #[serde(rename = "module")]
    Balancer,
    /// A random server.
    Random,
    /// The servers in turn.
    RoundRobin,
    /// The server with the fewest of the node's own requests in flight.
    LeastRequests,
    /// Of two random servers, the one with fewer of the node's own requests in flight.
    #[serde(rename = "two_choices")]
    PowerOfTwoChoices,
    /// The paper's rule, applied to current and true utilisations: the home zone if its utilisation is below a
    /// threshold, else the zone with the best score among those below the threshold, else the home zone. Round robin
    /// within the zone.
    Paper,
    /// Selects the server that would respond first, given the true state of all servers, and rejects a request if no
    /// server would respond in time or without degrading. Greedy, hence not an upper bound on the requests that can be
    /// served.
    #[serde(rename = "truth")]
    Omniscient,
}

impl Policy {
    /// The reference policies: all policies except the balancer.
    pub const REFERENCES: [Self; 6] = [
        Self::Random,
        Self::RoundRobin,
        Self::LeastRequests,
        Self::PowerOfTwoChoices,
        Self::Paper,
        Self::Omniscient,
    ];
}

/// The policy's name in the sentences of reports.
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

/// Utilisation threshold of [`Policy::Paper`] if none is configured.
const DEFAULT_THRESHOLD: f64 = 0.9;
/// Maximum number of attempts per request if none is configured.
const DEFAULT_MAX_ATTEMPTS: u32 = 6;

/// A policy with its settings.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PolicyConfig {
    /// The policy; the balancer by default.
    #[serde(default)]
    pub policy: Policy,
    /// Utilisation threshold, 0 to 1; 0.9 by default. Only for [`Policy::Paper`] only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub threshold: Option<f64>,
    /// Maximum number of attempts per request, 1 to 100; 6 by default.
    #[serde(rename = "attempts", default, skip_serializing_if = "Option::is_none")]
    pub max_attempts: Option<u32>,
    /// Whether the balancer sends probes; true by default. Only for [`Policy::Balancer`] only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub probes: Option<bool>,
    /// Whether the balancer sends hedged requests; true by default. Only for [`Policy::Balancer`] only.
    #[serde(rename = "second_copies", default, skip_serializing_if = "Option::is_none")]
    pub hedging: Option<bool>,
}

/// A setting of a [`PolicyConfig`] that is out of range or does not apply to the configured policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: expected {wanted}")]
pub struct PolicyConfigError {
    /// Key of the setting in experiment files; several keys are separated by commas.
    pub field: &'static str,
    /// The accepted range, or the policies for which the setting is allowed.
    pub wanted: &'static str,
}

impl PolicyConfig {
    /// The configuration of a policy with default settings.
    pub fn new(policy: Policy) -> Self {
        Self { policy, ..Self::default() }
    }

    /// Checks that each setting is in range and applies to the policy.
    ///
    /// # Errors
    /// The first setting that is out of range or does not apply to the policy.
    pub fn check(&self) -> Result<(), PolicyConfigError> {
        let reject = |field, wanted| Err(PolicyConfigError { field, wanted });
        if self.threshold.is_some_and(|threshold| !(0.0..=1.0).contains(&threshold)) {
            return reject("threshold", "0 to 1");
        }
        if self.threshold.is_some() && self.policy != Policy::Paper {
            return reject("threshold", "no value, unless policy = \"paper\"");
        }
        if self.max_attempts.is_some_and(|attempts| !(1..=100).contains(&attempts)) {
            return reject("attempts", "1 to 100");
        }
        if self.policy != Policy::Balancer && (self.probes.is_some() || self.hedging.is_some()) {
            return reject("probes, second_copies", "no value, unless policy = \"module\"");
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
