//! `ivyhatch agent`: runs the agent of a machine until a signal ends it.

use std::process::ExitCode;

use ivyhatch_agent::AgentOptions;
use tokio::signal::ctrl_c;
use tokio::signal::unix::{SignalKind, signal};

use super::arguments::AgentArguments;
use super::runtime::block_on;
use crate::config;
use crate::exit::{INTERRUPTED, report_unusable};

/// Runs the agent until it fails or a signal ends it. The exit code is success after SIGTERM, and [`INTERRUPTED`] after Ctrl-C.
pub fn agent(arguments: &AgentArguments) -> ExitCode {
    let loaded = match config::load(&arguments.config) {
        Ok(loaded) => loaded,
        Err(diagnostics) => return config::report_diagnostics(&diagnostics, false),
    };
    let log = &loaded.config.log;
    let level = log.level.parse().expect("log.level is validated when the file is loaded");
    ivyhatch_node::init_logging(level, config::log_format(log));
    let program = match std::env::current_exe() {
        Ok(program) => program,
        Err(error) => return report_unusable(format_args!("cannot locate this executable: {error}")),
    };
    let socket = arguments.socket.clone().unwrap_or_else(|| loaded.config.agent.state.join("agent.sock"));
    block_on(run_until_signal(AgentOptions {
        config: loaded.config,
        file: arguments.config.clone(),
        program,
        socket,
    }))
}

/// Runs the agent until it fails or a signal ends it. Its nodes keep running after its end, and the next agent adopts them.
async fn run_until_signal(options: AgentOptions) -> ExitCode {
    let mut terminate = match signal(SignalKind::terminate()) {
        Ok(terminate) => terminate,
        Err(error) => return report_unusable(error),
    };
    tokio::select! {
        result = ivyhatch_agent::run(options) => match result {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => report_unusable(error),
        },
        _ = terminate.recv() => ExitCode::SUCCESS,
        _ = ctrl_c() => ExitCode::from(INTERRUPTED),
    }
}
