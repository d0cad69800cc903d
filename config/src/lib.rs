//! The operators' configuration. Files include files, the environment overrides both, all mistakes are told at once, each with
//! its place and what would be right, and every value knows where it came from.
//!
//! | file | concern |
//! | --- | --- |
//! | `schema` | the form: each field's kind, range, default and purpose |
//! | `tree` | values with their origins |
//! | `read` | files, what they include, the environment |
//! | `check` | every mistake; defaults |
//! | `typed` | the configuration as the program has it, and what a node is told |

mod check;
mod read;
mod schema;
mod tree;
mod typed;

use std::fmt;

use serde::Serialize;

pub use read::{Read, read};
pub use tree::Origin;
pub use typed::{Agent, Class, Config, Fleet, Instance, Limits, Log, Rules, Tenant};

/// Variables with this beginning override fields: `IVYHATCH_LIMITS__SOCKETS` is `limits.sockets`.
pub const PREFIX: &str = "IVYHATCH_";

/// Something in the configuration that can't be.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Mistake {
    /// Where it was given, or the table in which it is missing.
    pub at: Origin,
    /// Which field; empty where a file as a whole can't be read.
    pub field: String,
    /// What is wrong, or what was written.
    pub what: String,
    /// What would be right.
    pub mend: String,
}

impl fmt::Display for Mistake {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { at, field, what, mend } = self;
        match field.as_str() {
            "" => write!(to, "{at}: {what}; {mend}"),
            field => write!(to, "{at}: {field}: {what}; wanted: {mend}"),
        }
    }
}

/// A field of the form.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FieldInfo {
    /// As in `limits.sockets`, or `instance[].zone`.
    pub field: String,
    /// What a value must be.
    pub wanted: String,
    /// What goes if none is given, as TOML has it; none where it must be given, or may be missing.
    pub default: Option<&'static str>,
    /// Whether it must be given.
    pub required: bool,
    /// What it is for.
    pub purpose: &'static str,
}

/// All fields of the form, in its order.
pub fn fields() -> Vec<FieldInfo> {
    let mut found = Vec::new();
    schema::list(schema::FILE, "", &mut found);
    found
}

/// A value in force.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Setting {
    /// Its field, as in `limits.sockets` or `instance[n0].zone`.
    pub field: String,
    /// What it is.
    pub value: serde_json::Value,
    /// Where it was given.
    pub origin: Origin,
}
