//! Options of an agent.

use std::path::PathBuf;

use ivyhatch_config::Config;

/// Options of an agent, fixed from its start to its end.
#[derive(Clone, Debug)]
pub struct AgentOptions {
    /// The loaded configuration.
    pub config: Config,
    /// The file of the configuration. Its path is passed to the nodes, which load it themselves.
    pub file: PathBuf,
    /// The program that is started for each node, as `PROGRAM node --instance NAME --config FILE --control SOCKET`.
    pub program: PathBuf,
    /// Path of the socket on which the agent answers requests.
    pub socket: PathBuf,
}
