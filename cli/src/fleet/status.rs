//! `ivyhatch status` and `ivyhatch top`: print a table of instances, once or repeatedly.

use std::io::{IsTerminal, stdout};
use std::path::Path;
use std::process::ExitCode;
use std::thread::sleep;
use std::time::Duration;

use ivyhatch_agent::InstanceStatus;
use serde_json::json;

use super::arguments::{SelectionArguments, TopArguments};
use super::query::{StatusError, agent_sockets, phase_name, query_agents};
use super::runtime::block_on;
use super::selector::matches_any;
use crate::exit::report_wrong_usage;
use crate::exit::{REJECTED, UNKNOWN};

/// Maximum of `--every`, in seconds: one hour.
const MAX_INTERVAL_S: f64 = 3600.0;

/// Escape sequences that move the cursor to the top left corner and clear the screen.
const CLEAR_SCREEN: &str = "\x1b[H\x1b[2J";

/// Prints the table every `--every` seconds, until Ctrl-C or until `--times` tables are printed. Returns the exit code of the last table.
pub fn top(arguments: &TopArguments) -> ExitCode {
    let every = arguments.every;
    if !(every > 0.0 && every <= MAX_INTERVAL_S) {
        return report_wrong_usage(format_args!("--every {every}: seconds above 0, an hour at most"));
    }
    let mut printed = 0;
    loop {
        if stdout().is_terminal() {
            print!("{CLEAR_SCREEN}");
        }
        let code = status(&arguments.selection);
        printed += 1;
        if arguments.times.is_some_and(|times| printed >= times) {
            return code;
        }
        sleep(Duration::from_secs_f64(every));
    }
}

/// Prints one table of the selected instances. Returns [`UNKNOWN`] if an agent reported no status, else [`REJECTED`] if no instance
/// matches.
pub fn status(arguments: &SelectionArguments) -> ExitCode {
    let as_json = arguments.agents.json;
    let sockets = match agent_sockets(&arguments.agents) {
        Ok(sockets) => sockets,
        Err(code) => return code,
    };
    let replies = block_on(query_agents(&sockets));
    if !as_json {
        print_header();
    }
    let (mut code, mut printed) = (0, 0);
    for reply in replies {
        match reply.status {
            Err(error) => {
                code = UNKNOWN;
                print_unknown(&reply.socket, &error, as_json);
            }
            Ok(status) => {
                let selected = |instance: &&InstanceStatus| matches_any(&arguments.selectors, instance);
                for instance in status.instances.iter().filter(selected) {
                    printed += 1;
                    print_instance(instance, as_json);
                }
            }
        }
    }
    if printed == 0 && code == 0 {
        eprintln!("ivyhatch: no instance is meant by {}", arguments.selectors.join(" "));
        code = REJECTED;
    }
    ExitCode::from(code)
}

fn print_header() {
    println!(
        "{:<20} {:<8} {:<13} {:<9} {:>9} {:>6} {:>6}  why",
        "instance", "zone", "phase", "wanted", "since", "open", "starts"
    );
}

/// Prints the line of an agent that reported no status.
fn print_unknown(socket: &Path, error: &StatusError, as_json: bool) {
    match as_json {
        true => println!("{}", json!({"agent": socket, "result": "unknown", "why": error.to_string()})),
        false => println!("unknown: agent {}: {error}", socket.display()),
    }
}

fn print_instance(instance: &InstanceStatus, as_json: bool) {
    if as_json {
        return println!("{}", json!(instance));
    }
    let open = instance.node_state.as_ref().map_or("-".into(), |(state, _)| state["open"].to_string());
    let desired = json!(instance.desired_state);
    println!(
        "{:<20} {:<8} {:<13} {:<9} {:>8.1}s {open:>6} {:>6}  {}",
        instance.name,
        instance.zone,
        phase_name(instance.phase, instance.drained),
        desired.as_str().unwrap_or("?"),
        instance.since_ms as f64 / 1000.0,
        instance.starts,
        instance.reason
    );
}
