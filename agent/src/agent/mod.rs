//! The agent: brings each instance into its desired state, and answers requests on its socket.

mod api;
mod error;
mod options;
mod runner;
mod status;
mod supervised_instance;
mod supervisor;

pub use error::AgentError;
pub use options::AgentOptions;
pub use runner::run;
pub use status::{AgentStatus, InstanceStatus};
