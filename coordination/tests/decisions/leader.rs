//! Test helper: a leader of one partition whose proposals are committed immediately, and constructors of calls.

use ivyhatch_coordination::{CoordinationState, Decision};
use ivyhatch_protocol::coordination::{Call, CallOutcome};
use ivyhatch_protocol::registers::{RegisterChanges, RegisterMap, RegisterWrite};
use ivyhatch_protocol::{MILLISECOND, SECOND};

/// The retention time of the history in seconds, without the margin.
pub const HISTORY_S: u64 = 10;

#[derive(Clone)]
pub struct Leader {
    pub state: CoordinationState,
    registers: RegisterMap,
    sequence: u64,
    now_ms: u64,
}

impl Leader {
    pub fn new() -> Self {
        let registers = RegisterMap::default();
        let state = CoordinationState::from_registers(0, HISTORY_S * SECOND, &registers)
            .expect("an empty register map can be decoded");
        Self { state, registers, sequence: 0, now_ms: 0 }
    }

    /// Decides on a call and commits the proposed change; `None` for a watch that has to wait.
    pub fn try_call(&mut self, at_ms: u64, call: &Call) -> Option<CallOutcome> {
        self.now_ms = at_ms;
        match self.state.decide(at_ms * MILLISECOND, self.sequence + 1, call) {
            Decision::Respond(outcome) => Some(outcome),
            Decision::Propose { changes, reply, .. } => {
                self.commit(changes);
                Some(CallOutcome::Applied(reply))
            }
            Decision::Wait => None,
        }
    }

    pub fn call(&mut self, at_ms: u64, call: &Call) -> CallOutcome {
        self.try_call(at_ms, call).expect("the call does not have to wait")
    }

    fn commit(&mut self, changes: RegisterChanges) {
        self.sequence += 1;
        for (key, value) in changes {
            self.registers.apply(RegisterWrite { key, sequence: self.sequence, value });
        }
    }

    pub fn remove_expired(&mut self, at_ms: u64, grace_ms: u64, max_count: usize) {
        let changes = self.state.remove_expired_locks(at_ms * MILLISECOND, grace_ms * MILLISECOND, max_count);
        self.commit(changes);
    }

    /// The number of registers that have a value.
    pub fn register_count(&self) -> usize {
        self.registers.values().count()
    }

    /// All registers as text: the key and the value in hexadecimal.
    pub fn registers(&self) -> Vec<String> {
        let hex = |bytes: &[u8]| bytes.iter().map(|byte| format!("{byte:02x}")).collect::<String>();
        self.registers.values().map(|(key, value)| format!("{key:?} {}", hex(value))).collect()
    }

    /// A new leader on a node whose clock shows the same time.
    pub fn successor(&self) -> Self {
        self.successor_at(self.now_ms)
    }

    /// A new leader on a node whose clock shows `now_ms`.
    pub fn successor_at(&self, now_ms: u64) -> Self {
        let registers = self.registers.clone();
        let state = CoordinationState::from_registers(now_ms * MILLISECOND, HISTORY_S * SECOND, &registers)
            .expect("the registers were written by this release");
        Self { state, registers, sequence: self.sequence, now_ms }
    }
}

pub fn acquire(name: &str, holder: &str, hold_ms: u64) -> Call {
    Call::AcquireLock { name: name.to_owned(), holder: holder.to_owned(), hold_ms }
}

pub fn renew(name: &str, holder: &str, fence: u64, hold_ms: u64) -> Call {
    Call::RenewLock { name: name.to_owned(), holder: holder.to_owned(), fence, hold_ms }
}

pub fn release(name: &str, holder: &str, fence: u64) -> Call {
    Call::ReleaseLock { name: name.to_owned(), holder: holder.to_owned(), fence }
}

pub fn next_number(name: &str) -> Call {
    Call::NextNumber { name: name.to_owned() }
}

pub fn put(name: &str, value: &str, expected_revision: Option<u64>) -> Call {
    Call::PutCell { name: name.to_owned(), value: value.to_owned(), expected_revision }
}

pub fn read(name: &str) -> Call {
    Call::ReadCell { name: name.to_owned() }
}

pub fn watch(group: &str, after: u64) -> Call {
    Call::WatchGroup { group: group.to_owned(), after, wait_ms: 1000 }
}
