//! The lists that revoke a removal notice.

use super::RemovalNotices;
use crate::api::BackendState::{Draining, InService, Removed};
use crate::api::ListScope::{Cached, Changes, Full};
use crate::api::{BackendId, BackendState, ListScope, Member, Nanos, SECOND};

/// A list that contains backend 1: when the list is received (in seconds), its scope, and the state and the
/// last start of the backend.
type List = (Nanos, ListScope, BackendState, Option<Nanos>);

/// The state of backend 1 after these lists, received in order.
fn state_after(lists: &[List]) -> BackendState {
    let mut notices = RemovalNotices::default();
    let mut last = Member::default();
    for &(at, scope, state, online_since) in lists {
        let mut members = [Member { backend: BackendId(1), state, online_since, ..Member::default() }];
        notices.apply(scope, &mut members, |_| Some(5), at * SECOND);
        [last] = members;
    }
    last.state
}

#[test]
fn full_list_does_not_revoke_a_notice() {
    for scope in [Full, Cached] {
        for notice in [Draining, Removed] {
            let old = state_after(&[(1, Changes, notice, None), (2, scope, InService, Some(5))]);
            assert_eq!(old, Draining, "a {notice:?} notice, then a {scope:?} list");
        }
    }
}

#[test]
fn restart_change_or_age_revokes_a_notice() {
    assert_eq!(
        state_after(&[(1, Changes, Removed, None), (2, Full, InService, Some(6))]),
        InService,
        "a restart revokes the notice"
    );
    assert_eq!(
        state_after(&[(1, Full, Draining, None), (2, Changes, InService, Some(5))]),
        InService,
        "a change revokes the notice"
    );
    assert_eq!(
        state_after(&[(1, Changes, Removed, None), (302, Full, InService, Some(5))]),
        InService,
        "the notice expires"
    );
    let again =
        [(1, Changes, Removed, None), (2, Changes, InService, Some(6)), (3, Full, InService, Some(6))];
    assert_eq!(state_after(&again), InService, "a revoked notice stays revoked");
}
