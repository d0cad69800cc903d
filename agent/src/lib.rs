//! What an agent decides of the instances that it keeps, and what it was asked, kept so that no crash loses it.
//!
//! | file | concern |
//! | --- | --- |
//! | `instance` | one instance's life: a state machine without clocks, processes or sockets of its own |
//! | `store` | desired state, commands and their outcomes, the audit: durable |
//! | `process` | a node's process: started, found again, ended |
//! | `agent` | the agent: each instance kept, the socket on which it is asked |

mod agent;
mod instance;
mod process;
mod store;

pub use agent::{AgentError, Options, Shown, Status, run};
pub use instance::{Action, Event, Instance, Nanos, Patience, Phase, Wanted};
pub use store::{Change, Command, Desired, Entry, Outcome, Refusal, Store, StoreError, Written};
