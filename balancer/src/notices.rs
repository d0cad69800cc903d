//! Notices that a backend leaves, and which lists may take them back. Decides; no I/O.
//!
//! Whole lists come from replicas that may lag: one may be older than a notice that was told before it. Lists carry no
//! revision by which to tell, so a notice binds against whole lists until the backend has started anew, a change says
//! that it is back, or it is so old that the list can't be older.

use std::collections::BTreeMap;

use crate::api::{BackendId, BackendState, ListScope, Member, Nanos};

/// No replica lags longer: a whole list from then on is younger than the notice.
const NOTICE_VALIDITY: Nanos = 300_000_000_000;

struct Notice {
    /// The start of the life that ends.
    online_since: Option<Nanos>,
    received_at: Nanos,
}

/// The notices that bind.
#[derive(Default)]
pub(crate) struct RemovalNotices(BTreeMap<BackendId, Notice>);

impl RemovalNotices {
    /// How many bind.
    #[cfg(test)]
    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    /// Takes a list's lines in, and turns those that are older than a notice into what the notice says. `started` tells
    /// the last start of a backend that is known.
    pub(crate) fn apply(
        &mut self,
        scope: ListScope,
        members: &mut [Member],
        started: impl Fn(BackendId) -> Option<Nanos>,
        now: Nanos,
    ) {
        self.0.retain(|_, notice| notice.received_at + NOTICE_VALIDITY > now);
        for member in members {
            if member.state != BackendState::InService {
                // A line that says "gone" need not say since when it was there.
                let online_since = member.online_since.max(started(member.backend));
                self.0.entry(member.backend).or_insert(Notice { online_since, received_at: now });
                continue;
            }
            let Some(notice) = self.0.get(&member.backend) else { continue };
            if scope == ListScope::Changes || member.online_since > notice.online_since {
                self.0.remove(&member.backend);
            } else {
                member.state = BackendState::Draining;
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SECOND: Nanos = 1_000_000_000;

    /// The stage of backend 1 after lines told one after another, each with its time in seconds.
    fn after(lines: &[(Nanos, ListScope, BackendState, Option<Nanos>)]) -> BackendState {
        let mut notices = RemovalNotices::default();
        let mut last = Member::default();
        for &(at, scope, stage, online_since) in lines {
            let mut members =
                [Member { backend: BackendId(1), state: stage, online_since, ..Member::default() }];
            notices.apply(scope, &mut members, |_| Some(5), at * SECOND);
            [last] = members;
        }
        last.state
    }

    #[test]
    fn a_whole_list_takes_no_notice_back_but_a_new_start_a_change_and_time_do() {
        use BackendState::{Draining, InService, Removed};
        use ListScope::{Cached, Changes, Full};
        for scope in [Full, Cached] {
            for told in [Draining, Removed] {
                let old = after(&[(1, Changes, told, None), (2, scope, InService, Some(5))]);
                assert_eq!(old, Draining, "{told:?}, then {scope:?}");
            }
        }
        assert_eq!(
            after(&[(1, Changes, Removed, None), (2, Full, InService, Some(6))]),
            InService,
            "a new start"
        );
        assert_eq!(
            after(&[(1, Full, Draining, None), (2, Changes, InService, Some(5))]),
            InService,
            "a change"
        );
        assert_eq!(after(&[(1, Changes, Removed, None), (302, Full, InService, Some(5))]), InService, "time");
        let again =
            [(1, Changes, Removed, None), (2, Changes, InService, Some(6)), (3, Full, InService, Some(6))];
        assert_eq!(after(&again), InService, "taken back for good");
    }
}
