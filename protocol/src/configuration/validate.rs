//! Validation of a configuration before it is committed.

use std::collections::{BTreeMap, BTreeSet};

use figment::Figment;
use figment::providers::{Format, Json};

use super::document::Document;
use super::error::{ConfigurationError, JsonError};
use super::nesting::{MAX_NESTING, nesting_depth};
use super::schema::{Configuration, Route};

impl Document {
    /// Parses the typed view of this configuration, by which requests are routed.
    ///
    /// # Errors
    /// If a field is missing or of the wrong type, or the nesting is too deep.
    pub fn routing_view(&self) -> Result<Configuration, ConfigurationError> {
        let json = self.to_json();
        // The parser does not limit the nesting of unknown fields, which it skips.
        if nesting_depth(&json) > MAX_NESTING {
            return Err(ConfigurationError::Unreadable(JsonError::TooDeep));
        }
        serde_json::from_str(&json).map_err(|error| locate_error(&json, &error))
    }

    /// Checks that this configuration can replace the one with the current revision, and returns its typed
    /// view.
    ///
    /// # Errors
    /// If the configuration is invalid or its revision is not above `current_revision`; the error names the field.
    pub fn validate(&self, current_revision: u64) -> Result<Configuration, ConfigurationError> {
        if self.revision <= current_revision {
            return Err(ConfigurationError::StaleRevision { sent: self.revision, current: current_revision });
        }
        let view = self.routing_view()?;
        let services: BTreeSet<&str> = view.services.iter().map(|service| service.name.as_str()).collect();
        let mut matches = BTreeMap::new();
        for route in &view.routes {
            check_services(route, &services)?;
            check_weights(route)?;
            if route.timeout_ms.is_nan() || route.timeout_ms <= 0.0 {
                return Err(ConfigurationError::ZeroTimeout { route: route.name.clone() });
            }
            let host_and_prefix = (route.host.to_ascii_lowercase(), route.path_prefix.as_str());
            if let Some(first) = matches.insert(host_and_prefix, &route.name) {
                return Err(ConfigurationError::DuplicateMatch {
                    first: first.clone(),
                    second: route.name.clone(),
                    host: route.host.clone(),
                    prefix: route.path_prefix.clone(),
                });
            }
        }
        Ok(view)
    }
}

/// Parses again with figment, whose error names the invalid field. Figment takes ten times as long as `serde_json`, so
/// it is used only after an error.
fn locate_error(json: &str, error: &serde_json::Error) -> ConfigurationError {
    match Figment::from(Json::string(json)).extract::<Configuration>() {
        Ok(_) => ConfigurationError::InvalidValue(error.to_string()),
        Err(located) => ConfigurationError::InvalidField {
            path: located.path.join("."),
            reason: located.kind.to_string(),
        },
    }
}

fn check_services(route: &Route, services: &BTreeSet<&str>) -> Result<(), ConfigurationError> {
    if route.service.is_none() && route.split.is_empty() {
        return Err(ConfigurationError::MissingService { route: route.name.clone() });
    }
    let mut named = route.service.iter().chain(route.split.iter().map(|target| &target.service));
    match named.find(|service| !services.contains(service.as_str())) {
        Some(service) => {
            Err(ConfigurationError::UnknownService { route: route.name.clone(), service: service.clone() })
        }
        None => Ok(()),
    }
}

fn check_weights(route: &Route) -> Result<(), ConfigurationError> {
    let weights: Vec<f64> = route.targets().iter().map(|(_, weight)| *weight).collect();
    let are_all_valid = weights.iter().all(|weight| weight.is_finite() && *weight >= 0.0);
    if !are_all_valid || weights.iter().sum::<f64>() <= 0.0 {
        return Err(ConfigurationError::ZeroWeight { route: route.name.clone() });
    }
    Ok(())
}
