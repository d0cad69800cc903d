//! What became of a command at each instance: its line of output, and the exit code for all of them.

use std::fmt::Write as _;
use std::process::ExitCode;

use serde::Serialize;
use serde_json::{Value, json};

/// Some instance failed.
const FAILED: u8 = 1;

/// Some command was refused, and nothing failed.
pub(super) const REFUSED: u8 = 4;

/// Of some instance it is not known, and nothing failed or was refused.
pub(super) const OPEN: u8 = 5;

/// What became of a command at one instance.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "result", content = "why", rename_all = "snake_case")]
pub enum End {
    Done(String),
    Refused(String),
    Failed(String),
    TimedOut(String),
    Unknown(String),
}

pub fn finish(mut ends: Vec<(String, End)>, as_json: bool) -> ExitCode {
    ends.sort_by(|one, other| one.0.cmp(&other.0));
    let mut text = String::new();
    let mut code = 0;
    for (name, end) in &ends {
        if as_json {
            let mut object = json!(end);
            object["instance"] = Value::from(name.as_str());
            let _ = writeln!(text, "{object}");
        } else {
            let (word, why) = match end {
                End::Done(why) => ("done", why),
                End::Refused(why) => ("refused", why),
                End::Failed(why) => ("failed", why),
                End::TimedOut(why) => ("timed out", why),
                End::Unknown(why) => ("unknown", why),
            };
            let _ = writeln!(text, "{name:<20} {word:<10} {why}");
        }
        let this = match end {
            End::Done(_) => 0,
            End::Failed(_) => FAILED,
            End::Refused(_) => REFUSED,
            End::TimedOut(_) | End::Unknown(_) => OPEN,
        };
        code = match (code, this) {
            (0, this) | (_, this @ FAILED) => this,
            (OPEN, REFUSED) => REFUSED,
            (code, _) => code,
        };
    }
    print!("{text}");
    ExitCode::from(code)
}
