//! The agent of a machine: supervises the node processes of its instances, and stores operators' commands durably.
//!
//! | module | concern |
//! | --- | --- |
//! | `lifecycle` | the lifecycle of one instance: a state machine that does no I/O |
//! | `store` | the durable store of commands, their outcomes and the desired states |
//! | `process`, `instance_files`, `log_file` | the process of a node, its files and its log |
//! | `agent` | the supervision of all instances, and the agent's socket |

mod agent;
mod instance_files;
mod lifecycle;
mod log_file;
mod process;
mod store;

pub use agent::{AgentError, AgentOptions, AgentStatus, InstanceStatus, run};
pub use lifecycle::{DesiredState, Input, InstanceLifecycle, LifecycleSettings, Nanos, Output, Phase};
pub use store::{
    AuditRecord, Change, Command, DesiredEntry, DesiredStates, Outcome, Rejection, Store, StoreError,
};
