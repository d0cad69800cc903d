//! Who decides at the nodes of a play, and with which settings.

use serde::{Deserialize, Serialize};

use crate::reference::Policy;

/// Who decides at each node, and with which settings.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PolicyConfig {
    /// Who.
    #[serde(default)]
    pub policy: Policy,
    /// The paper's threshold of utilisation, 0.9 without; only [`Policy::Paper`] has one to set.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub threshold: Option<f64>,
    /// Attempts that a request may have, 6 without.
    #[serde(rename = "attempts", default, skip_serializing_if = "Option::is_none")]
    pub max_attempts: Option<u32>,
    /// Whether the module probes, true without.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub probes: Option<bool>,
    /// Whether the module may send a second copy while one is out, true without.
    #[serde(rename = "second_copies", default, skip_serializing_if = "Option::is_none")]
    pub hedging: Option<bool>,
}

impl PolicyConfig {
    /// A policy with the usual settings.
    pub fn new(policy: Policy) -> Self {
        Self { policy, ..Self::default() }
    }

    /// Checks the settings.
    ///
    /// # Errors
    /// The field, and what would be right.
    pub fn check(&self) -> Result<(), (&'static str, &'static str)> {
        if self.threshold.is_some_and(|threshold| !(0.0..=1.0).contains(&threshold)) {
            return Err(("threshold", "0 to 1"));
        }
        if self.threshold.is_some() && self.policy != Policy::Paper {
            return Err(("threshold", "only policy = \"paper\" has one to set"));
        }
        if self.max_attempts.is_some_and(|attempts| !(1..=100).contains(&attempts)) {
            return Err(("attempts", "1 to 100"));
        }
        if self.policy != Policy::Balancer && (self.probes.is_some() || self.hedging.is_some()) {
            return Err(("probes, second_copies", "only policy = \"module\" has them to set"));
        }
        Ok(())
    }
}
