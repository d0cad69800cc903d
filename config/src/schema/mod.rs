//! The schema: every field with its kind, range, default and purpose. Validation, defaults and the operators' reference of fields
//! are derived from it.

mod field_info;
mod fields;
mod kind;

pub use field_info::{FieldInfo, fields};
pub(crate) use fields::{FILE, VERSION};
pub(crate) use kind::{Field, Kind, Presence};
