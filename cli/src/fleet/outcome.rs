//! Outcomes of a command: one line of output for each instance, and one exit code for all of them.

use std::fmt::Write as _;
use std::process::ExitCode;

use serde::Serialize;
use serde_json::{Value, json};

use super::query::AgentReply;
use crate::exit::{FAILURE, REJECTED, UNKNOWN};

/// The outcome of a command at one instance, with the reason. The names of the variants, in snake case, are the values of `result` in
/// JSON.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "result", content = "why", rename_all = "snake_case")]
pub(super) enum Outcome {
    /// The instance has reached the requested state.
    Done(String),
    /// The command was not carried out, or a later command has replaced it.
    Refused(String),
    /// The agent reported an error, or the instance crashed.
    Failed(String),
    /// The agent did not respond, or the instance did not reach the requested state, within the timeout.
    TimedOut(String),
    /// It is not known whether the command was carried out.
    Unknown(String),
}

/// The outcome of a command at a named instance, or at an agent that could not be queried.
pub(super) struct CommandResult {
    /// Name of the instance, or `agent` and the path of the agent's socket.
    pub name: String,
    pub outcome: Outcome,
}

impl CommandResult {
    /// The result for an agent that reported no status, which stands for all of its instances.
    pub(super) fn agent_unknown(reply: &AgentReply, error: impl ToString) -> Self {
        let name = format!("agent {}", reply.socket.display());
        Self { name, outcome: Outcome::Unknown(error.to_string()) }
    }

    /// The line of output, as JSON or as a row of the table.
    fn line(&self, as_json: bool) -> String {
        if as_json {
            let mut object = json!(self.outcome);
            object["instance"] = Value::from(self.name.as_str());
            return object.to_string();
        }
        let (label, reason) = self.outcome.label_and_reason();
        format!("{:<20} {label:<10} {reason}", self.name)
    }
}

impl Outcome {
    fn label_and_reason(&self) -> (&'static str, &str) {
        match self {
            Self::Done(reason) => ("done", reason),
            Self::Refused(reason) => ("refused", reason),
            Self::Failed(reason) => ("failed", reason),
            Self::TimedOut(reason) => ("timed out", reason),
            Self::Unknown(reason) => ("unknown", reason),
        }
    }

    fn exit_code(&self) -> u8 {
        match self {
            Self::Done(_) => 0,
            Self::Failed(_) => FAILURE,
            Self::Refused(_) => REJECTED,
            Self::TimedOut(_) | Self::Unknown(_) => UNKNOWN,
        }
    }
}

/// The more severe of two exit codes: a failure, then a rejection, then an unknown outcome.
fn more_severe(first: u8, second: u8) -> u8 {
    let severity = |code: u8| match code {
        FAILURE => 3,
        REJECTED => 2,
        UNKNOWN => 1,
        _ => 0,
    };
    if severity(second) > severity(first) { second } else { first }
}

/// Prints the results sorted by name. Returns the most severe of their exit codes.
pub(super) fn print_results(mut results: Vec<CommandResult>, as_json: bool) -> ExitCode {
    results.sort_by(|first, second| first.name.cmp(&second.name));
    let mut text = String::new();
    for result in &results {
        let _ = writeln!(text, "{}", result.line(as_json));
    }
    print!("{text}");
    ExitCode::from(results.iter().map(|result| result.outcome.exit_code()).fold(0, more_severe))
}
