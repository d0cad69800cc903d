//! The lifecycle of one instance: a deterministic state machine that does no I/O and reads no clock.

mod crash_history;
mod instance;
mod messages;
mod settings;
mod state;

pub use instance::InstanceLifecycle;
pub use messages::{Input, Output};
pub use settings::{LifecycleSettings, Nanos};
pub use state::{DesiredState, Phase};
