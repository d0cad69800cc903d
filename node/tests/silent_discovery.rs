//! Discovery becomes unresponsive: the node follows drains before they count as notified.

mod common;

use std::time::{Duration, Instant};

use common::{NodeProcess, backend_serving, config, discovery_target, get};
use ivyhatch_socket_lab::scripted::{Backend, Discovery, wait_until};
use serde_json::{Value, json};

/// Set by the discovery protocol: a change that an unresponsive call misses counts as notified this long after the call became
/// unresponsive.
const NOTIFIED_AFTER_SILENCE: Duration = Duration::from_secs(6);
/// Set by the discovery protocol: a change during a move of discovery counts as notified this long after the signal to move.
const NOTIFIED_AFTER_MOVE: Duration = Duration::from_secs(4);

fn list_with_replacement(old: &Backend, new: &Backend) -> Value {
    json!([
        discovery_target("s-0", old.address, "Terminating"),
        discovery_target("s-1", new.address, "Ready")
    ])
}

/// The configuration of a node whose discovery is a shared service that is polled (`on_request`) or a local agent (`pushed`).
fn config_of_kind(kind: &str, discovery: &Discovery, known: Value) -> Value {
    let mut config = config(discovery.address, known);
    config["settings"]["discovery"] = json!(kind);
    config
}

/// The watch at a local agent becomes unresponsive, and a server drains right after: the node must have opened another watch
/// before the drain counts as notified.
#[test]
fn silent_watch_is_renewed_before_missed_changes_count_as_notified() {
    let (old, new) = (backend_serving("old"), backend_serving("new"));
    let (node, discovery) = NodeProcess::with_backends(&[&old]);
    assert_eq!(node.round_trip(&get("w0", "")).body, b"old");
    discovery.fall_silent(0);
    let silent = Instant::now();
    discovery.set(list_with_replacement(&old, &new));
    discovery.wait_for_watch_from(discovery.revision());
    assert!(silent.elapsed() + Duration::from_secs(1) < NOTIFIED_AFTER_SILENCE, "{:?}", silent.elapsed());
    assert_eq!(node.round_trip(&get("w1", "")).body, b"new");
}

/// A call for the full list has no long poll, so changes that it misses count as notified sooner than those that a watch misses.
/// Such a call used to have the same timeout as a watch, which was too long.
#[test]
fn silent_call_for_the_full_list_is_retried_before_missed_changes_count_as_notified() {
    for kind in ["on_request", "pushed"] {
        let (old, new) = (backend_serving("old"), backend_serving("new"));
        let discovery = Discovery::new(list_with_replacement(&old, &new));
        discovery.fall_silent(1);
        let from = Instant::now();
        // Without a known list there is no revision, so the node requests the full list.
        let mut config = config_of_kind(kind, &discovery, json!([]));
        config["known"] = Value::Null;
        let node = NodeProcess::start(&config);
        discovery.wait_for_watch_from(1);
        assert!(
            from.elapsed() + Duration::from_secs(1) < NOTIFIED_AFTER_SILENCE,
            "{kind}: {:?}",
            from.elapsed()
        );
        assert_eq!(node.round_trip(&get("l1", "")).body, b"new", "{kind}");
    }
}

/// Discovery moves, and the first call at its new address gets no response.
#[test]
fn move_to_a_discovery_that_hangs_at_first_completes_before_changes_count_as_notified() {
    for kind in ["on_request", "pushed"] {
        let (old, new) = (backend_serving("old"), backend_serving("new"));
        let first = Discovery::new(json!([discovery_target("s-0", old.address, "Ready")]));
        let node = NodeProcess::start(&config_of_kind(kind, &first, json!([])));
        first.wait_for_watch_from(1);
        let second = Discovery::new(list_with_replacement(&old, &new));
        second.fall_silent(1);
        let from = Instant::now();
        node.reconfigure(&config_of_kind(kind, &second, json!([])).to_string());
        second.wait_for_watch_from(1);
        assert!(from.elapsed() < NOTIFIED_AFTER_MOVE, "{kind}: {:?}", from.elapsed());
        assert_eq!(node.round_trip(&get("m1", "")).body, b"new", "{kind}");
    }
}

/// The call for a list that arrives byte by byte times out and is made again; the last good list is used meanwhile.
#[test]
fn list_that_trickles_in_at_a_new_address_keeps_the_last_good_one() {
    let (old, new) = (backend_serving("old"), backend_serving("new"));
    let first = Discovery::new(json!([discovery_target("s-0", old.address, "Ready")]));
    let node = NodeProcess::start(&config_of_kind("on_request", &first, json!([])));
    first.wait_for_watch_from(1);
    let second = Discovery::new(list_with_replacement(&old, &new));
    second.trickle(true);
    node.reconfigure(&config_of_kind("on_request", &second, json!([])).to_string());
    wait_until("the call times out", || node.has_logged("no response in time"));
    assert_eq!(node.round_trip(&get("t0", "")).body, b"old");
    let calls = second.watch_requests.lock().unwrap().len();
    assert!((1..=3).contains(&calls), "{calls} calls in three seconds instead of 1 to 3");
    second.trickle(false);
    second.wait_for_watch_from(1);
    assert_eq!(node.round_trip(&get("t1", "")).body, b"new");
}
