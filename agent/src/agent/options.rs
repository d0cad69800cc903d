//! How an agent runs.

use std::path::PathBuf;

use ivyhatch_config::Config;

/// How an agent runs.
#[derive(Clone, Debug)]
pub struct AgentOptions {
    /// The configuration.
    pub config: Config,
    /// The configuration's file: nodes read it themselves.
    pub file: PathBuf,
    /// The program that runs a node by `node --config FILE --instance NAME --control SOCKET`.
    pub program: PathBuf,
    /// The agent's socket.
    pub socket: PathBuf,
}
