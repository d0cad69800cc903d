//! Notices that a backend leaves, and which lists may revoke them. Decides; no I/O.
//!
//! Full lists come from replicas that may lag: one may be older than a notice that was received before it.
//! Lists carry no revision to compare, so a notice holds against full lists until the backend has
//! restarted, a change reports it back in service, or the notice is so old that no list can be older.

use std::collections::BTreeMap;

use crate::api::{BackendId, BackendState, ListScope, Member, Nanos, SECOND};

/// No replica lags longer than this: a full list received later is younger than the notice.
const NOTICE_VALIDITY: Nanos = 300 * SECOND;

struct Notice {
    /// When the process that leaves was started, if that is known.
    online_since: Option<Nanos>,
    received_at: Nanos,
}

/// The notices that hold.
#[derive(Default)]
pub(crate) struct RemovalNotices(BTreeMap<BackendId, Notice>);

impl RemovalNotices {
    /// How many hold.
    #[cfg(test)]
    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    /// Records the notices among `members`, and turns members that are older than a notice to draining.
    /// `started_at` is the last start of a backend, where it is known.
    pub(crate) fn apply(
        &mut self,
        scope: ListScope,
        members: &mut [Member],
        started_at: impl Fn(BackendId) -> Option<Nanos>,
        now: Nanos,
    ) {
        self.0.retain(|_, notice| notice.received_at + NOTICE_VALIDITY > now);
        for member in members {
            if member.state != BackendState::InService {
                // A member that has been removed need not say when it was started.
                let online_since = member.online_since.max(started_at(member.backend));
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
#[path = "removal_notices_tests.rs"]
mod tests;
