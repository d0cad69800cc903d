//! `ivyhatch logs`: the last lines of instances' logs.

use std::path::Path;
use std::process::ExitCode;

use ivyhatch_admin_protocol::call;
use serde_json::{Value, json};

use super::arguments::LogsArguments;
use super::query::{QUERY_TIMEOUT, agent_sockets, query_agents};
use super::runtime::block_on;
use super::selector::matches_any;
use crate::exit::UNKNOWN;

/// Prints the last lines of each selected instance's log. Returns [`UNKNOWN`] if an agent does not respond or a log can't be read.
pub fn logs(arguments: &LogsArguments) -> ExitCode {
    match agent_sockets(&arguments.selection.agents) {
        Ok(sockets) => block_on(async move {
            let mut code = 0;
            for reply in query_agents(&sockets).await {
                let Ok(status) = reply.status else {
                    eprintln!("ivyhatch: agent {} does not answer", reply.socket.display());
                    code = UNKNOWN;
                    continue;
                };
                for instance in &status.instances {
                    if !matches_any(&arguments.selection.selectors, instance) {
                        continue;
                    }
                    match query_lines(&reply.socket, &instance.name, arguments.lines).await {
                        Some(lines) => print_lines(&instance.name, &lines, arguments.selection.agents.json),
                        None => code = UNKNOWN,
                    }
                }
            }
            ExitCode::from(code)
        }),
        Err(code) => code,
    }
}

/// The last lines of an instance's log; `None` if the agent does not respond, or responds with an error.
async fn query_lines(socket: &Path, instance: &str, lines: usize) -> Option<Vec<Value>> {
    let request = json!({"op": "logs", "instance": instance, "lines": lines});
    let response = call(socket, &request, QUERY_TIMEOUT).await.ok()?;
    response["lines"].as_array().cloned()
}

fn print_lines(instance: &str, lines: &[Value], as_json: bool) {
    for line in lines.iter().filter_map(Value::as_str) {
        match as_json {
            true => println!("{}", json!({"instance": instance, "line": line})),
            false => println!("{instance}: {line}"),
        }
    }
}
