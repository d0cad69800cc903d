//! One command for one instance: gives it to the agent, and waits until the instance is as asked.

use std::path::Path;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use ivyhatch_admin_protocol::{CallError, call};
use ivyhatch_agent::{DesiredState, InstanceStatus, Outcome, Phase, Rejection};
use serde_json::json;
use tokio::time::sleep;

use super::arguments::Change;
use super::outcome::End;
use super::query::{status_of, word};

/// What is asked of instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verb {
    Start,
    Stop,
    Drain,
    Undrain,
    Restart,
}

impl Verb {
    fn wanted(self) -> DesiredState {
        match self {
            Self::Start | Self::Undrain | Self::Restart => DesiredState::Running,
            Self::Stop => DesiredState::Stopped,
            Self::Drain => DesiredState::Drained,
        }
    }

    pub(super) fn takes_away(self) -> bool {
        matches!(self, Self::Stop | Self::Drain | Self::Restart)
    }
}

/// What all instances of a command have in common.
#[derive(Clone)]
pub struct Prepared {
    pub(super) id: String,
    pub(super) by: String,
    pub(super) within: Duration,
}

pub fn prepare(change: &Change) -> Prepared {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |now| now.as_nanos());
    let id = change.id.clone().unwrap_or_else(|| format!("{since:x}-{}", std::process::id()));
    let by = change.by.clone().or_else(|| std::env::var("USER").ok()).unwrap_or_else(|| "unknown".into());
    Prepared { id, by, within: Duration::from_secs_f64(change.deadline) }
}

/// Gives the command for one instance and waits until it is as asked.
pub async fn one(
    verb: Verb,
    socket: &Path,
    against: u64,
    shown: &InstanceStatus,
    prepared: &Prepared,
) -> End {
    let Prepared { id, by, within } = prepared;
    let begun = Instant::now();
    let left = || within.saturating_sub(begun.elapsed());
    let name = &shown.name;
    let what = match verb {
        Verb::Restart => json!({"op": "restart", "instance": name, "by": by}),
        verb => json!({"op": "apply", "id": format!("{id}/{name}"), "by": by, "against": against,
            "changes": [{"instance": name, "wanted": verb.wanted()}]}),
    };
    match call(socket, &what, left()).await {
        Err(error @ CallError::TimedOut(_)) => {
            return End::TimedOut(format!("{error}; it may have been taken"));
        }
        Err(error @ CallError::Unreachable(_)) => return End::Unknown(error.to_string()),
        Err(error) => return End::Unknown(format!("{error}; it may have been taken")),
        Ok(answer) => {
            if let Some(error) = answer.get("error") {
                return End::Failed(error.as_str().map_or(error.to_string(), str::to_owned));
            }
            if let Ok(Outcome::Rejected(refusal)) = serde_json::from_value(answer) {
                return End::Refused(worded(&refusal));
            }
        }
    }
    let mut last = "nothing was heard of it".to_owned();
    loop {
        if left().is_zero() {
            return End::TimedOut(format!("not so within {within:?}: {last}"));
        }
        match status_of(socket, Some(name)).await {
            Err(why) => last = why,
            Ok(status) => {
                let Some(now) = status.instances.first() else {
                    return End::Unknown("its agent does not have it any more".into());
                };
                last = format!("{}: {}", word(now.phase, now.drained), now.reason);
                let done = match verb {
                    Verb::Start | Verb::Undrain => now.phase == Phase::Ready,
                    Verb::Stop => now.phase == Phase::Stopped,
                    Verb::Drain => now.drained || now.phase == Phase::Stopped,
                    Verb::Restart => now.phase == Phase::Ready && now.pid != shown.pid,
                };
                if verb != Verb::Restart && now.desired_state != verb.wanted() {
                    return End::Refused(format!("overtaken: {:?} is wanted now", now.desired_state));
                }
                match now.phase {
                    _ if done => return End::Done(last),
                    Phase::Crashed => return End::Failed(last),
                    _ => {}
                }
            }
        }
        sleep(Duration::from_millis(50).min(left())).await;
    }
}

fn worded(refusal: &Rejection) -> String {
    match refusal {
        Rejection::Conflict { other, .. } => {
            let (wanted, by, command) = (json!(other.desired_state), &other.requested_by, &other.command);
            format!(
                "in conflict with command {command} by {by}, which wants it {wanted} (revision {})",
                other.revision
            )
        }
        Rejection::UnknownBaseRevision { revision } => {
            format!("made against a revision that is not there yet; it is {revision}")
        }
        Rejection::IdTaken { requested_by } => format!("the id was another command's, by {requested_by}"),
    }
}
