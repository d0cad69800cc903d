#![forbid(unsafe_code)]
#![warn(missing_docs)]
//! ivyhatch-node, a load-balancing node: carries out the decisions of `ivyhatch-balancer` on real sockets. Three of its modules are
//! a library for other programs that serve HTTP clients: [`client_listener`], [`connection_limits`] and [`hop_by_hop`].

pub mod client_listener;
mod config;
pub mod connection_limits;
mod control_socket;
mod descriptor_budget;
mod discovery;
mod driver;
pub mod hop_by_hop;
mod http_client;
mod limits;
mod log_rate_limit;
mod logging;
mod read_ahead;
mod response_byte_observer;
mod server;
mod serving;
mod start_error;
mod stream_observer;
mod tcp_options;
mod upstream;

use std::path::PathBuf;
use std::process::ExitCode;

use tokio::task::LocalSet;

pub use config::ConfigurationSource;
pub use logging::{LogFormat, init_logging};
pub use start_error::ConfigurationUnavailable;

use config::{Config, read_file_from_environment};
use start_error::StartError;

/// Options of [`run_with`]: where a node's configuration comes from, how the node logs, and where its control socket is.
pub struct RunOptions {
    /// Reads the configuration: at the start, and again at each SIGHUP.
    pub configuration: ConfigurationSource,
    /// The least severe level that is logged; events below this level are dropped.
    pub log_level: tracing::Level,
    /// The form of log lines.
    pub log_format: LogFormat,
    /// The instance name in every log line; with `None` log lines carry no instance name.
    pub instance: Option<String>,
    /// The path of the control socket; with `None` the node has no control socket.
    pub control_socket: Option<PathBuf>,
}

/// Runs a node in the foreground, with the configuration file that `EDGE_CONFIG` names, until SIGTERM or SIGINT. Called once,
/// from the process's first thread.
pub fn run() -> ExitCode {
    run_with(RunOptions {
        configuration: Box::new(read_file_from_environment),
        log_level: tracing::Level::INFO,
        log_format: LogFormat::Text,
        instance: None,
        control_socket: None,
    })
}

/// Runs a node in the foreground until SIGTERM or SIGINT. Called once, from the process's first thread.
pub fn run_with(options: RunOptions) -> ExitCode {
    init_logging(options.log_level, options.log_format);
    // The whole node runs in this thread, so the span applies to every log line of the node.
    let span = options.instance.as_ref().map(|instance| tracing::error_span!("node", instance).entered());
    let result = serve_in_this_thread(options.configuration, options.control_socket);
    drop(span);
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ivyhatch-node: {error}");
            ExitCode::FAILURE
        }
    }
}

fn serve_in_this_thread(
    configuration: ConfigurationSource,
    control_socket: Option<PathBuf>,
) -> Result<(), StartError> {
    let config = Config::read(&configuration)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, serving::serve(config, configuration, control_socket))
}
