//! One command for one instance: sends it to the agent, and polls until the instance is as requested.

use std::path::Path;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use ivyhatch_admin_protocol::{CallError, call};
use ivyhatch_agent::{DesiredState, InstanceStatus, Outcome as ApplyOutcome, Phase, Rejection};
use serde_json::{Value, json};
use tokio::time::sleep;

use super::arguments::ChangeArguments;
use super::outcome::Outcome;
use super::query::{Target, phase_name, query_status};

/// How often the agent is asked whether the instance is as requested.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// What is requested of instances; `--dry-run` prints the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verb {
    Start,
    Stop,
    Drain,
    Undrain,
    Restart,
}

impl Verb {
    fn desired_state(self) -> DesiredState {
        match self {
            Self::Start | Self::Undrain | Self::Restart => DesiredState::Running,
            Self::Stop => DesiredState::Stopped,
            Self::Drain => DesiredState::Drained,
        }
    }

    /// Whether the instance stops serving, for a while at least.
    pub(super) fn removes_capacity(self) -> bool {
        matches!(self, Self::Stop | Self::Drain | Self::Restart)
    }

    /// Whether the instance is as requested; `before` is its status when the command was sent.
    fn is_reached(self, before: &InstanceStatus, now: &InstanceStatus) -> bool {
        match self {
            Self::Start | Self::Undrain => now.phase == Phase::Ready,
            Self::Stop => now.phase == Phase::Stopped,
            Self::Drain => now.drained || now.phase == Phase::Stopped,
            Self::Restart => now.phase == Phase::Ready && now.pid != before.pid,
        }
    }
}

/// What all instances of a command have in common.
#[derive(Clone)]
pub(super) struct CommandOptions {
    /// Identifies the command: an agent carries it out once for each instance.
    id: String,
    requested_by: String,
    timeout: Duration,
}

impl CommandOptions {
    /// Takes the options from the arguments; without `--id`, the id is made of the time and the process id.
    pub(super) fn new(arguments: &ChangeArguments) -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let nanos = since_epoch.map_or(0, |elapsed| elapsed.as_nanos());
        let new_id = || format!("{nanos:x}-{}", std::process::id());
        let id = arguments.id.clone().unwrap_or_else(new_id);
        let user = || std::env::var("USER").ok();
        let requested_by = arguments.by.clone().or_else(user).unwrap_or_else(|| "unknown".into());
        Self { id, requested_by, timeout: Duration::from_secs_f64(arguments.deadline) }
    }

    fn request(&self, verb: Verb, target: &Target) -> Value {
        let (name, by) = (&target.instance.name, &self.requested_by);
        match verb {
            Verb::Restart => json!({"op": "restart", "instance": name, "by": by}),
            verb => {
                json!({"op": "apply", "id": format!("{}/{name}", self.id), "by": by, "against": target.revision,
                "changes": [{"instance": name, "wanted": verb.desired_state()}]})
            }
        }
    }
}

/// Sends the command for one instance and waits until it is as requested, within the time-out of the options.
pub(super) async fn run_command(verb: Verb, target: &Target, options: &CommandOptions) -> Outcome {
    let deadline = Instant::now() + options.timeout;
    let request = options.request(verb, target);
    match submit(&target.socket, &request, remaining(deadline)).await {
        Ok(()) => wait_until_reached(verb, target, deadline, options.timeout).await,
        Err(outcome) => outcome,
    }
}

fn remaining(deadline: Instant) -> Duration {
    deadline.saturating_duration_since(Instant::now())
}

/// Sends the request; the error is the outcome of a command that the agent did not accept for sure.
async fn submit(socket: &Path, request: &Value, timeout: Duration) -> Result<(), Outcome> {
    let response = match call(socket, request, timeout).await {
        Ok(response) => response,
        Err(error @ CallError::TimedOut(_)) => {
            return Err(Outcome::TimedOut(format!("{error}; it may have been taken")));
        }
        Err(error @ CallError::Unreachable(_)) => return Err(Outcome::Unknown(error.to_string())),
        Err(error) => return Err(Outcome::Unknown(format!("{error}; it may have been taken"))),
    };
    if let Some(error) = response.get("error") {
        return Err(Outcome::Failed(error.as_str().map_or(error.to_string(), str::to_owned)));
    }
    match serde_json::from_value(response) {
        Ok(ApplyOutcome::Rejected(rejection)) => Err(Outcome::Refused(describe_rejection(&rejection))),
        // Applied, or the answer to a restart, which has another form.
        _ => Ok(()),
    }
}

async fn wait_until_reached(verb: Verb, target: &Target, deadline: Instant, timeout: Duration) -> Outcome {
    let before = &target.instance;
    let mut last_status = "nothing was heard of it".to_owned(); // wire name: printed
    while !remaining(deadline).is_zero() {
        match query_status(&target.socket, Some(&before.name)).await {
            Err(error) => last_status = error.to_string(),
            Ok(status) => {
                let Some(now) = status.instances.first() else {
                    return Outcome::Unknown("its agent does not have it any more".into());
                };
                last_status = format!("{}: {}", phase_name(now.phase, now.drained), now.reason);
                if let Some(outcome) = settled_outcome(verb, before, now, &last_status) {
                    return outcome;
                }
            }
        }
        sleep(POLL_INTERVAL.min(remaining(deadline))).await;
    }
    Outcome::TimedOut(format!("not so within {timeout:?}: {last_status}"))
}

/// The outcome, once a status settles it: another command took over, the instance is as requested, or it crashed too often.
fn settled_outcome(
    verb: Verb,
    before: &InstanceStatus,
    now: &InstanceStatus,
    description: &str,
) -> Option<Outcome> {
    if verb != Verb::Restart && now.desired_state != verb.desired_state() {
        return Some(Outcome::Refused(format!("overtaken: {:?} is wanted now", now.desired_state)));
    }
    if verb.is_reached(before, now) {
        return Some(Outcome::Done(description.to_owned()));
    }
    (now.phase == Phase::Crashed).then(|| Outcome::Failed(description.to_owned()))
}

fn describe_rejection(rejection: &Rejection) -> String {
    match rejection {
        Rejection::Conflict { other, .. } => {
            let (desired, by, command) = (json!(other.desired_state), &other.requested_by, &other.command);
            format!(
                "in conflict with command {command} by {by}, which wants it {desired} (revision {})",
                other.revision
            )
        }
        Rejection::UnknownBaseRevision { revision } => {
            format!("made against a revision that is not there yet; it is {revision}")
        }
        Rejection::IdTaken { requested_by } => format!("the id was another command's, by {requested_by}"),
    }
}
