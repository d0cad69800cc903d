//! The configuration of a node's process, derived from the world.

use ivyhatch_lab::{
    ANSWER_SLACK, COLD_START_CAPACITY, DRAIN_GRACE, OVERLOAD_CRASH_MULTIPLE, OVERLOAD_WINDOW, RequestClass,
    Tenant, WARM_UP_PERIOD, World,
};
use serde_json::{Value, json};

use crate::clock::NANOS_PER_MS;
use crate::discovery::targets;
use crate::endpoint_list::Endpoint;
use crate::resource_usage::{MEMORY_LIMIT_MB, SOCKET_LIMIT};
use crate::run_state::{RunState, zone_name};

fn class_settings(class: &RequestClass) -> Value {
    json!({"name": class.name, "effect": if class.non_idempotent { "once" } else { "repeatable" },
        "on-time-ns": class.latency_target_ms * NANOS_PER_MS, "deadline-ns": class.deadline_ms * NANOS_PER_MS,
        "importance": class.value})
}

/// The name of a tenant in the node's settings and in request headers.
pub(crate) fn tenant_name(number: usize) -> String {
    format!("t{number}")
}

fn tenant_settings((number, tenant): (usize, &Tenant)) -> Value {
    json!({"name": tenant_name(number), "quota-rps": tenant.quota})
}

fn settings(world: &World, zone: usize) -> Value {
    let zones: Vec<String> = (0..world.zones as usize).map(zone_name).collect();
    let clients = &world.clients;
    json!({"az": zone_name(zone), "zones": zones, "kinds": ["m"], "n-instances": world.nodes,
        "discovery": "on_request",
        "classes": clients.classes.iter().map(class_settings).collect::<Vec<_>>(),
        "projects": clients.tenants.iter().enumerate().map(tenant_settings).collect::<Vec<_>>(),
        "report": {"how": if world.reports_on_answers { "piggyback" } else { "pull" }, "fields": ["util"]},
        "prices": {"probe": 0.01}, "callers": {"marks-retry": clients.marks_retries},
        "policy-limits": {"attempts-cap": 6, "may-cancel": true, "second-copies": true, "probes": true,
            "retry-after": true, "max-retry-after-ns": 2_000_000_000u64, "conn-idle-ns": 5_000_000_000u64,
            "connect-timeout-ns": 250_000_000u64},
        "goal": {"worst-class": 0.0}, "quantum-ns": 1_000_000,
        "rules": {"answer-slack-ns": ANSWER_SLACK, "ask-within-ns": 10_000_000_000u64,
            "drain-grace-ns": DRAIN_GRACE, "fall-ns": OVERLOAD_WINDOW, "start-capacity": COLD_START_CAPACITY,
            "tip-multiple": OVERLOAD_CRASH_MULTIPLE, "warm-after-ns": WARM_UP_PERIOD}})
}

/// The configuration of a node whose initial list of servers is `known`.
pub(crate) fn node_config(run: &RunState, node: usize, known: &[Endpoint]) -> Value {
    let discovery = run.nodes[node].borrow().discovery_address.expect("discovery listens before nodes start");
    let seed = format!("{:016x}", run.random.node_seeds.borrow_mut().seed());
    json!({"name": format!("n{node}"), "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": seed,
        "limits": {"cores": 1.0, "memory_mb": MEMORY_LIMIT_MB, "sockets": SOCKET_LIMIT},
        "known": {"rev": 0, "all": true, "targets": targets(run, node, known)},
        "settings": settings(&run.world, run.zone_of(node))})
}
