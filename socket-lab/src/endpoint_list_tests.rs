//! Tests of the list of servers: revisions, changes, servers without a process, and staleness faults.

use ivyhatch_lab::ServerState;

use crate::endpoint_list::{Endpoint, EndpointList};

fn servers(endpoints: &[Endpoint]) -> Vec<usize> {
    endpoints.iter().map(|endpoint| endpoint.server).collect()
}

#[test]
fn update_gives_the_next_revision_and_is_a_change_since_the_one_before() {
    let mut list = EndpointList::new(3);
    let before = list.revision();
    let after = list.update(1, ServerState::Draining, None);
    assert_eq!((after, list.revision()), (before + 1, after));
    assert_eq!(servers(&list.changes_since(before)), [1]);
    assert_eq!(servers(&list.changes_since(after)), [0; 0]);
}

#[test]
fn server_that_is_gone_is_a_change_and_not_on_the_full_list() {
    let mut list = EndpointList::new(3);
    let before = list.revision();
    list.update(2, ServerState::Gone, None);
    assert_eq!(servers(&list.full()), [0, 1]);
    assert_eq!(servers(&list.changes_since(before)), [2]);
}

#[test]
fn stale_list_stays_as_it_was_until_the_last_fault_ends_while_changes_go_on() {
    let mut list = EndpointList::new(2);
    let before = list.revision();
    list.freeze();
    list.freeze();
    list.update(0, ServerState::Gone, None);
    assert_eq!(servers(&list.full()), [0, 1]);
    assert_eq!(servers(&list.changes_since(before)), [0]);
    list.unfreeze();
    assert_eq!(servers(&list.full()), [0, 1], "one fault is still active");
    list.unfreeze();
    assert_eq!(servers(&list.full()), [1]);
}
