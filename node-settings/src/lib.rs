//! Reads the operator's settings of a node: a JSON object, for every program that embeds `ivyhatch-balancer`.
//!
//! The balancer knows zones, request classes, machine kinds and tenants by number. [`NodeSettings`] has the
//! balancer's settings, and the [`NameTable`] by which the embedder translates the names on the wire.
//!
//! - `parse`: the settings object
//! - `name_table`: names and their numbers
//! - `fields`: access to the fields of a JSON object
//! - `error`: why the settings are rejected

mod error;
mod fields;
mod name_table;
mod parse;

pub use error::{FieldError, SettingsError};
pub use fields::Fields;
pub use name_table::NameTable;
pub use parse::{ConnectionSettings, NodeSettings, parse};
