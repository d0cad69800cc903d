//! The operators' configuration. Files can include files, and environment variables override both. All errors are reported at once, each
//! with its place and the expected value. The origin of every value is recorded.
//!
//! | module | concern |
//! | --- | --- |
//! | `schema` | the fields: kind, range, default and purpose |
//! | `origin`, `node` | the tree of values with their origins |
//! | `files`, `environment` | sources of values: files with their inclusions, and environment variables |
//! | `validate` | validation against the schema, and defaults |
//! | `loader` | the steps of loading: read, override, validate, convert |
//! | `config`, `node_configuration` | the types of the configuration, and their conversion into the configuration of a node |

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
