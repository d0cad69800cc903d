//! Golden tests of configurations and patches: parsing, encoding, changes and error texts, with whole documents and
//! texts in `golden/`. They guard against unintended changes of what an operator sends and reads.

mod golden_files;

use golden_files::compare_text;
use googletest::prelude::*;
use ivyhatch_protocol::configuration::{
    Change, Configuration, ConfigurationError, Document, Engine, RequestLimits, Route, RouteKind, Service,
    Split,
};

const CONFIGURATION: &str = include_str!("golden/configuration.json");
const PATCH: &str = include_str!("golden/patch.json");
/// The revision of the configuration that the golden configuration replaces.
const CURRENT_REVISION: u64 = 40;

fn document() -> Document {
    Document::parse(CONFIGURATION.as_bytes()).expect("golden configuration can be parsed")
}

fn patch() -> Change {
    Change::parse(PATCH.as_bytes()).expect("golden patch can be parsed")
}

fn split(service: &str, weight: f64) -> Split {
    Split { service: service.to_owned(), weight }
}

/// A route with only the required fields.
fn plain_route(
    name: &str,
    host_and_prefix: (&str, &str),
    route_kind: RouteKind,
    timeout_ms: f64,
    service: &str,
) -> Route {
    Route {
        name: name.to_owned(),
        host: host_and_prefix.0.to_owned(),
        path_prefix: host_and_prefix.1.to_owned(),
        route_kind,
        timeout_ms,
        latency_target_ms: 0.0,
        priority: 0,
        service: Some(service.to_owned()),
        split: Vec::new(),
        max_attempts: 1,
        sticky: false,
        resumable: false,
        event_gap_target_ms: 0.0,
        home_regions: Vec::new(),
    }
}

fn chat_route() -> Route {
    Route {
        latency_target_ms: 700.0,
        priority: 1,
        service: None,
        split: vec![split("chat-large", 3.0), split("chat-small", 0.5)],
        max_attempts: 3,
        sticky: true,
        resumable: true,
        event_gap_target_ms: 250.0,
        home_regions: vec!["lima".to_owned(), "santiago".to_owned()],
        ..plain_route("chat", ("Chat.Example", "/v1/chat/"), RouteKind::Streaming, 45_000.5, "")
    }
}

fn services() -> Vec<Service> {
    let large = Service {
        name: "chat-large".to_owned(),
        health_path: "/alive".to_owned(),
        max_connections: 480.0,
        warm_up_s: 4.5,
        warm_up_rate_per_s: 11.0,
        engine: Some(Engine { slots: 24.0, cache_tokens: 98_000.0 }),
    };
    let small = Service {
        name: "chat-small".to_owned(),
        health_path: String::new(),
        max_connections: 1000.0,
        warm_up_s: 0.0,
        warm_up_rate_per_s: 0.0,
        engine: None,
    };
    vec![large, small]
}

fn configuration() -> Configuration {
    let routes = vec![
        chat_route(),
        plain_route("embed", ("chat.example", "/v1/embed/"), RouteKind::Safe, 900.0, "chat-small"),
        plain_route("order", ("shop.example", "/"), RouteKind::Unsafe, 1200.0, "chat-large"),
    ];
    let limits = RequestLimits {
        max_header_bytes: 9000.0,
        max_body_bytes: 70_000.0,
        header_timeout_ms: 2100.0,
        idle_timeout_ms: 8200.0,
    };
    Configuration { revision: 41, routes, services: services(), limits }
}

/// Parses and validates the golden configuration after `from` is replaced by `to`.
fn checked_with(from: &str, to: &str) -> std::result::Result<Configuration, ConfigurationError> {
    assert!(CONFIGURATION.contains(from), "the golden configuration does not contain {from}");
    Document::parse(CONFIGURATION.replacen(from, to, 1).as_bytes())?.validate(CURRENT_REVISION)
}

fn error_with(from: &str, to: &str) -> String {
    checked_with(from, to).expect_err("configuration is rejected").to_string()
}

fn patch_error(text: &str) -> String {
    Change::parse(text.as_bytes()).expect_err("patch is rejected").to_string()
}

fn compare_errors(file: &str, errors: &[(&str, String)]) {
    let text: String = errors.iter().map(|(name, text)| format!("{name}: {text}\n")).collect();
    compare_text(file, &text);
}

#[gtest]
fn golden_configuration_is_read_with_all_of_its_fields() {
    expect_that!(document().validate(CURRENT_REVISION), ok(eq(&configuration())));
    let kinds = [RouteKind::Safe, RouteKind::Unsafe, RouteKind::Streaming].map(|kind| kind.to_string());
    expect_that!(kinds.join(" ").as_str(), eq("safe unsafe streaming"));
}

#[gtest]
fn missing_fields_have_their_default_values() {
    let document = Document::parse(br#"{"revision":1}"#).expect("configuration can be parsed");
    let limits = RequestLimits {
        max_header_bytes: 16_384.0,
        max_body_bytes: 4_194_304.0,
        header_timeout_ms: 3000.0,
        idle_timeout_ms: 15_000.0,
    };
    let expected = Configuration { revision: 1, routes: Vec::new(), services: Vec::new(), limits };
    expect_that!(document.validate(0), ok(eq(&expected)));
}

#[gtest]
fn each_flag_of_a_route_is_read_from_its_own_field() {
    let flags_with = |from: &str, to: &str| {
        let route = checked_with(from, to).expect("configuration is valid").routes.swap_remove(0);
        (route.sticky, route.resumable)
    };
    expect_that!(flags_with("\"sticky\": true", "\"sticky\": false"), eq((false, true)));
    expect_that!(flags_with("\"resumable\": true", "\"resumable\": false"), eq((true, false)));
}

#[gtest]
fn golden_configuration_is_encoded_as_the_golden_text() {
    let document = document();
    compare_text("configuration-text.json", &document.to_json());
    let sections: Vec<&str> = document.sections.keys().map(String::as_str).collect();
    expect_that!(sections.join(" ").as_str(), eq("routes services tenants"));
    let rest: Vec<&str> = document.other_fields.keys().map(String::as_str).collect();
    expect_that!(rest.join(" ").as_str(), eq("limits owner"));
}

#[gtest]
fn golden_patch_is_applied_to_the_golden_text() {
    let patched = document().with_change(&patch());
    expect_that!(patched.validate(41), ok(anything()));
    compare_text("patched-text.json", &patched.to_json());
}

#[gtest]
fn change_between_the_golden_documents_leads_from_one_to_the_other() {
    let patched = document().with_change(&patch());
    expect_that!(document().with_change(&document().diff(&patched)), eq(&patched));
    let back = patched.with_change(&patched.diff(&document()));
    compare_text("reverted-text.json", &back.to_json());
}

#[gtest]
fn unreadable_configurations_are_rejected_with_the_golden_texts() {
    let errors = [
        ("not_json", error_with("\"revision\": 41,", "\"revision\" 41,")),
        ("not_an_object", Document::parse(b"[]").expect_err("rejected").to_string()),
        ("cut_short", Document::parse(b"{\"revision\":41,\"routes\":[").expect_err("rejected").to_string()),
        ("revision_missing", error_with("\"revision\": 41,", "")),
        ("revision_not_whole", error_with("\"revision\": 41,", "\"revision\": 41.5,")),
        ("revision_text", error_with("\"revision\": 41,", "\"revision\": \"41\",")),
        ("item_twice", error_with("\"name\": \"order\"", "\"name\": \"embed\"")),
        ("route_field_missing", error_with("\"route_kind\": \"safe\", ", "")),
        ("route_kind_unknown", error_with("\"route_kind\": \"safe\"", "\"route_kind\": \"careful\"")),
        ("route_number_is_text", error_with("\"timeout_ms\": 900", "\"timeout_ms\": \"long\"")),
        ("service_flag_is_number", error_with("\"sticky\": true", "\"sticky\": 1")),
        ("engine_field_missing", error_with("{\"slots\": 24, ", "{")),
        ("limit_is_text", error_with("\"max_body_bytes\": 70000", "\"max_body_bytes\": \"many\"")),
        ("nested_too_deep", error_with("\"platform\"", &format!("{}{}", "[".repeat(127), "]".repeat(127)))),
    ];
    compare_errors("configuration-unreadable.txt", &errors);
}

#[gtest]
fn invalid_configurations_are_rejected_with_the_golden_texts() {
    let weights =
        "[{\"service\": \"chat-large\", \"weight\": 3}, {\"service\": \"chat-small\", \"weight\": 0.5}]";
    let order = "\"host\": \"shop.example\", \"path_prefix\": \"/\"";
    let errors = [
        ("revision_not_above", error_with("\"revision\": 41,", "\"revision\": 40,")),
        ("service_unknown", error_with("\"service\": \"chat-small\"},\n", "\"service\": \"chat-none\"},\n")),
        ("split_service_unknown", error_with("{\"service\": \"chat-small\"", "{\"service\": \"chat-none\"")),
        (
            "service_missing",
            error_with("\"timeout_ms\": 1200,\n     \"service\": \"chat-large\"", "\"timeout_ms\": 1200"),
        ),
        ("no_weight", error_with(weights, "[{\"service\": \"chat-large\", \"weight\": 0}]")),
        ("negative_weight", error_with("\"weight\": 0.5", "\"weight\": -0.5")),
        ("no_timeout", error_with("\"timeout_ms\": 1200", "\"timeout_ms\": 0")),
        ("same_place", error_with(order, "\"host\": \"CHAT.example\", \"path_prefix\": \"/v1/embed/\"")),
    ];
    compare_errors("configuration-invalid.txt", &errors);
}

#[gtest]
fn unreadable_patches_are_rejected_with_the_golden_texts() {
    let errors = [
        ("cut_short", patch_error(r#"{"revision":42,"upsert":{"routes":[{"name":"#)),
        ("revision_missing", patch_error(r#"{"upsert":{}}"#)),
        ("upsert_not_an_object", patch_error(r#"{"revision":42,"upsert":[]}"#)),
        ("upsert_without_name", patch_error(r#"{"revision":42,"upsert":{"routes":[{"host":"a"}]}}"#)),
        ("upsert_twice", patch_error(r#"{"revision":42,"upsert":{"routes":[{"name":"a"},{"name":"a"}]}}"#)),
        ("remove_not_lists", patch_error(r#"{"revision":42,"remove":{"routes":"embed"}}"#)),
    ];
    compare_errors("patch-unreadable.txt", &errors);
}
