//! Validation of [`Settings`].

use std::fmt;

use super::settings::{ClassSettings, Settings};

/// A setting that is out of its range.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The invalid field, by its name in the settings.
    pub field: &'static str,
    /// The condition that the value does not meet.
    pub problem: &'static str,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "settings: {}: {}", self.field, self.problem)
    }
}

impl std::error::Error for SettingsError {}

const MUST_NOT_BE_NEGATIVE: &str = "must be finite and not negative";

fn require(condition: bool, field: &'static str, problem: &'static str) -> Result<(), SettingsError> {
    if condition { Ok(()) } else { Err(SettingsError { field, problem }) }
}

fn is_not_negative(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}

impl ClassSettings {
    fn validate(&self) -> Result<(), SettingsError> {
        let has_valid_times = self.latency_target != 0 && self.deadline != 0;
        require(has_valid_times, "classes", "latency target and deadline must be above 0")?;
        let has_valid_values = is_not_negative(self.value) && is_not_negative(self.late_value_share);
        require(has_valid_values, "classes", "value and late value share must be finite and not negative")
    }
}

impl Settings {
    /// Checks that every field is in its range.
    ///
    /// # Errors
    ///
    /// Returns the first field whose value is out of its range.
    pub fn validate(&self) -> Result<(), SettingsError> {
        require(self.zones != 0, "zones", "must be at least 1")?;
        require(self.home.0 < self.zones, "home", "must be one of the zones")?;
        require(self.nodes != 0, "nodes", "must be at least 1")?;
        require(!self.classes.is_empty(), "classes", "must have at least one entry")?;
        self.classes.iter().try_for_each(ClassSettings::validate)?;
        require(self.limits.max_attempts != 0, "limits.attempts", "must be at least 1")?;
        let multiple = self.rules.overload_multiple;
        require(
            is_not_negative(multiple) && multiple != 0.0,
            "rules.tip_multiple",
            "must be finite and above 0",
        )?;
        let initial = self.rules.initial_capacity;
        require(
            is_not_negative(initial) && initial <= 1.0,
            "rules.start_capacity",
            "must lie between 0 and 1",
        )?;
        require(
            self.tenant_quotas.iter().all(|&quota| is_not_negative(quota)),
            "tenants",
            MUST_NOT_BE_NEGATIVE,
        )?;
        require(is_not_negative(self.over_quota_value), "over_share_worth", MUST_NOT_BE_NEGATIVE)?;
        require(is_not_negative(self.probe_cost), "probe_price", MUST_NOT_BE_NEGATIVE)?;
        require(is_not_negative(self.worst_class_weight), "worst_class_goal", MUST_NOT_BE_NEGATIVE)
    }
}
