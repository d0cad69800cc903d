//! The operator's configuration.
//!
//! A [`Document`] keeps the operator's JSON item by item, including fields that this release does not know, so that
//! a read returns the items as they were sent. A [`Configuration`] is the typed view of a document, by which requests
//! are routed. A [`Change`] leads from one document to another.
//!
//! - `document`: a configuration as the operator wrote it
//! - `parse`: parsing of documents and changes from JSON
//! - `validate`: validation of a document before it is committed
//! - `change`: application and computation of changes
//! - `schema`: the typed view
//! - `nesting`: the nesting depth of JSON
//! - `error`: why a document or change is rejected

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
