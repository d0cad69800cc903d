//! `ivyhatch agent`, and the commands that ask agents: `status`, `start`, `stop`, `drain`, `undrain`, `restart`.

mod agent;
mod arguments;
mod change;
mod command;
mod outcome;
mod query;
mod show;

use tokio::task::LocalSet;

pub use agent::agent;
pub use arguments::{Agent, Change, Logs, Show, Top};
pub use change::{change, rollout};
pub use command::{Verb, one, prepare};
pub use outcome::{End, finish};
pub use query::{all_statuses, selects};
pub use show::{logs, status, top};

fn block_on<T>(what: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, what)
}
