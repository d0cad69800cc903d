//! Errors of the operator's configuration. Their texts are the bodies of HTTP 400 responses.

use super::nesting::MAX_NESTING;

/// Why a configuration or a change of it is rejected. The text names the field; nothing was changed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigurationError {
    /// The body can't be parsed as JSON objects.
    #[error("the configuration can't be read: {0}: send it whole, as one JSON object")]
    Unreadable(JsonError),
    /// There is no `revision`.
    #[error("revision is missing: correct that field")]
    MissingRevision,
    /// `revision` is no unsigned 64-bit integer.
    #[error("revision: {0} is not a whole number: correct that field")]
    RevisionNotInteger(String),
    /// A field is missing or of the wrong type.
    #[error("{path}: {reason}: correct that field")]
    InvalidField {
        /// The names and indices that lead to the field, separated by dots; empty for a field of the
        /// configuration itself.
        path: String,
        /// What is wrong.
        reason: String,
    },
    /// A value can't be read, and the parser does not name its field.
    #[error("{0}: correct that field")]
    InvalidValue(String),
    /// A section of `upsert` is no list of objects that have a name.
    #[error("upsert.{section}: not a list of named items: correct that field")]
    UpsertNotItems {
        /// The section.
        section: String,
    },
    /// `remove` is no object of lists of names.
    #[error("remove: not lists of names: {0}: correct that field")]
    RemoveNotNames(String),
    /// Two items of a section have the same name.
    #[error("{section}: two items are named {name:?}: give each its own name")]
    DuplicateName {
        /// The section.
        section: String,
        /// The name.
        name: String,
    },
    /// The revision is not higher than the current one.
    #[error(
        "revision: {sent} is not above the current {current}: read the configuration anew and count on from there"
    )]
    StaleRevision {
        /// The revision of the new configuration.
        sent: u64,
        /// The current revision.
        current: u64,
    },
    /// A route has neither `service` nor `split`.
    #[error("routes: {route:?}: service is missing: correct that field")]
    MissingService {
        /// The route.
        route: String,
    },
    /// A route names a service that is not configured.
    #[error("routes: {route:?}: service {service:?} is not known: add it under services, or name another")]
    UnknownService {
        /// The route.
        route: String,
        /// The service.
        service: String,
    },
    /// Two routes match the same host and path prefix.
    #[error(
        "routes: {first:?} and {second:?} share host {host:?} and path_prefix {prefix:?}: give each a place of its own"
    )]
    DuplicateMatch {
        /// The first of the routes.
        first: String,
        /// The second of the routes.
        second: String,
        /// The host of the second route.
        host: String,
        /// The path prefix of both routes.
        prefix: String,
    },
    /// The weights of a route are negative, not finite, or all 0.
    #[error(
        "routes: {route:?}: the weights of its split sum to 0: give one of its services a weight, or a service by itself"
    )]
    ZeroWeight {
        /// The route.
        route: String,
    },
    /// The time-out of a route is not above 0.
    #[error("routes: {route:?}: timeout_ms is 0: give its requests some time")]
    ZeroTimeout {
        /// The route.
        route: String,
    },
}

/// Why a body is not parsed as JSON.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum JsonError {
    /// The body is no JSON or no object; the text is that of `serde_json`, whose errors can't be compared.
    #[error("{0}")]
    Syntax(String),
    /// Arrays and objects are nested too deep.
    #[error("it is nested more than {MAX_NESTING} deep")]
    TooDeep,
}

impl From<serde_json::Error> for ConfigurationError {
    fn from(error: serde_json::Error) -> Self {
        Self::Unreadable(JsonError::Syntax(error.to_string()))
    }
}
