//! The nodes: processes that are told what DEPLOY says, and nothing else.

use std::io::Write;
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;

use ivyhatch_lab::{
    ANSWER_SLACK, COLD_START_CAPACITY, DRAIN_GRACE, OVERLOAD_CRASH_MULTIPLE, OVERLOAD_WINDOW, WARM_UP_PERIOD,
};
use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::stage::{Stage, zone_name};
use crate::usage::{MEMORY_MB, SOCKETS};
use crate::{NodeCommand, SocketLabError, discovery};

/// A node that does not listen by then never will.
const STARTS: Duration = Duration::from_secs(20);

fn settings(stage: &Stage, node: usize) -> Value {
    let world = &stage.world;
    let class = |class: &ivyhatch_lab::RequestClass| {
        json!({"name": class.name, "effect": if class.non_idempotent { "once" } else { "repeatable" },
            "on-time-ns": class.latency_target_ms * 1_000_000, "deadline-ns": class.deadline_ms * 1_000_000,
            "importance": class.value})
    };
    let tenant = |(number, tenant): (usize, &ivyhatch_lab::Tenant)| json!({"name": format!("t{number}"), "quota-rps": tenant.quota});
    let zones: Vec<String> = (0..world.zones as usize).map(zone_name).collect();
    json!({"az": zone_name(stage.zone(node)), "zones": zones, "kinds": ["m"], "n-instances": world.nodes,
        "discovery": "on_request",
        "classes": world.clients.classes.iter().map(class).collect::<Vec<_>>(),
        "projects": world.clients.tenants.iter().enumerate().map(tenant).collect::<Vec<_>>(),
        "report": {"how": if world.reports_on_answers { "piggyback" } else { "pull" }, "fields": ["util"]},
        "prices": {"probe": 0.01}, "callers": {"marks-retry": world.clients.marks_retries},
        "policy-limits": {"attempts-cap": 6, "may-cancel": true, "second-copies": true, "probes": true,
            "retry-after": true, "max-retry-after-ns": 2_000_000_000u64, "conn-idle-ns": 5_000_000_000u64,
            "connect-timeout-ns": 250_000_000u64},
        "goal": {"worst-class": 0.0}, "quantum-ns": 1_000_000,
        "rules": {"answer-slack-ns": ANSWER_SLACK, "ask-within-ns": 10_000_000_000u64, "drain-grace-ns": DRAIN_GRACE,
            "fall-ns": OVERLOAD_WINDOW, "start-capacity": COLD_START_CAPACITY, "tip-multiple": OVERLOAD_CRASH_MULTIPLE, "warm-after-ns": WARM_UP_PERIOD}})
}

pub(crate) async fn start_all(stage: &Rc<Stage>, command: &NodeCommand) -> Result<(), SocketLabError> {
    for node in 0..stage.nodes.len() {
        start(stage, node, command).await?;
    }
    Ok(())
}

/// Starts a node's process and waits until it listens.
pub(crate) async fn start(
    stage: &Rc<Stage>,
    node: usize,
    command: &NodeCommand,
) -> Result<(), SocketLabError> {
    let whole = discovery::whole(stage);
    stage.oracle.borrow_mut().forgets(node);
    for (server, shown) in &whole {
        let serving = shown.state == ivyhatch_lab::ServerState::Serving;
        stage.oracle.borrow_mut().told(node, *server as u32, serving, shown.started, stage.now());
    }
    let at = stage.nodes[node].borrow().discovery.expect("discovery listens first");
    let seed = format!("{:016x}", stage.seeds.borrow_mut().seed());
    let config = json!({"name": format!("n{node}"), "listen": "127.0.0.1:0", "discovery": at.to_string(), "seed": seed,
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
        "known": {"rev": 0, "all": true, "targets": discovery::targets(stage, node, &whole)},
        "settings": settings(stage, node)});
    let file = tempfile::Builder::new().prefix("ivyhatch-node-").suffix(".json").tempfile();
    let mut file = file.map_err(SocketLabError::system("a node's configuration"))?;
    file.write_all(config.to_string().as_bytes())
        .map_err(SocketLabError::system("a node's configuration"))?;
    let file = file.into_temp_path();
    let child = tokio::process::Command::new(&command.program)
        .args(&command.arguments)
        .env("EDGE_CONFIG", &file)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .kill_on_drop(true)
        .spawn();
    let mut child = child.map_err(SocketLabError::system(command.program.display().to_string()))?;
    let mut lines = BufReader::new(child.stderr.take().expect("it is piped")).lines();
    let mut log = String::new();
    let listening = async {
        while let Ok(Some(line)) = lines.next_line().await {
            if let Some((_, at)) = line.trim_end().split_once("listening on ") {
                return at.parse().ok();
            }
            log += &line;
            log.push('\n');
        }
        None
    };
    let Ok(Some(at)) = timeout(STARTS, listening).await else {
        return Err(SocketLabError::Node { node, log });
    };
    // Its log must be read on, or it would block on it.
    spawn_local(async move { while let Ok(Some(_)) = lines.next_line().await {} });
    let mut of = stage.nodes[node].borrow_mut();
    (of.child, of.at, of.file) = (Some(child), Some(at), Some(file));
    Ok(())
}

/// Ends a node's process, and what it held.
pub(crate) async fn kill(stage: &Rc<Stage>, node: usize) {
    let (child, held) = {
        let mut of = stage.nodes[node].borrow_mut();
        of.at = None;
        of.idle.clear();
        (of.child.take(), std::mem::take(&mut of.open))
    };
    // What it held is lost with it, and nobody's to answer.
    held.into_iter().for_each(|request| stage.oracle.borrow_mut().lost(node, request));
    if let Some(mut child) = child {
        let _ = child.kill().await;
    }
}

pub(crate) async fn end_all(stage: &Rc<Stage>) {
    for node in 0..stage.nodes.len() {
        kill(stage, node).await;
    }
}
