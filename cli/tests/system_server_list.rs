//! Control nodes read the platform's instance list page by page, also from a platform that sends duplicate responses.

mod system_common;

use std::time::{Duration, Instant};

use googletest::prelude::*;
use serde_json::json;
use system_common::calls::{get_request, send_request};
use system_common::server::ok_response;
use system_common::{FRONT_PORT, ROUTER_HOST, TestCluster, configuration, wait_until};

/// A duplicate of the last page arrives instead of the first page of the next read. If a control node took it for the first page, the servers
/// on the missing pages would be removed.
#[test]
fn late_duplicate_of_the_last_page_is_not_taken_for_the_first() {
    let cluster = TestCluster::new();
    let servers = ["i-1", "i-2"]
        .map(|id| cluster.start_server((id, "s", "za"), |received| ok_response(received, b"here")));
    let other = cluster.start_server(("i-3", "t", "za"), |received| ok_response(received, b"here"));
    let mut configuration = configuration(1, &[("s", json!({})), ("t", json!({"service": "t"}))]);
    configuration["services"].as_array_mut().expect("services are a list").push(json!({"name": "t"}));
    let _served = cluster.start_system(&[&servers[0], &servers[1], &other], &configuration);
    let address = cluster.address(ROUTER_HOST, FRONT_PORT);
    // Three instances make two pages, so that two reads of the list take four requests.
    let wait_for_two_list_reads = |condition: &str| {
        let requests_before = cluster.platform.request_count();
        wait_until(condition, || cluster.platform.request_count() >= requests_before + 4);
    };
    wait_for_two_list_reads("the instance list is read twice");
    cluster.platform.set_repeat_responses(true);
    let deadline = Instant::now() + Duration::from_secs(3);
    let mut number = 0;
    while Instant::now() < deadline {
        number += 1;
        for name in ["s", "t"] {
            let response =
                send_request(address, &get_request(&format!("{name}{number}"), &format!("/{name}/x")));
            assert_that!(response.head.status, eq(200), "{name}: {response:?}");
        }
    }
    wait_for_two_list_reads("the instance list is read twice after the duplicates");
}
