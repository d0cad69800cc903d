//! Route lookup by host and longest prefix, configuration changes, and splits by weight.

use std::collections::BTreeMap;

use googletest::prelude::*;
use ivyhatch_protocol::configuration::{Change, Item, Route};
use ivyhatch_routing::route_table::{PreparedChange, RouteTable, select_service};
use serde_json::{Value, json};

fn route(name: &str, host: &str, prefix: &str) -> Value {
    json!({"name": name, "host": host, "path_prefix": prefix, "route_kind": "safe", "timeout_ms": 1000, "service": "s"})
}

fn item(value: &Value) -> Item {
    Item { name: value["name"].as_str().expect("a name").to_owned(), json: value.to_string() }
}

/// A change of a single section.
fn change(section: &str, upsert: &[Value], remove: &[&str]) -> Change {
    let remove = remove.iter().map(|name| (*name).to_owned()).collect();
    Change {
        upsert: BTreeMap::from([(section.to_owned(), upsert.iter().map(item).collect())]),
        remove: BTreeMap::from([(section.to_owned(), remove)]),
        ..Change::default()
    }
}

fn table(routes: &[Value]) -> RouteTable {
    let mut table = RouteTable::default();
    assert!(table.apply(&change("routes", routes, &[])).is_empty(), "all routes can be parsed");
    table
}

fn found(table: &RouteTable, host: &str, path: &str) -> Option<String> {
    table.find(host, path).map(|route| route.name.clone())
}

fn named(name: &str) -> Option<String> {
    Some(name.to_owned())
}

#[gtest]
fn longest_prefix_at_a_slash_of_the_path_is_found() {
    let table = table(&[route("a", "h", "/a/"), route("ab", "h", "/a/b/"), route("c", "h", "/c/d/")]);
    expect_that!(found(&table, "h", "/a/"), eq(&named("a")));
    expect_that!(found(&table, "h", "/a/x"), eq(&named("a")));
    expect_that!(found(&table, "h", "/a/b"), eq(&named("a")), "the longer prefix ends with a slash");
    expect_that!(found(&table, "h", "/a/bc/d"), eq(&named("a")), "a prefix ends at a slash");
    expect_that!(found(&table, "h", "/a/b/"), eq(&named("ab")));
    expect_that!(found(&table, "h", "/a/b/c/d"), eq(&named("ab")));
    for path in ["", "/", "/a", "/A/x", "/c/x", "//a/x", "a/x", "/x/a/b/c"] {
        expect_that!(found(&table, "h", path), none(), "{path}");
    }
    let all = self::table(&[route("all", "h", "/"), route("a", "h", "/a/")]);
    expect_that!(found(&all, "h", "/"), eq(&named("all")));
    expect_that!(found(&all, "h", "/x/y"), eq(&named("all")));
    expect_that!(found(&all, "h", "/a/x"), eq(&named("a")));
}

#[gtest]
fn host_is_found_with_any_port_and_in_any_case() {
    let table = table(&[route("a", "One.Example", "/a/"), route("b", "two.example", "/a/")]);
    for host in
        ["one.example", "One.Example", "ONE.EXAMPLE", "one.example:80", "ONE.example:8161", "one.example:"]
    {
        expect_that!(found(&table, host, "/a/x"), eq(&named("a")), "{host}");
    }
    expect_that!(found(&table, "two.example:1", "/a/x"), eq(&named("b")));
    for host in ["", ":80", "three.example", "one.example:x", "one.example.", "xone.example", "example"] {
        expect_that!(found(&table, host, "/a/x"), none(), "{host}");
    }
}

#[gtest]
fn routes_can_swap_prefixes_in_one_change() {
    let mut table = table(&[route("a", "h", "/a/"), route("b", "h", "/b/"), route("c", "h", "/c/")]);
    let swap = [route("a", "h", "/b/"), route("b", "h", "/a/")];
    expect_that!(table.apply(&change("routes", &swap, &[])), is_empty());
    expect_that!(found(&table, "h", "/a/x"), eq(&named("b")));
    expect_that!(found(&table, "h", "/b/x"), eq(&named("a")));
    expect_that!(found(&table, "h", "/c/x"), eq(&named("c")));
    // A cyclic swap, and a move to another host.
    let ring = [route("a", "h", "/c/"), route("b", "g", "/a/"), route("c", "h", "/a/")];
    expect_that!(table.apply(&change("routes", &ring, &[])), is_empty());
    expect_that!(found(&table, "h", "/a/x"), eq(&named("c")));
    expect_that!(found(&table, "h", "/b/x"), none());
    expect_that!(found(&table, "h", "/c/x"), eq(&named("a")));
    expect_that!(found(&table, "g", "/a/x"), eq(&named("b")));
    expect_that!(table.routes().count(), eq(3));
}

#[gtest]
fn removed_route_is_not_found_and_its_prefix_can_be_reused() {
    let mut table = table(&[route("a", "h", "/a/"), route("ab", "h", "/a/b/")]);
    table.apply(&change("routes", &[], &["ab", "not-there"]));
    expect_that!(
        found(&table, "h", "/a/b/x"),
        eq(&named("a")),
        "the route with the shorter prefix takes over"
    );
    table.apply(&change("routes", &[route("new", "h", "/a/")], &["a"]));
    expect_that!(found(&table, "h", "/a/b/x"), eq(&named("new")));
    table.apply(&change("routes", &[], &["new"]));
    expect_that!(found(&table, "h", "/a/b/x"), none());
    expect_that!(table.routes().count(), eq(0));
}

#[gtest]
fn name_removed_and_added_in_one_change_is_found() {
    let mut table = table(&[route("a", "h", "/a/")]);
    table.apply(&change("routes", &[route("a", "h", "/b/")], &["a"]));
    expect_that!(found(&table, "h", "/a/x"), none());
    expect_that!(found(&table, "h", "/b/x"), eq(&named("a")));
}

#[gtest]
fn unreadable_item_is_reported_and_stays_as_it_was() {
    let mut table = table(&[route("a", "h", "/a/"), route("b", "h", "/b/")]);
    let mut invalid = route("a", "h", "/x/");
    invalid["route_kind"] = json!("odd");
    let unreadable = table.apply(&change("routes", &[invalid, route("b", "h", "/y/")], &[]));
    let messages: Vec<String> = unreadable.iter().map(ToString::to_string).collect();
    expect_that!(messages, elements_are![all![contains_substring("routes"), contains_substring("\"a\"")]]);
    expect_that!(found(&table, "h", "/a/x"), eq(&named("a")));
    expect_that!(found(&table, "h", "/x/x"), none());
    expect_that!(found(&table, "h", "/y/x"), eq(&named("b")), "the other items of the change are applied");

    table.apply(&change("services", &[json!({"name": "s", "max_conns": 5})], &[]));
    let unreadable = table.apply(&change("services", &[json!({"name": "s", "max_conns": "many"})], &[]));
    expect_that!(unreadable, len(eq(1)));
    expect_that!(table.service("s").map(|service| service.max_connections), some(eq(5.0)));
    table.apply(&change("services", &[], &["s"]));
    expect_that!(table.services().count(), eq(0));
}

#[gtest]
fn limits_change_and_fall_back_to_the_defaults() {
    let mut table = RouteTable::default();
    let defaults = table.limits();
    let limits = |text: Option<&str>| Change {
        other_fields: BTreeMap::from([("limits".to_owned(), text.map(str::to_owned))]),
        ..Change::default()
    };
    table.apply(&limits(Some(r#"{"max_body_bytes":9}"#)));
    expect_that!(table.limits().max_body_bytes, eq(9.0));
    expect_that!(table.limits().max_header_bytes, eq(defaults.max_header_bytes));
    expect_that!(table.apply(&limits(Some("[]x"))), len(eq(1)));
    expect_that!(table.limits().max_body_bytes, eq(9.0), "the previous limits stay in force");
    table.apply(&limits(None));
    expect_that!(table.limits(), eq(defaults));
}

fn split(weights: &[(&str, f64)]) -> Route {
    let parts: Vec<Value> =
        weights.iter().map(|(service, weight)| json!({"service": service, "weight": weight})).collect();
    let mut value = route("r", "h", "/");
    value["service"] = Value::Null;
    value["split"] = Value::from(parts);
    serde_json::from_value(value).expect("a valid route")
}

#[gtest]
fn split_follows_the_weights_and_weight_0_gets_no_requests() {
    const DRAWS: u32 = 10_000;
    let route = split(&[("none", 0.0), ("most", 90.0), ("nil", 0.0), ("few", 10.0), ("last", 0.0)]);
    let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
    for draw in 0..DRAWS {
        let service = select_service(&route, f64::from(draw) / f64::from(DRAWS)).expect("a service");
        *counts.entry(service).or_default() += 1;
    }
    expect_that!(counts.keys().copied().collect::<Vec<_>>(), elements_are![eq(&"few"), eq(&"most")]);
    expect_that!(counts["most"], all![ge(DRAWS * 899 / 1000), le(DRAWS * 901 / 1000)]);
    // Draws at the bounds of the weights, and one above 1.
    for (draw, service) in [(0.0, "most"), (0.899_999, "most"), (0.9, "few"), (1.0, "few"), (1.1, "few")] {
        expect_that!(select_service(&route, draw), some(eq(service)), "{draw}");
    }
    expect_that!(select_service(&split(&[("a", 0.0)]), 0.5), none());
}

#[gtest]
fn route_without_a_split_selects_its_service() {
    let route: Route = serde_json::from_value(route("r", "h", "/")).expect("a valid route");
    for draw in [0.0, 0.5, 1.0] {
        expect_that!(select_service(&route, draw), some(eq("s")));
    }
}

#[gtest]
fn large_change_is_parsed_in_steps_and_applied_at_once() {
    let mut table = table(&[route("old", "h", "/old/"), route("r1", "h", "/elsewhere/")]);
    let many: Vec<Value> = (0..1000).map(|at| route(&format!("r{at}"), "h", &format!("/p{at}/"))).collect();
    let mut change = PreparedChange::new(self::change("routes", &many, &["old"]));
    let calls = (1..).find(|_| change.parse_items(30)).expect("all items are parsed at some call");
    expect_that!(calls, eq(34));
    expect_that!(change.parse_items(1), eq(true), "no item is left");
    expect_that!(found(&table, "h", "/old/x"), eq(&named("old")), "the change is not yet committed");
    expect_that!(table.commit(change), is_empty());
    expect_that!(table.routes().count(), eq(1000));
    expect_that!(found(&table, "h", "/old/x"), none());
    expect_that!(found(&table, "h", "/elsewhere/x"), none());
    expect_that!(found(&table, "h", "/p1/x"), eq(&named("r1")));
    expect_that!(found(&table, "h", "/p999/x"), eq(&named("r999")));
}

#[gtest]
fn change_committed_before_it_is_parsed_is_applied_completely() {
    let many: Vec<Value> = (0..10).map(|at| route(&format!("r{at}"), "h", &format!("/p{at}/"))).collect();
    for parsed_items in [0, 1, 9, 10] {
        let mut change = PreparedChange::new(self::change("routes", &many, &[]));
        change.parse_items(parsed_items);
        let mut table = RouteTable::default();
        expect_that!(table.commit(change), is_empty());
        expect_that!(table.routes().count(), eq(10), "{parsed_items} items parsed before");
    }
}
