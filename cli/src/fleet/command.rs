//! One command for one instance: sends the command to the agent, and polls the agent until the instance is in the requested state.

use std::path::Path;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use ivyhatch_admin_protocol::{CallError, call};
use ivyhatch_agent::{DesiredState, InstanceStatus, Outcome as ApplyOutcome, Phase, Rejection};
use serde_json::{Value, json};
use tokio::time::sleep;

use super::arguments::ChangeArguments;
use super::outcome::Outcome;
use super::query::{Target, phase_name, query_status};

/// Interval between two status queries while a command waits for the instance to reach the requested state.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The change that is requested of instances. `--dry-run` prints the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verb {
    Start,
    Stop,
    Drain,
    Undrain,
    Restart,
}

impl Verb {
    /// The desired state that the agent stores for the instance.
    fn desired_state(self) -> DesiredState {
        match self {
            Self::Start | Self::Undrain | Self::Restart => DesiredState::Running,
            Self::Stop => DesiredState::Stopped,
            Self::Drain => DesiredState::Drained,
        }
    }

    /// Whether the instance stops serving, at least temporarily.
    pub(super) fn removes_capacity(self) -> bool {
        matches!(self, Self::Stop | Self::Drain | Self::Restart)
    }

    /// Whether the instance has reached the requested state; `before` is its status before the command was sent.
    fn is_reached(self, before: &InstanceStatus, now: &InstanceStatus) -> bool {
        match self {
            Self::Start | Self::Undrain => now.phase == Phase::Ready,
            Self::Stop => now.phase == Phase::Stopped,
            Self::Drain => now.drained || now.phase == Phase::Stopped,
            Self::Restart => now.phase == Phase::Ready && now.pid != before.pid,
        }
    }
}

/// Options of a command that are the same for all of its instances.
#[derive(Clone)]
pub(super) struct CommandOptions {
    /// Identifies the command. With the name of the instance it is the id under which an agent carries the command out only
    /// once. A restart has no id.
    id: String,
    /// Name of the operator, for the agent's records.
    requested_by: String,
    /// Time within which each instance has to reach the requested state.
    timeout: Duration,
}

impl CommandOptions {
    /// Reads the options from the arguments. Defaults: the id consists of the current time and the process id, and the operator is the
    /// environment variable `USER`.
    pub(super) fn new(arguments: &ChangeArguments) -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let nanos = since_epoch.map_or(0, |elapsed| elapsed.as_nanos());
        let new_id = || format!("{nanos:x}-{}", std::process::id());
        let id = arguments.id.clone().unwrap_or_else(new_id);
        let user = || std::env::var("USER").ok();
        let requested_by = arguments.by.clone().or_else(user).unwrap_or_else(|| "unknown".into());
        Self { id, requested_by, timeout: Duration::from_secs_f64(arguments.deadline) }
    }

    /// The request that asks the agent for the change.
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

/// Sends the command for one instance, and waits until the instance is in the requested state or the timeout of the options is over.
pub(super) async fn run_command(verb: Verb, target: &Target, options: &CommandOptions) -> Outcome {
    let deadline = Instant::now() + options.timeout;
    let request = options.request(verb, target);
    match submit(&target.socket, &request, time_until(deadline)).await {
        Ok(()) => wait_until_reached(verb, target, deadline, options.timeout).await,
        Err(outcome) => outcome,
    }
}

fn time_until(deadline: Instant) -> Duration {
    deadline.saturating_duration_since(Instant::now())
}

/// Sends the request. Unless the agent confirms that it has accepted the command, returns the outcome of the command as an error.
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
        // The command was applied, or this is the response to a restart, which has another format.
        _ => Ok(()),
    }
}

/// Polls the agent until the outcome is settled or the deadline has passed.
async fn wait_until_reached(verb: Verb, target: &Target, deadline: Instant, timeout: Duration) -> Outcome {
    let before = &target.instance;
    let mut last_status = "nothing was heard of it".to_owned(); // wire name: printed
    while !time_until(deadline).is_zero() {
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
        sleep(POLL_INTERVAL.min(time_until(deadline))).await;
    }
    Outcome::TimedOut(format!("not so within {timeout:?}: {last_status}"))
}

/// The outcome, if the status `now` settles it: a later command has set another desired state, the instance has reached the requested
/// state, or the instance is in a crash loop. `description` is the phase and the reason of `now`.
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

/// Why the agent rejected the command, for the operator.
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
