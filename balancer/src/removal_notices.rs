//! Notices that a backend is leaving, and the rules by which lists may revoke them. No I/O.
//!
//! Full lists come from replicas that may lag: a full list may be older than a notice that was received
//! before it. Lists carry no revision to compare, so a notice stays valid against full lists until the
//! backend has restarted, a change reports the backend back in service, or the notice is so old that no list
//! can be older.

use std::collections::BTreeMap;

use crate::api::{BackendId, BackendState, ListScope, Member, Nanos, SECOND};

/// No replica lags longer than this, so a full list received later is newer than the notice.
const NOTICE_VALIDITY: Nanos = 300 * SECOND;

struct Notice {
    /// When the leaving process was started, if known.
    online_since: Option<Nanos>,
    received_at: Nanos,
}

/// The valid notices.
#[derive(Default)]
pub(crate) struct RemovalNotices(BTreeMap<BackendId, Notice>);

impl RemovalNotices {
    /// Number of valid notices.
    #[cfg(test)]
    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    /// Records the notices among `members`, and sets members that are older than a notice to draining.
    /// `started_at` returns the last start of a backend, if known.
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
                // A removed member may be listed without its start time.
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
