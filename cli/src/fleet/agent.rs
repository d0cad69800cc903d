//! `ivyhatch agent`: runs the agent of a machine until a signal ends it.

use std::process::ExitCode;

use ivyhatch_agent::AgentOptions;

use super::arguments::Agent;
use super::block_on;
use crate::{config, unusable};

pub fn agent(agent: &Agent) -> ExitCode {
    let read = match config::read(&agent.config) {
        Ok(read) => read,
        Err(mistakes) => return config::tell(&mistakes, false),
    };
    let log = &read.config.log;
    ivyhatch_node::init_logging(log.level.parse().expect("checked"), config::log_format(log));
    let program = match std::env::current_exe() {
        Ok(program) => program,
        Err(error) => return unusable(&format!("this program's own path: {error}")),
    };
    let socket = agent.socket.clone().unwrap_or_else(|| read.config.agent.state.join("agent.sock"));
    let options = AgentOptions { config: read.config, file: agent.config.clone(), program, socket };
    block_on(async move {
        let mut terminate = match tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate()) {
            Ok(signal) => signal,
            Err(error) => return unusable(&error.to_string()),
        };
        // Its nodes go on; the next agent finds them.
        tokio::select! {
            ended = ivyhatch_agent::run(options) => match ended {
                Ok(()) => ExitCode::SUCCESS,
                Err(error) => unusable(&error.to_string()),
            },
            _ = terminate.recv() => ExitCode::SUCCESS,
            _ = tokio::signal::ctrl_c() => ExitCode::from(130),
        }
    })
}
