//! `ivyhatch agent`, and the commands that call agents: `status`, `top`, `logs`, `start`, `stop`, `drain`, `undrain`, `restart` and
//! `rollout`. The instances of one fleet may be managed by several agents, each with its own socket.

mod agent;
mod arguments;
mod change;
mod command;
mod logs;
mod outcome;
mod query;
mod rollout;
mod runtime;
mod selector;
mod served_ratio;
mod status;

pub use agent::agent;
pub use arguments::{
    AgentArguments, ChangeArguments, LogsArguments, RolloutArguments, SelectionArguments, TopArguments,
};
pub use change::change;
pub use command::Verb;
pub use logs::logs;
pub use rollout::rollout;
pub use status::{status, top};
