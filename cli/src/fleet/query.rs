//! Queries agents for the status of their instances.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use ivyhatch_admin_protocol::{CallError, call};
use ivyhatch_agent::{AgentStatus, InstanceStatus, Phase};
use serde_json::{Value, json};
use thiserror::Error;
use tokio::task::JoinSet;

use super::arguments::{AgentSocketArguments, ChangeArguments};
use crate::config;
use crate::exit::report_wrong_usage;

/// Timeout for an agent's response to a query.
pub(super) const QUERY_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum of `--deadline`, in seconds: one day.
const MAX_DEADLINE_S: f64 = 86_400.0;

/// Why an agent's status is unknown.
#[derive(Debug, Error)]
pub(super) enum StatusError {
    /// The call failed: the agent could not be reached, did not respond in time, or its response is not JSON.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The agent responded with an error.
    #[error("{0}")]
    Rejected(Value),
    /// The agent's response is not a valid status.
    #[error("it answered what is no status: {0}")]
    Malformed(serde_json::Error),
}

/// The status that an agent reported, or why there is none.
pub(super) struct AgentReply {
    /// Path of the agent's socket.
    pub socket: PathBuf,
    pub status: Result<AgentStatus, StatusError>,
}

/// An instance that a command selects, as its agent last reported it.
#[derive(Clone)]
pub(super) struct Target {
    /// Path of the agent's socket.
    pub socket: PathBuf,
    /// Revision of the agent's store of desired states at the time of the report.
    pub revision: u64,
    pub instance: InstanceStatus,
}

/// The sockets of the agents given by `--agent`, or else the socket given by the operators' configuration file. If the file is not valid,
/// prints its errors and returns the exit code as an error.
pub(super) fn agent_sockets(arguments: &AgentSocketArguments) -> Result<Vec<PathBuf>, ExitCode> {
    if !arguments.agents.is_empty() {
        return Ok(arguments.agents.clone());
    }
    let loaded = config::load(&arguments.config)
        .map_err(|diagnostics| config::report_diagnostics(&diagnostics, arguments.json))?;
    Ok(vec![loaded.config.agent.state.join("agent.sock")])
}

/// The sockets of the agents for a command that changes instances. Returns the exit code as an error if `--deadline` is out of range, or
/// as [`agent_sockets`] does.
pub(super) fn sockets_for_change(arguments: &ChangeArguments) -> Result<Vec<PathBuf>, ExitCode> {
    let deadline = arguments.deadline;
    if !(deadline > 0.0 && deadline <= MAX_DEADLINE_S) {
        let message = format_args!("--deadline {deadline}: seconds above 0, a day at most");
        return Err(report_wrong_usage(message));
    }
    agent_sockets(&arguments.agents)
}

/// Queries the status of one instance, or of all instances if `instance` is `None`. A query of one instance keeps the responses small when
/// that instance is polled.
pub(super) async fn query_status(socket: &Path, instance: Option<&str>) -> Result<AgentStatus, StatusError> {
    let request = json!({"op": "status", "instance": instance});
    let response = call(socket, &request, QUERY_TIMEOUT).await?;
    match response.get("error") {
        Some(error) => Err(StatusError::Rejected(error.clone())),
        None => serde_json::from_value(response).map_err(StatusError::Malformed),
    }
}

/// Queries all agents concurrently, so that an agent that does not respond does not delay the others. The replies are in the order of
/// `sockets`.
pub(super) async fn query_agents(sockets: &[PathBuf]) -> Vec<AgentReply> {
    let mut queries = JoinSet::new();
    for (index, socket) in sockets.iter().cloned().enumerate() {
        queries.spawn_local(async move {
            let status = query_status(&socket, None).await;
            (index, AgentReply { socket, status })
        });
    }
    let mut replies = queries.join_all().await;
    replies.sort_by_key(|(index, _)| *index);
    replies.into_iter().map(|(_, reply)| reply).collect()
}

/// The name of a phase in tables and messages; `drained` is a phase of its own there.
pub(super) fn phase_name(phase: Phase, drained: bool) -> String {
    match (phase, drained) {
        (Phase::Draining, true) => "drained".into(),
        (phase, _) => json!(phase).as_str().unwrap_or("?").replace('_', " "),
    }
}
