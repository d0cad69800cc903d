//! Errors of the operator's configuration. Their texts are the bodies of HTTP 400 responses.

use super::nesting::MAX_NESTING;

/// Why a configuration or a change of it is rejected. The text names the field; nothing was changed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigurationError {
    /// The body can't be parsed as JSON objects.
    #[error("the configuration can't be parsed: {0}: send one complete JSON object")]
    Unreadable(JsonError),
    /// The body has no field `revision`.
    #[error("revision is missing: correct that field")]
    MissingRevision,
    /// `revision` is not an unsigned 64-bit integer.
    #[error("revision: {0} is not an unsigned 64-bit integer: correct that field")]
    RevisionNotInteger(String),
    /// A field is missing or of the wrong type.
    #[error("{path}: {reason}: correct that field")]
    InvalidField {
        /// The names and indices that lead to the field, separated by dots; empty for a field of the
        /// configuration itself.
        path: String,
        /// The error of the parser.
        reason: String,
    },
    /// A value can't be parsed, and the parser does not name the field. Holds the error of the parser.
    #[error("{0}: correct that field")]
    InvalidValue(String),
    /// A section of `upsert` is not a list of objects that have a name.
    #[error("upsert.{section}: expected a list of objects that have a name: correct that field")]
    UpsertNotItems {
        /// The section.
        section: String,
    },
    /// `remove` is not an object of lists of names. Holds the error of the parser.
    #[error("remove: expected an object of lists of names: {0}: correct that field")]
    RemoveNotNames(String),
    /// Two items of a section have the same name.
    #[error("{section}: two items are named {name:?}: give each item its own name")]
    DuplicateName {
        /// The name of the section.
        section: String,
        /// The name of the two items.
        name: String,
    },
    /// The revision is not higher than the current one.
    #[error(
        "revision: {sent} is not above the current {current}: read the configuration again and send a higher revision"
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
        /// The name of the route.
        route: String,
    },
    /// A route names a service that is not configured.
    #[error("routes: {route:?}: service {service:?} is not known: add it under services, or name another")]
    UnknownService {
        /// The name of the route.
        route: String,
        /// The name of the service.
        service: String,
    },
    /// Two routes match the same host and path prefix.
    #[error(
        "routes: {first:?} and {second:?} share host {host:?} and path_prefix {prefix:?}: change one of the two"
    )]
    DuplicateMatch {
        /// The name of the first route.
        first: String,
        /// The name of the second route.
        second: String,
        /// The host of the second route; that of the first route may differ in case.
        host: String,
        /// The path prefix of both routes.
        prefix: String,
    },
    /// A weight of a route is negative or not finite, or all weights of the route are 0.
    #[error(
        "routes: {route:?}: a weight of split is negative or not finite, or all are 0: correct the weights"
    )]
    ZeroWeight {
        /// The name of the route.
        route: String,
    },
    /// The timeout of a route is not above 0.
    #[error("routes: {route:?}: timeout_ms is not above 0: correct that field")]
    ZeroTimeout {
        /// The name of the route.
        route: String,
    },
}

/// Why a body can't be parsed as JSON.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum JsonError {
    /// The body is not valid JSON or not an object. Holds the error text of `serde_json`, whose error type can't be
    /// compared.
    #[error("{0}")]
    Syntax(String),
    /// Arrays and objects are nested too deep.
    #[error("arrays and objects are nested more than {MAX_NESTING} levels deep")]
    TooDeep,
}

impl From<serde_json::Error> for ConfigurationError {
    fn from(error: serde_json::Error) -> Self {
        Self::Unreadable(JsonError::Syntax(error.to_string()))
    }
}
