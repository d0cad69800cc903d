//! The operators' configuration. Files include files, the environment overrides both, all errors are reported at once, each with its
//! place and what would be right, and every value knows its origin.
//!
//! | module | concern |
//! | --- | --- |
//! | `schema` | the fields: kind, range, default and purpose |
//! | `origin`, `node` | values with their origins |
//! | `files`, `environment` | where values come from: files with their inclusions, and variables |
//! | `validate` | every error, and defaults |
//! | `loader` | all of these in their order |
//! | `config`, `node_configuration` | the configuration's types, and the configuration of a node from them |

mod config;
mod diagnostic;
mod effective_settings;
mod environment;
mod field_path;
mod files;
mod loader;
mod name;
mod node;
mod node_configuration;
mod origin;
mod schema;
mod suggestion;
mod validate;

pub use config::{
    AgentSettings, Config, FleetSettings, InstanceSettings, LimitSettings, LogSettings, RequestClass,
    RuleSettings, Tenant,
};
pub use diagnostic::Diagnostic;
pub use effective_settings::Setting;
pub use environment::ENVIRONMENT_PREFIX;
pub use loader::{LoadedConfig, load};
pub use origin::Origin;
pub use schema::{FieldInfo, fields};
