//! Guards the field names, default values and error texts of the settings object against changes: `golden/` has
//! a file with every field, and one with the required fields only.

use ivyhatch_balancer::{Discovery, Idempotency, IdempotencyScope, LoadReporting, Weights, ZoneId};
use ivyhatch_node_settings::{NodeSettings, parse};
use serde_json::{Value, json};

const EVERY_FIELD: &str = include_str!("golden/every-field.json");
const REQUIRED_FIELDS: &str = include_str!("golden/required-fields.json");

fn json_of(text: &str) -> Value {
    serde_json::from_str(text).expect("the golden file is valid JSON")
}

fn node_settings(text: &str) -> NodeSettings {
    parse(&json_of(text)).expect("the settings are valid")
}

/// The error text for the file with every field, with the value at `pointer` replaced by `value`.
fn error_with(pointer: &str, value: Value) -> String {
    let mut settings = json_of(EVERY_FIELD);
    *settings.pointer_mut(pointer).expect("the golden file has the field") = value;
    parse(&settings).err().expect("the settings are rejected").to_string()
}

#[test]
fn classes_and_tenants_of_a_file_with_every_field_are_read() {
    let node = node_settings(EVERY_FIELD);
    let keyed = |key_scope: IdempotencyScope, window: u64| Idempotency::Keyed { scope: key_scope, window };
    let idempotencies = [
        Idempotency::Idempotent,
        Idempotency::NonIdempotent,
        keyed(IdempotencyScope::All, 6_000_000_000),
        keyed(IdempotencyScope::Zone, 7_000_000_000),
        keyed(IdempotencyScope::Cell, 8_000_000_000),
    ];
    let times = [(150_000_000, 900_000_000), (700_000_000, 3_000_000_000), (1, 2), (3, 4), (5, 6)];
    let worths = [(2.5, 0.5), (1.0, 0.0), (1.0, 0.0), (1.0, 0.0), (1.0, 0.0)];
    let classes = &node.balancer.classes;
    assert_eq!(classes.iter().map(|class| class.idempotency).collect::<Vec<_>>(), idempotencies);
    assert_eq!(classes.iter().map(|class| (class.latency_target, class.deadline)).collect::<Vec<_>>(), times);
    assert_eq!(classes.iter().map(|class| (class.value, class.late_value_share)).collect::<Vec<_>>(), worths);
    for class in classes {
        assert_eq!(class.max_attempts, None);
        assert_eq!(class.max_queue_time, None);
        assert!(!class.retry_past_target);
    }
    assert_eq!(node.balancer.tenant_quotas, [40.5, 12.0]);
}

#[test]
fn other_settings_of_a_file_with_every_field_are_read() {
    let settings = node_settings(EVERY_FIELD).balancer;
    assert_eq!(settings.home, ZoneId(1));
    assert_eq!(settings.zones, 3);
    assert_eq!(settings.nodes, 5);
    assert_eq!(settings.over_quota_value, 0.25);
    assert_eq!(settings.discovery, Discovery::OnRequest);
    assert_eq!(settings.weights, Weights::Live);
    assert_eq!(settings.reports, LoadReporting::Pull);
    assert_eq!(settings.probe_cost, 0.125);
    assert_eq!(settings.worst_class_weight, 0.375);
    assert!(settings.clients_mark_retries);
    assert!(settings.value_per_work);
    assert_eq!(settings.quantum, 2_500_000);
}

#[test]
fn limits_and_rules_of_a_file_with_every_field_are_read() {
    let node = node_settings(EVERY_FIELD);
    let limits = &node.balancer.limits;
    assert_eq!(limits.max_attempts, 4);
    assert!(limits.hedging);
    assert!(limits.probes);
    assert!(limits.cancellation);
    assert_eq!(limits.max_retry_after, 1_250_000_000);
    let rules = &node.balancer.rules;
    assert_eq!(rules.answer_grace, 31_000_000);
    assert_eq!(rules.max_poll_interval, 9_500_000_000);
    assert_eq!(rules.drain_grace, 620_000_000);
    assert_eq!(rules.initial_capacity, 0.2);
    assert_eq!(rules.warm_up_time, 17_000_000_000);
    assert_eq!(rules.overload_multiple, 1.75);
    assert_eq!(rules.overload_window, 1_900_000_000);
    assert_eq!(node.connections.idle_timeout, 21_000_000_000);
    assert_eq!(node.connections.connect_timeout, 350_000_000);
}

#[test]
fn names_of_a_file_with_every_field_have_their_numbers() {
    let mut names = node_settings(EVERY_FIELD).names;
    let classes = ["lookup", "order", "sync", "sync-zone", "sync-cell", "unknown"];
    let numbers = [Some(0), Some(1), Some(2), Some(3), Some(4), None];
    assert_eq!(classes.map(|name| names.class(name)), numbers);
    assert_eq!(["cell-a", "cell-b", "cell-c", "new"].map(|name| names.zone(name)), [0, 1, 2, 3].map(ZoneId));
    assert_eq!(names.zone_name(ZoneId(2)), Some("cell-c"));
    assert_eq!(["small", "large", "new"].map(|name| names.kind(name)), [0, 1, 2]);
    assert_eq!(
        [Some("red"), Some("blue"), Some("green"), None].map(|name| names.tenant(name)),
        [Some(0), Some(1), None, None]
    );
}

#[test]
fn fields_that_a_file_lacks_have_their_default_values() {
    let node = node_settings(REQUIRED_FIELDS);
    let settings = &node.balancer;
    assert_eq!((settings.home, settings.zones, settings.nodes), (ZoneId(0), 1, 1));
    assert_eq!((settings.classes[0].value, settings.classes[0].late_value_share), (1.0, 0.0));
    assert!(settings.tenant_quotas.is_empty());
    assert_eq!(settings.over_quota_value, 1.0);
    assert_eq!(settings.discovery, Discovery::Pushed);
    assert_eq!(settings.weights, Weights::Size);
    assert_eq!(settings.reports, LoadReporting::Disabled);
    assert_eq!(settings.probe_cost, 0.0);
    assert_eq!(settings.worst_class_weight, 0.0);
    assert!(!settings.clients_mark_retries);
    assert!(!settings.value_per_work);
    assert_eq!(settings.quantum, 1_000_000);
    let limits = &settings.limits;
    assert_eq!((limits.max_attempts, limits.max_retry_after), (2, 0));
    assert!(!limits.hedging && !limits.probes && !limits.cancellation);
    assert_eq!(settings.rules.max_poll_interval, u64::MAX);
    assert_eq!(
        (node.connections.idle_timeout, node.connections.connect_timeout),
        (15_000_000_000, 250_000_000)
    );
}

#[test]
fn named_values_are_parsed_as_before() {
    let with = |pointer: &str, value: &str| {
        let mut settings = json_of(EVERY_FIELD);
        *settings.pointer_mut(pointer).expect("the golden file has the field") = value.into();
        node_settings(&settings.to_string()).balancer
    };
    assert_eq!(with("/discovery", "pushed").discovery, Discovery::Pushed);
    assert_eq!(with("/weights", "size").weights, Weights::Size);
    assert_eq!(with("/report/how", "piggyback").reports, LoadReporting::Piggyback);
    assert_eq!(with("/report/how", "none").reports, LoadReporting::Disabled);
    assert!(!with("/worth-by", "request").value_per_work);
}

#[test]
fn each_limit_that_is_switched_off_switches_off_that_one() {
    let limits_without = |pointer: &str| {
        let mut settings = json_of(EVERY_FIELD);
        *settings.pointer_mut(pointer).expect("the golden file has the field") = json!(false);
        let limits = node_settings(&settings.to_string()).balancer.limits;
        [limits.hedging, limits.probes, limits.cancellation, limits.max_retry_after > 0]
    };
    assert_eq!(limits_without("/policy-limits/second-copies"), [false, true, true, true]);
    assert_eq!(limits_without("/policy-limits/probes"), [true, false, true, true]);
    assert_eq!(limits_without("/policy-limits/may-cancel"), [true, true, false, true]);
    assert_eq!(limits_without("/policy-limits/retry-after"), [true, true, true, false]);
}

#[test]
fn wrong_fields_are_refused_with_the_same_texts() {
    let wrong = |field: &str| format!("{field} is missing or of the wrong type");
    assert_eq!(error_with("/az", json!("cell-z")), wrong("settings: field az"));
    assert_eq!(error_with("/discovery", json!("guessed")), wrong("settings: field discovery"));
    assert_eq!(error_with("/n-instances", json!("five")), wrong("settings: field n-instances"));
    assert_eq!(error_with("/classes/0", json!(7)), "settings: classes: not objects");
    assert_eq!(error_with("/classes/1/effect", json!("twice")), wrong("settings: classes: field effect"));
    assert_eq!(
        error_with("/classes/2/key-scope", json!("rack")),
        wrong("settings: classes: field key-scope")
    );
    assert_eq!(error_with("/classes/3/window-ns", json!(null)), wrong("settings: classes: field window-ns"));
    assert_eq!(error_with("/projects/0", json!([])), "settings: projects: not objects");
    assert_eq!(
        error_with("/projects/1/quota-rps", json!("much")),
        wrong("settings: projects: field quota-rps")
    );
    assert_eq!(
        error_with("/policy-limits/attempts-cap", json!(1.5)),
        wrong("policy-limits: field attempts-cap")
    );
    assert_eq!(error_with("/rules/fall-ns", json!(null)), wrong("rules: field fall-ns"));
    assert_eq!(error_with("/goal", json!(null)), wrong("settings: field goal"));
    assert_eq!(error_with("/prices/probe", json!("free")), "prices: field probe is of the wrong type");
    assert_eq!(
        parse(&json!([])).err().expect("the settings are rejected").to_string(),
        "settings: not an object"
    );
}
