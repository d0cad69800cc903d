//! The registers of the configuration: which registers a change writes, and that the configuration decoded from them is the same.

use googletest::prelude::*;
use ivyhatch_control::consensus::partition_state::{ConfigurationState, Decision, PartitionState};
use ivyhatch_protocol::ids::PartitionId;
use ivyhatch_protocol::peer::AdminRequest;
use ivyhatch_protocol::registers::{RegisterKey, RegisterMap, RegisterWrite};

/// A partition's decoded state and its registers.
struct Replica {
    state: PartitionState,
    registers: RegisterMap,
    sequence: u64,
}

impl Replica {
    fn new() -> Self {
        let state = PartitionState::empty(PartitionId::CONFIGURATION);
        Self { state, registers: RegisterMap::default(), sequence: 0 }
    }

    /// Applies a request, checks that the state decoded from the registers is the proposed one, and returns the written registers.
    fn apply(&mut self, request: &AdminRequest) -> Vec<RegisterKey> {
        let Decision::Propose { changes, next, .. } = self.state.decide(request) else {
            panic!("the request is not proposed");
        };
        self.sequence += 1;
        let keys = changes.iter().map(|(key, _)| key.clone()).collect();
        for (key, value) in changes {
            self.registers.apply(RegisterWrite { key, sequence: self.sequence, value });
        }
        let read = PartitionState::from_registers(PartitionId::CONFIGURATION, &self.registers);
        assert_eq!(read.as_ref(), Some(&next));
        self.state = next;
        keys
    }

    fn configuration(&self) -> &ConfigurationState {
        match &self.state {
            PartitionState::Configuration(configuration) => configuration,
            PartitionState::Evacuations(_) => panic!("not a configuration"),
        }
    }
}

fn route(name: &str) -> String {
    format!(
        r#"{{"name":"{name}","host":"h","path_prefix":"/{name}/","route_kind":"safe","timeout_ms":5,"service":"s"}}"#
    )
}

fn put(base: u64, routes: &[&str]) -> AdminRequest {
    let routes: Vec<String> = routes.iter().map(|name| route(name)).collect();
    let body = format!(
        r#"{{"revision":{},"services":[{{"name":"s"}}],"owner":"x","routes":[{}]}}"#,
        base + 1,
        routes.join(",")
    );
    AdminRequest::Put { base, body: body.into_bytes() }
}

fn patch(base: u64, change: &str) -> AdminRequest {
    let body = format!(r#"{{"revision":{},{change}}}"#, base + 1);
    AdminRequest::Patch { base, body: body.into_bytes() }
}

fn item(name: &str) -> RegisterKey {
    RegisterKey::Item { section: "routes".to_owned(), name: name.to_owned() }
}

#[gtest]
fn change_of_one_item_writes_its_register_and_two_more() {
    let mut replica = Replica::new();
    replica.apply(&put(0, &["a", "b", "c"]));
    let changed = route("b").replace(r#""timeout_ms":5"#, r#""timeout_ms":6"#);
    let keys = replica.apply(&patch(1, &format!(r#""upsert":{{"routes":[{changed}]}}"#)));
    expect_that!(
        keys,
        unordered_elements_are![
            eq(&RegisterKey::Revision),
            eq(&item("b")),
            eq(&RegisterKey::AppliedRequest(1))
        ]
    );
}

#[gtest]
fn items_are_added_at_the_end_and_removed_without_a_write_of_others() {
    let mut replica = Replica::new();
    replica.apply(&put(0, &["a", "b", "c"]));
    let keys = replica
        .apply(&patch(1, &format!(r#""upsert":{{"routes":[{}]}},"remove":{{"routes":["a"]}}"#, route("d"))));
    expect_that!(keys, contains(eq(&item("a"))));
    expect_that!(keys, contains(eq(&item("d"))));
    expect_that!(keys.len(), eq(4));
    let routes = &replica.configuration().document.sections["routes"];
    let names: Vec<&str> = routes.iter().map(|item| item.name.as_str()).collect();
    expect_that!(names, elements_are![eq(&"b"), eq(&"c"), eq(&"d")]);
}

#[gtest]
fn order_of_items_is_kept_when_they_are_moved() {
    let mut replica = Replica::new();
    replica.apply(&put(0, &["a", "b", "c"]));
    replica.apply(&put(1, &["c", "x", "a"]));
    replica.apply(&put(2, &["c", "a", "x", "b"]));
    let routes = &replica.configuration().document.sections["routes"];
    let names: Vec<&str> = routes.iter().map(|item| item.name.as_str()).collect();
    expect_that!(names, elements_are![eq(&"c"), eq(&"a"), eq(&"x"), eq(&"b")]);
}

#[gtest]
fn fields_and_empty_sections_are_kept() {
    let mut replica = Replica::new();
    replica.apply(&put(0, &["a"]));
    let keys = replica.apply(&patch(1, r#""remove":{"routes":["a"]},"owner":{"team":7},"note":null"#));
    expect_that!(keys, contains(eq(&RegisterKey::Field("owner".to_owned()))));
    let document = &replica.configuration().document;
    expect_that!(document.sections["routes"].len(), eq(0));
    expect_that!(document.other_fields["owner"], eq(r#"{"team":7}"#));
    expect_that!(document.other_fields["note"], eq("null"));
}

#[gtest]
fn applied_requests_are_kept_in_a_ring_of_registers() {
    let mut replica = Replica::new();
    replica.apply(&put(0, &["a"]));
    for base in 1..1200 {
        replica.apply(&patch(base, r#""upsert":{}"#));
    }
    let state = replica.configuration();
    expect_that!(state.applied_digests.len(), eq(512));
    expect_that!(state.first_applied, eq(1200 - 512));
    let slots = replica.registers.values().filter(|(key, _)| matches!(key, RegisterKey::AppliedRequest(_)));
    expect_that!(slots.count(), eq(512));
}
