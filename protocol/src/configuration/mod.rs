//! The operator's configuration.
//!
//! A [`Document`] keeps the operator's JSON item by item, fields of later versions included, so that it is
//! returned as it was sent. A [`Configuration`] is its typed view, by which requests are routed. A [`Change`]
//! leads from one document to another.
//!
//! - `document`: a configuration as the operator wrote it
//! - `parse`: JSON to documents and changes
//! - `validate`: whether a document can be committed
//! - `change`: how a change is applied and computed
//! - `schema`: the typed view
//! - `nesting`: how deep JSON is nested
//! - `error`: why a document is rejected

mod change;
mod document;
mod error;
mod nesting;
mod parse;
mod schema;
mod validate;

pub use self::change::Change;
pub use self::document::{Document, Item};
pub use self::error::{ConfigurationError, JsonError};
pub use self::schema::{Configuration, Engine, RequestLimits, Route, RouteKind, Service, Split};
