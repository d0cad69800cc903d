//! The lifecycle of one instance: a state machine without clocks, processes or sockets of its own.

mod crash_history;
mod instance;
mod messages;
mod settings;
mod state;

pub use instance::InstanceLifecycle;
pub use messages::{Input, Output};
pub use settings::{LifecycleSettings, Nanos};
pub use state::{DesiredState, Phase};
