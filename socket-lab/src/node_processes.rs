//! The nodes' processes: started with a configuration file, and killed with a signal.

use std::ffi::OsString;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;

use serde_json::Value;
use tempfile::TempPath;
use tokio::io::{AsyncBufReadExt, BufReader, Lines};
use tokio::process::{Child, ChildStderr};
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::error::SocketLabError;
use crate::node_config::node_config;
use crate::run_state::RunState;

/// Time within which a node must listen; otherwise its start has failed.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Environment variable with the path of a node's configuration.
const CONFIG_VARIABLE: &str = "EDGE_CONFIG";
/// The text before the address in the log line of a node that listens.
const LISTENING_PREFIX: &str = "listening on ";

/// The command that runs a node.
#[derive(Clone, Debug)]
pub struct NodeCommand {
    /// The path of the program.
    pub program: PathBuf,
    /// The program's arguments; the configuration is passed in an environment variable.
    pub arguments: Vec<OsString>,
}

/// Starts all nodes, one after the other.
///
/// # Errors
/// See [`start`].
pub(crate) async fn start_all(run: &Rc<RunState>, command: &NodeCommand) -> Result<(), SocketLabError> {
    for node in 0..run.nodes.len() {
        start(run, node, command).await?;
    }
    Ok(())
}

/// Starts a node's process and waits until it listens.
///
/// # Errors
/// If the operating system provides no file or process, or the process ends before it listens or does not listen in time.
pub(crate) async fn start(
    run: &Rc<RunState>,
    node: usize,
    command: &NodeCommand,
) -> Result<(), SocketLabError> {
    let known = run.endpoint_list.borrow().full();
    {
        let mut invariants = run.invariants.borrow_mut();
        invariants.node_stopped(node);
        let now = run.clock.now();
        known.iter().for_each(|endpoint| invariants.server_listed(node, endpoint.as_listed(), now));
    }
    let config_file = write_config(&node_config(run, node, &known))
        .map_err(SocketLabError::system("a node's configuration file"))?;
    let mut process = spawn(command, &config_file)
        .map_err(SocketLabError::system(command.program.display().to_string()))?;
    let stderr = process.stderr.take().expect("the process was spawned with a pipe");
    let mut log_lines = BufReader::new(stderr).lines();
    let mut log = String::new();
    let Ok(Some(address)) = timeout(START_TIMEOUT, listening_address(&mut log_lines, &mut log)).await else {
        return Err(SocketLabError::Node { node, log });
    };
    // The rest of the log is read and dropped: the process would block on a full pipe otherwise.
    spawn_local(async move { while let Ok(Some(_)) = log_lines.next_line().await {} });
    let mut state = run.nodes[node].borrow_mut();
    state.process = Some(process);
    state.address = Some(address);
    state.config_file = Some(config_file);
    Ok(())
}

fn write_config(config: &Value) -> std::io::Result<TempPath> {
    let mut file = tempfile::Builder::new().prefix("ivyhatch-node-").suffix(".json").tempfile()?;
    file.write_all(config.to_string().as_bytes())?;
    Ok(file.into_temp_path())
}

fn spawn(command: &NodeCommand, config_file: &TempPath) -> std::io::Result<Child> {
    tokio::process::Command::new(&command.program)
        .args(&command.arguments)
        .env(CONFIG_VARIABLE, config_file)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .kill_on_drop(true)
        .spawn()
}

/// The address from the log line that says that the node listens; the lines before are appended to `log`. `None` if the log
/// ends first, or the address is malformed.
async fn listening_address(
    log_lines: &mut Lines<BufReader<ChildStderr>>,
    log: &mut String,
) -> Option<SocketAddr> {
    while let Ok(Some(line)) = log_lines.next_line().await {
        if let Some((_, address)) = line.trim_end().split_once(LISTENING_PREFIX) {
            return address.parse().ok();
        }
        log.push_str(&line);
        log.push('\n');
    }
    None
}

/// Kills a node's process, if there is one. The requests in flight at the node are recorded as lost.
pub(crate) async fn kill(run: &Rc<RunState>, node: usize) {
    let (process, open_requests) = {
        let mut state = run.nodes[node].borrow_mut();
        state.address = None;
        state.idle_connections.clear();
        (state.process.take(), std::mem::take(&mut state.open_requests))
    };
    open_requests.into_iter().for_each(|request| run.invariants.borrow_mut().request_lost(node, request));
    if let Some(mut process) = process {
        // An error means that the process has ended by itself.
        let _ = process.kill().await;
    }
}

/// Kills all nodes' processes.
pub(crate) async fn kill_all(run: &Rc<RunState>) {
    for node in 0..run.nodes.len() {
        kill(run, node).await;
    }
}
