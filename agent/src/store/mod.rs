//! The durable store of commands: the desired states, the outcome of each command, and the audit log.

mod database;
mod records;

pub use database::{Store, StoreError};
pub use records::{AuditRecord, Change, Command, DesiredEntry, DesiredStates, Outcome, Rejection};
