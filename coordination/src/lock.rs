//! Locks: who holds each of them, under which fencing token, and until when.
//!
//! A holder counts its time from when it sent the call, and the leader from when it decided on it, which is later: a lock is never
//! free before its holder knows it to be. A register says for how long a lock is held and not until when, as no clock is shared; a new
//! leader counts the whole time anew.

use std::collections::BTreeMap;

use ivyhatch_protocol::coordination::{NotStarted, Refusal, Reply};
use ivyhatch_protocol::registers::{RegisterChanges, RegisterKey};
use ivyhatch_protocol::{MILLISECOND, Nanos};
use speedy::{Readable, Writable};

use crate::limits::MAX_LOCKS;
use crate::state::Decision;

/// The content of the register of a lock that is held.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
struct LockRegister {
    holder: String,
    /// The fencing token of the first of the calls by which the holder has had the lock without a gap.
    first_fence: u64,
    /// The last fencing token that the holder was given.
    fence: u64,
    /// The time that is left to the holder, as of the change that wrote the register.
    remaining_ms: u64,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct HeldLock {
    register: LockRegister,
    expires_at: Nanos,
}

impl HeldLock {
    /// Whether a call of this holder, with a fencing token that it was given, is about the present hold. A holder whose call was
    /// carried out twice knows only one of the two tokens.
    fn matches_hold(&self, holder: &str, fence: u64) -> bool {
        let LockRegister { holder: current_holder, first_fence, fence: last_fence, .. } = &self.register;
        current_holder == holder && (*first_fence..=*last_fence).contains(&fence)
    }
}

/// The locks of a partition that are held, or were until their time ran out.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Locks {
    held: BTreeMap<String, HeldLock>,
}

impl Locks {
    /// Adds a lock from its register. Its whole time is counted from `now`: how much of it has passed, this node can't know.
    pub(crate) fn load(&mut self, now: Nanos, name: &str, value: &[u8]) -> Option<()> {
        let register = LockRegister::read_from_buffer(value).ok()?;
        let expires_at = now + register.remaining_ms * MILLISECOND;
        self.held.insert(name.to_owned(), HeldLock { register, expires_at });
        Some(())
    }

    /// The lock, while its time has not run out.
    fn current(&self, now: Nanos, name: &str) -> Option<&HeldLock> {
        self.held.get(name).filter(|lock| now < lock.expires_at)
    }

    /// Decides on a call for a lock. `sequence`, the number of the change, is its fencing token.
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
        // The holder itself gets a higher token each time: a release that it sent before, and that is still on its way, then does not
        // free the lock which it has been given since.
        let first_fence = current.map_or(sequence, |lock| lock.register.first_fence);
        let previous_expiry = current.map_or(now, |lock| lock.expires_at);
        let register =
            LockRegister { holder: holder.to_owned(), first_fence, fence: sequence, remaining_ms: 0 };
        let changes = self.hold(now, name, register, hold_ms, previous_expiry);
        Decision::propose(changes, Reply::LockAcquired { fence: sequence })
    }

    /// Decides on a call to hold a lock for longer.
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

    /// Holds a lock for a time from now on, and at least until `earlier_end`: calls may overtake each other, and the holder counts by
    /// whichever gives it more.
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
        // Writing to memory can't fail.
        let value = register.write_to_vec().unwrap_or_default();
        self.held.insert(name.to_owned(), HeldLock { register, expires_at });
        vec![(RegisterKey::Lock(name.to_owned()), Some(value.into()))]
    }

    /// Decides on a call to free a lock. Only the last token frees it: a call with an earlier one was sent before the holder took the lock
    /// again.
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

    /// Forgets locks whose time ran out this long ago, some at a time.
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

    /// The number of locks that are stored.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether no lock is stored.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }
}
