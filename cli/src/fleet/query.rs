//! Asks agents for the status of their instances, and picks the instances that a command names.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use ivyhatch_admin_protocol::call;
use ivyhatch_agent::{AgentStatus, InstanceStatus, Phase};
use serde_json::json;
use tokio::task::JoinSet;

use super::arguments::Agents;
use crate::config;

/// An agent that does not say how it stands by then is not waited for.
pub(super) const SAYS: Duration = Duration::from_secs(2);

pub(super) fn sockets(agents: &Agents) -> Result<Vec<PathBuf>, ExitCode> {
    if !agents.agents.is_empty() {
        return Ok(agents.agents.clone());
    }
    let read = config::read(&agents.config).map_err(|mistakes| config::tell(&mistakes, agents.json))?;
    Ok(vec![read.config.agent.state.join("agent.sock")])
}

/// Of one instance, or of all: who waits for one need not have all of them read out again and again.
pub(super) async fn status_of(socket: &Path, instance: Option<&str>) -> Result<AgentStatus, String> {
    let answer = call(socket, &json!({"op": "status", "instance": instance}), SAYS)
        .await
        .map_err(|error| error.to_string())?;
    match answer.get("error") {
        Some(error) => Err(error.to_string()),
        None => {
            serde_json::from_value(answer).map_err(|error| format!("it answered what is no status: {error}"))
        }
    }
}

/// All agents at once: one that does not answer holds up none.
pub async fn all_statuses(sockets: &[PathBuf]) -> Vec<(PathBuf, Result<AgentStatus, String>)> {
    let mut asked = JoinSet::new();
    for (number, socket) in sockets.iter().cloned().enumerate() {
        asked.spawn_local(async move {
            let status = status_of(&socket, None).await;
            (number, socket, status)
        });
    }
    let mut all = asked.join_all().await;
    all.sort_by_key(|(number, ..)| *number);
    all.into_iter().map(|(_, socket, status)| (socket, status)).collect()
}

/// Whether one of the selectors means this instance.
pub fn selects(selectors: &[String], shown: &InstanceStatus) -> bool {
    let fits = |part: &str| match part.split_once('=') {
        Some(("zone", zone)) => glob(zone, &shown.zone),
        Some((label, word)) => shown.labels.get(label).is_some_and(|has| glob(word, has)),
        None => part == "all" || glob(part, &shown.name),
    };
    selectors.iter().any(|selector| selector.split(',').all(fits))
}

/// `*` stands for anything.
fn glob(pattern: &str, text: &str) -> bool {
    let Some((head, rest)) = pattern.split_once('*') else { return pattern == text };
    let Some(text) = text.strip_prefix(head) else { return false };
    (0..=text.len()).any(|at| text.is_char_boundary(at) && glob(rest, &text[at..]))
}

pub(super) fn word(phase: Phase, drained: bool) -> String {
    match (phase, drained) {
        (Phase::Draining, true) => "drained".into(),
        (phase, _) => json!(phase).as_str().unwrap_or("?").replace('_', " "),
    }
}
