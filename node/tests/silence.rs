//! Discovery that says nothing more: drains are obeyed by the time that they count as told.

mod common;

use std::time::{Duration, Instant};

use common::*;
use serde_json::{Value, json};

/// What a silent call misses counts as told so long after it fell silent; after a move so long after the signal.
const TOLD: Duration = Duration::from_secs(6);
const TOLD_MOVED: Duration = Duration::from_secs(4);

fn replaced(old: &Backend, new: &Backend) -> Value {
    json!([target("s-0", old.address, "Terminating"), target("s-1", new.address, "Ready")])
}

/// The same of a site whose discovery has to be asked, or is the node's own.
fn of(kind: &str, discovery: &Discovery, known: Value) -> Value {
    let mut config = config(discovery.address, known);
    config["settings"]["discovery"] = json!(kind);
    config
}

/// An agent's watch falls silent, and a server drains right after: the node has opened another by the time that it counts.
#[test]
fn a_watch_that_falls_silent_is_opened_anew_before_it_counts() {
    let (old, new) = (serving("old"), serving("new"));
    let (node, discovery) = Node::with(&[&old]);
    assert_eq!(node.ask(&get("w0", "")).body, b"old");
    discovery.fall_silent(0);
    let silent = Instant::now();
    discovery.set(replaced(&old, &new));
    discovery.wait_for_watch_from(discovery.revision());
    assert!(silent.elapsed() + Duration::from_secs(1) < TOLD, "{:?}", silent.elapsed());
    assert_eq!(node.ask(&get("w1", "")).body, b"new");
}

/// A call for the whole list does not wait at discovery, so that its silence counts sooner than a watch's; it was waited for
/// as long as a watch.
#[test]
fn a_silent_call_for_the_whole_list_is_made_again_before_it_counts() {
    for kind in ["on_request", "pushed"] {
        let (old, new) = (serving("old"), serving("new"));
        let discovery = Discovery::new(replaced(&old, &new));
        discovery.fall_silent(1);
        let from = Instant::now();
        // No version is known, so that the whole list is asked for.
        let mut config = of(kind, &discovery, json!([]));
        config["known"] = Value::Null;
        let node = Node::start(&config);
        discovery.wait_for_watch_from(1);
        assert!(from.elapsed() + Duration::from_secs(1) < TOLD, "{kind}: {:?}", from.elapsed());
        assert_eq!(node.ask(&get("l1", "")).body, b"new", "{kind}");
    }
}

/// Discovery moves, and the first call at its new address is not answered.
#[test]
fn a_move_to_a_discovery_that_hangs_at_first_is_over_before_it_counts() {
    for kind in ["on_request", "pushed"] {
        let (old, new) = (serving("old"), serving("new"));
        let first = Discovery::new(json!([target("s-0", old.address, "Ready")]));
        let node = Node::start(&of(kind, &first, json!([])));
        first.wait_for_watch_from(1);
        let second = Discovery::new(replaced(&old, &new));
        second.fall_silent(1);
        let from = Instant::now();
        node.reconfigure(&of(kind, &second, json!([])).to_string());
        second.wait_for_watch_from(1);
        assert!(from.elapsed() < TOLD_MOVED, "{kind}: {:?}", from.elapsed());
        assert_eq!(node.ask(&get("m1", "")).body, b"new", "{kind}");
    }
}

/// A list that comes in single bytes is given up and asked for again; the last good one holds meanwhile.
#[test]
fn a_list_that_trickles_at_a_new_address_keeps_the_last_good_one() {
    let (old, new) = (serving("old"), serving("new"));
    let first = Discovery::new(json!([target("s-0", old.address, "Ready")]));
    let node = Node::start(&of("on_request", &first, json!([])));
    first.wait_for_watch_from(1);
    let second = Discovery::new(replaced(&old, &new));
    second.trickle(true);
    node.reconfigure(&of("on_request", &second, json!([])).to_string());
    wait_until("it is given up", || node.logged("no response in time"));
    assert_eq!(node.ask(&get("t0", "")).body, b"old");
    let calls = second.watch_requests.lock().unwrap().len();
    assert!((1..=3).contains(&calls), "{calls} calls in three seconds: no tight loop");
    second.trickle(false);
    second.wait_for_watch_from(1);
    assert_eq!(node.ask(&get("t1", "")).body, b"new");
}
