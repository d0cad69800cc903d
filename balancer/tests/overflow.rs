//! Overflow between zones: requests stay home under the threshold, overflow to the best other zone, and stay
//! home if no zone qualifies.

mod common;
use common::{Node, SECOND, first_sent_to, member, settings, utilisation};
use ivyhatch_balancer::{BackendId, Idempotency, ListScope, Member, ZoneId};

fn zones() -> Vec<Member> {
    (0..6).map(|backend| member(backend, backend / 2)).collect()
}

fn zone(backend: BackendId) -> u32 {
    backend.0 / 2
}

/// A node that has reports of these utilisations from every zone; remote zones report while home is not
/// listed.
fn node_with_utilisations(utilisations: [f64; 3]) -> Node {
    let mut node = Node::new(settings(Idempotency::Idempotent), zones());
    for remote in [1, 2, 0] {
        let members = zones().into_iter().filter(|member| member.zone == ZoneId(remote));
        let only_remote: Vec<Member> = members.collect();
        node.list(ListScope::Full, only_remote.clone());
        node.list(ListScope::Full, only_remote);
        node.serve(10, |to| utilisation(utilisations[zone(to) as usize]));
    }
    node
}

#[test]
fn home_zone_under_threshold_serves_all_requests() {
    let mut node = Node::new(settings(Idempotency::Idempotent), zones());
    let used = node.serve(50, |_| utilisation(0.5));
    // The utilisation is raised by the first sends until the first reports have been received.
    assert!(used[25..].iter().all(|&to| zone(to) == 0), "requests left the home zone: {used:?}");
}

#[test]
fn first_overflow_goes_to_a_zone_without_reports() {
    let mut node = Node::new(settings(Idempotency::Idempotent), zones());
    let used = node.serve(50, |to| utilisation(if zone(to) == 0 { 0.95 } else { 0.3 }));
    assert!(used.iter().any(|&to| zone(to) != 0));
}

#[test]
fn overflow_goes_to_the_zone_of_most_headroom() {
    let mut node = Node::new(settings(Idempotency::Idempotent), zones());
    let load = [0.95, 0.7, 0.2];
    let used = node.serve(200, |to| utilisation(load[zone(to) as usize]));
    let after_start = &used[50..];
    let count = |z| after_start.iter().filter(|&&to| zone(to) == z).count();
    assert!(count(2) > 3 * count(1).max(1), "{} requests to zone 1, {} to zone 2", count(1), count(2));
}

#[test]
fn home_serves_when_all_zones_are_over_the_threshold() {
    let mut node = Node::new(settings(Idempotency::Idempotent), zones());
    let used = node.serve(200, |_| utilisation(0.95));
    let home = used[50..].iter().filter(|&&to| zone(to) == 0).count();
    assert!(home > 100, "{home} of 150 requests stayed home");
}

#[test]
fn request_overflows_when_home_has_no_usable_backend() {
    let mut node = node_with_utilisations([0.1, 0.2, 0.3]);
    node.list(ListScope::Full, zones().into_iter().filter(|m| m.zone != ZoneId(0)).collect());
    assert!(first_sent_to(&node.arrive(SECOND).1).is_some_and(|to| zone(to) != 0));
}

#[test]
fn sends_since_the_last_report_raise_utilisation() {
    let mut node = node_with_utilisations([0.6, 0.1, 0.1]);
    node.list(ListScope::Full, zones());
    node.serve(20, |to| utilisation(if zone(to) == 0 { 0.6 } else { 0.1 }));
    let used: Vec<u32> = (0..12).filter_map(|_| first_sent_to(&node.arrive(SECOND).1)).map(zone).collect();
    assert_eq!(used[0], 0);
    assert!(used.iter().any(|&z| z != 0), "all requests of a burst stayed home by an old report: {used:?}");
}

#[test]
fn impossible_utilisation_reports_are_ignored() {
    for figure in [f64::NAN, f64::INFINITY, -1.0] {
        let mut node = Node::new(settings(Idempotency::Idempotent), zones());
        let used = node.serve(30, |_| utilisation(figure));
        assert!(used.len() >= 30, "reported {figure}: {} requests served", used.len());
    }
}
