//! The operator's configuration: validation, changes by item, round trips.

use googletest::prelude::*;
use ivyhatch_protocol::configuration::{Change, ConfigurationError, Document};

const WHOLE: &str = r#"{"revision":7,"routes":[
    {"name":"a","host":"h.example","path_prefix":"/a/","route_kind":"streaming","timeout_ms":12000.0,"target_ms":800,
     "priority":0,"split":[{"service":"s","weight":90},{"service":"t","weight":10}],"max_tries":2,"sticky":true,
     "resumable":true,"gap_aim_ms":300,"home_regions":[],"unknown":{"kept":true}},
    {"name":"b","host":"h.example","path_prefix":"/a/b/","route_kind":"safe","timeout_ms":3000,"service":"s"}],
  "services":[{"name":"s","health_path":"/healthz","max_conns":640,"cold_s":3.0,"cold_per_s":29.0},{"name":"t"}],
  "tenants":[{"name":"x","quota":3}],
  "limits":{"max_header_bytes":16384}}"#;

fn whole() -> Document {
    Document::parse(WHOLE.as_bytes()).expect("a valid configuration")
}

/// Validates the configuration with one text replaced by another; the current revision is 5.
fn checked_with(from: &str, to: &str) -> std::result::Result<(), ConfigurationError> {
    assert!(WHOLE.contains(from), "the configuration does not contain {from}");
    Document::parse(WHOLE.replace(from, to).as_bytes())?.validate(5).map(drop)
}

#[gtest]
fn valid_configuration_is_accepted_and_returned_with_all_its_fields() {
    let view = whole().validate(5).expect("configuration is valid");
    expect_that!(view.routes.len(), eq(2));
    expect_that!(view.routes[0].targets(), elements_are![eq(&("s", 90.0)), eq(&("t", 10.0))]);
    expect_that!(view.routes[1].targets(), elements_are![eq(&("s", 1.0))]);
    expect_that!(view.routes[1].max_attempts, eq(1));
    let sent: serde_json::Value = serde_json::from_str(WHOLE).expect("JSON");
    let back: serde_json::Value = serde_json::from_str(&whole().to_json()).expect("JSON");
    expect_that!(back, eq(&sent));
}

#[gtest]
fn invalid_configuration_is_rejected_with_the_field_at_fault() {
    use ConfigurationError as E;
    let truncated = Document::parse(&WHOLE.as_bytes()[..WHOLE.len() - 40]);
    expect_that!(truncated, err(matches_pattern!(E::Unreadable(_))));
    expect_that!(
        checked_with(r#""service":"s"}"#, r#""service":"z"}"#),
        err(matches_pattern!(E::UnknownService { .. }))
    );
    expect_that!(
        checked_with(r#""service":"t","weight":10"#, r#""service":"z","weight":0"#),
        err(matches_pattern!(E::UnknownService { .. }))
    );
    expect_that!(checked_with("/a/b/", "/a/"), err(matches_pattern!(E::DuplicateMatch { .. })));
    expect_that!(
        checked_with(
            r#"[{"service":"s","weight":90},{"service":"t","weight":10}]"#,
            r#"[{"service":"s","weight":0}]"#
        ),
        err(matches_pattern!(E::ZeroWeight { .. }))
    );
    expect_that!(
        checked_with(r#""timeout_ms":3000"#, r#""timeout_ms":0"#),
        err(matches_pattern!(E::ZeroTimeout { .. }))
    );
    expect_that!(
        checked_with(r#""revision":7"#, r#""revision":5"#),
        err(eq(&E::StaleRevision { sent: 5, current: 5 }))
    );
    expect_that!(
        checked_with(r#""name":"b""#, r#""name":"a""#),
        err(matches_pattern!(E::DuplicateName { .. }))
    );
    expect_that!(
        checked_with(r#""timeout_ms":3000,"#, ""),
        err(displays_as(contains_substring("timeout_ms")))
    );
    expect_that!(
        checked_with(r#","service":"s"}"#, "}"),
        err(displays_as(contains_substring("service is missing")))
    );
    expect_that!(
        checked_with(r#""route_kind":"safe""#, r#""route_kind":"odd""#),
        err(displays_as(contains_substring("route_kind")))
    );
}

#[gtest]
fn change_adds_replaces_and_removes_items_by_name() {
    let change = br#"{"revision":9,"upsert":{"routes":[{"name":"c","host":"h.example","path_prefix":"/c/","route_kind":"safe",
        "timeout_ms":1,"service":"s"}],"tenants":[{"name":"x","quota":4}]},"remove":{"routes":["b","not-there"]}}"#;
    let changed = whole().with_change(&Change::parse(change).expect("a valid change"));
    let view = changed.validate(7).expect("configuration is valid");
    let names: Vec<&str> = view.routes.iter().map(|route| route.name.as_str()).collect();
    expect_that!(names, elements_are![eq(&"a"), eq(&"c")]);
    expect_that!(changed.to_json(), contains_substring(r#""quota":4"#));
    expect_that!(
        Change::parse(br#"{"revision":9,"upsert":{"routes":[{"host":"#),
        err(matches_pattern!(ConfigurationError::Unreadable(_)))
    );
    let missing = Change::parse(br#"{"revision":9,"remove":{"services":["s"]}}"#).expect("readable");
    expect_that!(
        whole().with_change(&missing).validate(7),
        err(matches_pattern!(ConfigurationError::UnknownService { .. }))
    );
}

#[gtest]
fn diff_applied_to_its_base_gives_the_other_document() {
    let other = Document::parse(
        WHOLE
            .replace(r#""revision":7"#, r#""revision":8"#)
            .replace("/a/b/", "/b/")
            .replace(r#""tenants":[{"name":"x","quota":3}],"#, "")
            .replace("16384", "1")
            .as_bytes(),
    )
    .expect("configuration is valid");
    for (one, two) in [(whole(), other.clone()), (other, whole()), (Document::default(), whole())] {
        let mut changed = one.with_change(&one.diff(&two));
        changed.sections.retain(|_, items| !items.is_empty());
        expect_that!(changed, eq(&two));
    }
}

#[gtest]
fn nesting_limit_ignores_siblings_and_brackets_in_strings() {
    let with = |field: &str| {
        let text = WHOLE.replacen('{', &format!("{{\"unknown\":{field},"), 1);
        Document::parse(text.as_bytes()).and_then(|document| document.validate(5)).map(drop)
    };
    let nested = |depth: usize| format!("{}{}", "[".repeat(depth), "]".repeat(depth));
    expect_that!(with(&nested(126)), ok(anything()));
    expect_that!(with(&nested(127)), err(matches_pattern!(ConfigurationError::Unreadable(_))));
    // Siblings, and brackets in a string after an escaped quote.
    expect_that!(with(&format!("[{}]", vec!["[{}]"; 500].join(","))), ok(anything()));
    expect_that!(with(&format!("\"{}\\\"{}\"", "[".repeat(300), "{".repeat(300))), ok(anything()));
}
