//! `ivyhatch status`, `top` and `logs`: what instances do, without changing anything.

use std::io::IsTerminal;
use std::process::ExitCode;
use std::time::Duration;

use ivyhatch_admin_protocol::call;
use ivyhatch_agent::InstanceStatus;
use serde_json::{Value, json};

use super::arguments::{Logs, Show, Top};
use super::block_on;
use super::outcome::{OPEN, REFUSED};
use super::query::{SAYS, all_statuses, selects, sockets, word};

/// The table again and again, until Ctrl-C or so many times.
pub fn top(top: &Top) -> ExitCode {
    if !(top.every > 0.0 && top.every <= 3600.0) {
        eprintln!("ivyhatch: --every {}: seconds above 0, an hour at most", top.every);
        return ExitCode::from(2);
    }
    let mut shown = 0;
    loop {
        if std::io::stdout().is_terminal() {
            // Home, and clear from there.
            print!("\x1b[H\x1b[2J");
        }
        let code = status(&top.show);
        shown += 1;
        if top.times.is_some_and(|times| shown >= times) {
            return code;
        }
        std::thread::sleep(Duration::from_secs_f64(top.every));
    }
}

pub fn status(show: &Show) -> ExitCode {
    let sockets = match sockets(&show.agents) {
        Ok(sockets) => sockets,
        Err(code) => return code,
    };
    let all = block_on(all_statuses(&sockets));
    let (mut code, mut shown) = (0, 0);
    if !show.agents.json {
        println!(
            "{:<20} {:<8} {:<13} {:<9} {:>9} {:>6} {:>6}  why",
            "instance", "zone", "phase", "wanted", "since", "open", "starts"
        );
    }
    for (socket, status) in all {
        match status {
            Err(why) => {
                code = OPEN;
                match show.agents.json {
                    true => println!("{}", json!({"agent": socket, "result": "unknown", "why": why})),
                    false => println!("unknown: agent {}: {why}", socket.display()),
                }
            }
            Ok(status) => {
                for instance in status.instances.iter().filter(|instance| selects(&show.selectors, instance))
                {
                    shown += 1;
                    line(instance, show.agents.json);
                }
            }
        }
    }
    if shown == 0 && code == 0 {
        eprintln!("ivyhatch: no instance is meant by {}", show.selectors.join(" "));
        code = REFUSED;
    }
    ExitCode::from(code)
}

fn line(shown: &InstanceStatus, as_json: bool) {
    if as_json {
        return println!("{}", json!(shown));
    }
    let open = shown.node_state.as_ref().map_or("-".into(), |(state, _)| state["open"].to_string());
    let wanted = json!(shown.desired_state);
    println!(
        "{:<20} {:<8} {:<13} {:<9} {:>8.1}s {open:>6} {:>6}  {}",
        shown.name,
        shown.zone,
        word(shown.phase, shown.drained),
        wanted.as_str().unwrap_or("?"),
        shown.since_ms as f64 / 1000.0,
        shown.starts,
        shown.reason
    );
}

/// The last lines of each instance's log, by its agent.
pub fn logs(logs: &Logs) -> ExitCode {
    let (show, lines) = (&logs.show, logs.lines);
    let sockets = match sockets(&show.agents) {
        Ok(sockets) => sockets,
        Err(code) => return code,
    };
    block_on(async move {
        let mut code = 0;
        for (socket, status) in all_statuses(&sockets).await {
            let Ok(status) = status else {
                eprintln!("ivyhatch: agent {} does not answer", socket.display());
                code = OPEN;
                continue;
            };
            for shown in status.instances.iter().filter(|shown| selects(&show.selectors, shown)) {
                let what = json!({"op": "logs", "instance": shown.name, "lines": lines});
                match call(&socket, &what, SAYS).await.map(|answer| answer["lines"].as_array().cloned()) {
                    Ok(Some(lines)) => {
                        lines.iter().filter_map(Value::as_str).for_each(|line| match show.agents.json {
                            true => println!("{}", json!({"instance": shown.name, "line": line})),
                            false => println!("{}: {line}", shown.name),
                        })
                    }
                    _ => code = OPEN,
                }
            }
        }
        ExitCode::from(code)
    })
}
