//! Calls agents for the status of their instances.

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

/// How long an agent may take to answer a query.
pub(super) const QUERY_TIMEOUT: Duration = Duration::from_secs(2);

/// The longest `--deadline`: a day.
const MAX_DEADLINE_S: f64 = 86_400.0;

/// Why an agent's status is unknown.
#[derive(Debug, Error)]
pub(super) enum StatusError {
    /// The agent could not be called, or did not answer in time.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The agent answered with an error.
    #[error("{0}")]
    Rejected(Value),
    /// The agent's answer has another form.
    #[error("it answered what is no status: {0}")]
    Malformed(serde_json::Error),
}

/// The status that the agent at a socket reported.
pub(super) struct AgentReply {
    pub socket: PathBuf,
    pub status: Result<AgentStatus, StatusError>,
}

/// An instance that a command is for, as its agent last reported it.
#[derive(Clone)]
pub(super) struct Target {
    pub socket: PathBuf,
    /// The agent's revision of desired states that the report shows.
    pub revision: u64,
    pub instance: InstanceStatus,
}

/// The sockets of the agents that the arguments name. If the operators' file can't be used, its errors are printed and the exit
/// code is returned.
pub(super) fn agent_sockets(arguments: &AgentSocketArguments) -> Result<Vec<PathBuf>, ExitCode> {
    if !arguments.agents.is_empty() {
        return Ok(arguments.agents.clone());
    }
    let loaded = config::load(&arguments.config)
        .map_err(|diagnostics| config::report_diagnostics(&diagnostics, arguments.json))?;
    Ok(vec![loaded.config.agent.state.join("agent.sock")])
}

/// The sockets of the agents for a command that changes instances; checks its deadline first.
pub(super) fn sockets_for_change(arguments: &ChangeArguments) -> Result<Vec<PathBuf>, ExitCode> {
    let deadline = arguments.deadline;
    if !(deadline > 0.0 && deadline <= MAX_DEADLINE_S) {
        let message = format_args!("--deadline {deadline}: seconds above 0, a day at most");
        return Err(report_wrong_usage(message));
    }
    agent_sockets(&arguments.agents)
}

/// Queries one instance, or all: who polls one instance need not have all of them sent each time.
pub(super) async fn query_status(socket: &Path, instance: Option<&str>) -> Result<AgentStatus, StatusError> {
    let request = json!({"op": "status", "instance": instance});
    let response = call(socket, &request, QUERY_TIMEOUT).await?;
    match response.get("error") {
        Some(error) => Err(StatusError::Rejected(error.clone())),
        None => serde_json::from_value(response).map_err(StatusError::Malformed),
    }
}

/// Queries all agents at once, so that one that does not answer delays none; replies are in the order of the sockets.
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

/// The name of a phase in tables and messages.
pub(super) fn phase_name(phase: Phase, drained: bool) -> String {
    match (phase, drained) {
        (Phase::Draining, true) => "drained".into(),
        (phase, _) => json!(phase).as_str().unwrap_or("?").replace('_', " "),
    }
}
