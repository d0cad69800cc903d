//! The names in world files, experiment files and reports are stable: renamed fields and variants of the Rust types must
//! not change them.

use ivyhatch_lab::{Fault, FaultKind, Invariant, Policy, PolicyConfig, Report, World, simulate};
use serde_json::{Value, json};

/// The default world, in which the optional fields under test are present, cut to one second.
fn world() -> World {
    let mut world = World::read(include_str!("../worlds/evening.toml")).expect("a valid world");
    world.seconds = 1.0;
    world
}

/// The keys of an object, sorted: the order of keys in a [`Value`] depends on a feature of `serde_json` that other crates
/// in the same build may enable.
fn keys(value: &Value) -> Vec<&str> {
    let mut keys: Vec<&str> = value.as_object().expect("an object").keys().map(String::as_str).collect();
    keys.sort_unstable();
    keys
}

fn name(value: impl serde::Serialize) -> String {
    serde_json::to_value(value).expect("plain data").as_str().expect("a string").to_owned()
}

#[test]
fn kinds_of_faults_have_the_names_of_world_files() {
    let names: Vec<String> = FaultKind::ALL.into_iter().map(name).collect();
    assert_eq!(
        names,
        [
            "neighbour",
            "liar",
            "drain",
            "restart",
            "zone_cut",
            "burst",
            "errors",
            "hang",
            "deaf",
            "far",
            "lossy",
            "list_down",
            "list_stale",
            "node_crash",
            "node_stop"
        ]
    );
}

#[test]
fn policies_have_the_names_of_experiment_files() {
    let names: Vec<String> = Policy::REFERENCES.into_iter().chain([Policy::Balancer]).map(name).collect();
    assert_eq!(names, ["random", "round_robin", "least_requests", "two_choices", "paper", "truth", "module"]);
    let in_sentences: Vec<String> =
        Policy::REFERENCES.into_iter().chain([Policy::Balancer]).map(|policy| policy.to_string()).collect();
    assert_eq!(
        in_sentences,
        ["Random", "RoundRobin", "LeastRequests", "TwoChoices", "Paper", "Truth", "Module"]
    );
    let config = PolicyConfig {
        policy: Policy::Paper,
        threshold: Some(0.5),
        max_attempts: Some(2),
        probes: Some(true),
        hedging: Some(false),
    };
    let written =
        json!({"policy": "paper", "threshold": 0.5, "attempts": 2, "probes": true, "second_copies": false});
    assert_eq!(serde_json::to_value(config).expect("plain data"), written);
}

#[test]
fn fault_has_the_keys_of_world_files() {
    let fault = Fault { tenant: Some(1), ..Fault::new(FaultKind::Burst, 1.0, 2.0) };
    let written = json!({"kind": "burst", "from": 1.0, "to": 2.0, "servers": [], "nodes": [], "zone": 0,
        "tenant": 1, "part": 0.5, "times": 2.0, "ms": 20.0});
    assert_eq!(serde_json::to_value(fault).expect("plain data"), written);
}

#[test]
fn world_has_the_keys_of_world_files() {
    let written = serde_json::to_value(world()).expect("plain data");
    let faults = &written["trouble"]; // wire name
    assert!(faults.is_array() && written["discovery"]["whole_every"].is_number());
    assert_eq!(
        keys(&written["clients"]["class"][0]),
        ["aim_ms", "deadline_ms", "elsewhere_ms", "name", "once", "share", "work_ms", "worth"]
    );
    assert_eq!(
        keys(&written["servers"][0]),
        [
            "cancels",
            "chokes",
            "connections",
            "cores",
            "count",
            "errors",
            "handshake_ms",
            "probe_ms",
            "queue",
            "speed"
        ]
    );
    for key in ["rate", "closed", "marks_repeats", "hang_up", "repeats", "repeat_after_ms"] {
        assert!(!written["clients"][key].is_null(), "{key}");
    }
}

#[test]
fn report_has_the_keys_of_its_json_form() {
    let report: Report = simulate(&world(), 1, &mut |_| {});
    let written = serde_json::to_value(&report).expect("plain data");
    let mut expected = [
        "world",
        "seed",
        "served",
        "seconds",
        "attempts",
        "crossed",
        "probes",
        "chokes",
        "events",
        "most_open",
        "most_connections",
        "most_descriptors",
        "most_memory_kb",
        "rules_broken",
        "series",
        "classes",
        "zones",
    ];
    expected.sort_unstable();
    assert_eq!(keys(&written), expected);
    assert_eq!(
        keys(&written["classes"][0]),
        [
            "asked", "failed", "in_time", "late", "left", "mean_ms", "name", "p50_ms", "p99_ms", "refused",
            "times"
        ]
    );
}

#[test]
fn invariants_have_the_names_of_reports() {
    let invariants =
        [Invariant::Answer, Invariant::Repeat, Invariant::Drain, Invariant::Cold, Invariant::Bounds];
    assert_eq!(invariants.map(name), ["Answer", "Repeat", "Drain", "Cold", "Bounds"]);
    assert_eq!(format!("{:?}", Invariant::Answer), "Answer", "messages on standard error use the same names");
}
