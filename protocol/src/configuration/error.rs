//! What can be wrong with a configuration.

/// What is wrong with a configuration. Names the field; nothing is changed by it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigurationError {
    /// It is no JSON, or was cut short.
    #[error("the configuration can't be read: {0}: send it whole, as one JSON object")]
    Unreadable(String),
    /// A field is missing or of the wrong kind.
    #[error("{0}: correct that field")]
    Field(String),
    /// Two items of one name.
    #[error("{section}: two items are named {name:?}: give each its own name")]
    DuplicateName {
        /// The section.
        section: String,
        /// The name.
        name: String,
    },
    /// The version does not rise.
    #[error(
        "revision: {sent} is not above the current {current}: read the configuration anew and count on from there"
    )]
    StaleRevision {
        /// The version that was sent.
        sent: u64,
        /// The current one.
        current: u64,
    },
    /// A route names an unknown service.
    #[error("routes: {route:?}: service {service:?} is not known: add it under services, or name another")]
    UnknownService {
        /// The route.
        route: String,
        /// The service.
        service: String,
    },
    /// Two routes share host and prefix.
    #[error(
        "routes: {one:?} and {other:?} share host {host:?} and path_prefix {prefix:?}: give each a place of its own"
    )]
    DuplicateMatch {
        /// A route.
        one: String,
        /// The other.
        other: String,
        /// Their host.
        host: String,
        /// Their prefix.
        prefix: String,
    },
    /// A route leads nowhere.
    #[error(
        "routes: {route:?}: the weights of its split sum to 0: give one of its services a weight, or a service by itself"
    )]
    ZeroWeight {
        /// The route.
        route: String,
    },
    /// A route leaves no time.
    #[error("routes: {route:?}: timeout_ms is 0: give its requests some time")]
    ZeroTimeout {
        /// The route.
        route: String,
    },
}
