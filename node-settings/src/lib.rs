//! Parses the operator's settings of a node, a JSON object, for programs that embed `ivyhatch-balancer`.
//!
//! The balancer identifies zones, request classes, machine kinds and tenants by number. [`NodeSettings`] has the
//! balancer's settings, and the [`NameTable`] with which the embedder translates names on the wire to numbers.
//!
//! - `parse`: parses the settings object
//! - `name_table`: names and their numbers
//! - `fields`: access to the fields of a JSON object
//! - `error`: the errors for which settings are rejected

mod error;
mod fields;
mod name_table;
mod parse;

pub use error::{FieldError, SettingsError};
pub use fields::Fields;
pub use name_table::NameTable;
pub use parse::{ConnectionSettings, NodeSettings, parse};
