//! Locks: the holder, the fencing token and the expiry of each lock.
//!
//! A holder counts the hold time from when it sent the call. The leader counts from when it decided on the call, which is later, so a
//! lock never becomes free before its holder considers it expired. The register of a lock stores the remaining hold time and not the
//! time of expiry, because nodes do not share a clock; a new leader counts the whole remaining time again.

use std::collections::BTreeMap;

use ivyhatch_protocol::coordination::{NotStarted, Refusal, Reply};
use ivyhatch_protocol::registers::{RegisterChanges, RegisterKey};
use ivyhatch_protocol::{MILLISECOND, Nanos};
use speedy::{Readable, Writable};

use crate::limits::MAX_LOCKS;
use crate::state::Decision;

/// The stored value of a held lock's register.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
struct LockRegister {
    holder: String,
    /// The fencing token of the call with which the uninterrupted hold of the current holder began.
    first_fence: u64,
    /// The last fencing token that was issued to the holder.
    fence: u64,
    /// The remaining hold time in milliseconds, as of the change that wrote the register.
    remaining_ms: u64,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct HeldLock {
    register: LockRegister,
    expires_at: Nanos,
}

impl HeldLock {
    /// Whether a call of this holder with this fencing token refers to the current hold. Any token issued during the hold is valid: a
    /// holder whose call was executed twice knows only one of the two tokens.
    fn matches_hold(&self, holder: &str, fence: u64) -> bool {
        let LockRegister { holder: current_holder, first_fence, fence: last_fence, .. } = &self.register;
        current_holder == holder && (*first_fence..=*last_fence).contains(&fence)
    }
}

/// The locks of a partition that are held, or have expired and are not yet removed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Locks {
    held: BTreeMap<String, HeldLock>,
}

impl Locks {
    /// Adds a lock from the value of its register; `None` if the value cannot be decoded. The whole remaining time is counted from `now`,
    /// because this node cannot know how much of it has elapsed.
    pub(crate) fn load(&mut self, now: Nanos, name: &str, value: &[u8]) -> Option<()> {
        let register = LockRegister::read_from_buffer(value).ok()?;
        let expires_at = now + register.remaining_ms * MILLISECOND;
        self.held.insert(name.to_owned(), HeldLock { register, expires_at });
        Some(())
    }

    /// The lock, if it is held and has not expired.
    fn current(&self, now: Nanos, name: &str) -> Option<&HeldLock> {
        self.held.get(name).filter(|lock| now < lock.expires_at)
    }

    /// Decides on a call to acquire a lock. `sequence`, the sequence number of the change, becomes the fencing token.
    pub(crate) fn acquire(
        &mut self,
        now: Nanos,
        sequence: u64,
        name: &str,
        holder: &str,
        hold_ms: u64,
    ) -> Decision {
        let current = self.current(now, name);
        if current.is_some_and(|lock| lock.register.holder != holder) {
            return Decision::refuse(Refusal::LockHeld);
        }
        if current.is_none() && self.held.len() >= MAX_LOCKS && !self.held.contains_key(name) {
            return Decision::not_started(NotStarted::Overloaded);
        }
        // The current holder also gets a higher token with each acquisition. So an earlier release by the same holder that is still in
        // flight does not free the lock acquired since.
        let first_fence = current.map_or(sequence, |lock| lock.register.first_fence);
        let previous_expiry = current.map_or(now, |lock| lock.expires_at);
        let register =
            LockRegister { holder: holder.to_owned(), first_fence, fence: sequence, remaining_ms: 0 };
        let changes = self.hold(now, name, register, hold_ms, previous_expiry);
        Decision::propose(changes, Reply::LockAcquired { fence: sequence })
    }

    /// Decides on a call to renew a lock.
    pub(crate) fn renew(
        &mut self,
        now: Nanos,
        name: &str,
        holder: &str,
        fence: u64,
        hold_ms: u64,
    ) -> Decision {
        let Some(lock) = self.current(now, name).filter(|lock| lock.matches_hold(holder, fence)) else {
            return Decision::refuse(Refusal::LockLost);
        };
        let (register, previous_expiry) = (lock.register.clone(), lock.expires_at);
        Decision::propose(self.hold(now, name, register, hold_ms, previous_expiry), Reply::LockRenewed)
    }

    /// Holds a lock for `hold_ms` from now on, and at least until `previous_expiry`: calls may be reordered, and the holder relies on the
    /// latest expiry that any of its calls has obtained. Returns the register to write.
    fn hold(
        &mut self,
        now: Nanos,
        name: &str,
        register: LockRegister,
        hold_ms: u64,
        previous_expiry: Nanos,
    ) -> RegisterChanges {
        let expires_at = previous_expiry.max(now + hold_ms * MILLISECOND);
        let remaining_ms = (expires_at - now).div_ceil(MILLISECOND);
        let register = LockRegister { remaining_ms, ..register };
        // Encoding into memory cannot fail.
        let value = register.write_to_vec().unwrap_or_default();
        self.held.insert(name.to_owned(), HeldLock { register, expires_at });
        vec![(RegisterKey::Lock(name.to_owned()), Some(value.into()))]
    }

    /// Decides on a call to release a lock. Only the last fencing token releases the lock: a call with an earlier token was sent before
    /// the holder acquired the lock again. The reply is the same whether the lock was held or not.
    pub(crate) fn release(&mut self, name: &str, holder: &str, fence: u64) -> Decision {
        let is_held = self
            .held
            .get(name)
            .is_some_and(|lock| lock.register.holder == holder && lock.register.fence == fence);
        if !is_held {
            return Decision::reply(Reply::LockReleased);
        }
        self.held.remove(name);
        Decision::propose(vec![(RegisterKey::Lock(name.to_owned()), None)], Reply::LockReleased)
    }

    /// Removes at most `max_count` locks that expired at least `grace` ago. Returns the registers to clear.
    pub(crate) fn remove_expired(&mut self, now: Nanos, grace: Nanos, max_count: usize) -> RegisterChanges {
        let is_removable = |lock: &HeldLock| now >= lock.expires_at.saturating_add(grace);
        let expired = self.held.iter().filter(|(_, lock)| is_removable(lock)).map(|(name, _)| name.clone());
        let expired: Vec<String> = expired.take(max_count).collect();
        expired
            .into_iter()
            .map(|name| {
                self.held.remove(&name);
                (RegisterKey::Lock(name), None)
            })
            .collect()
    }

    /// The number of stored locks, including expired ones that are not yet removed.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether no lock is stored, not even an expired one.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }
}
