//! Bounds of the data stored by a partition, and of the names and values chosen by callers.

use ivyhatch_protocol::{Nanos, SECOND};

/// Maximum length of the name of a lock, number, cell or holder, in bytes.
pub const MAX_NAME_BYTES: usize = 200;
/// Maximum length of the value of a cell, in bytes.
pub const MAX_VALUE_BYTES: usize = 4096;
/// Maximum time for which one call may acquire or renew a lock, in milliseconds: one hour.
pub const MAX_HOLD_MS: u64 = 3_600_000;
/// Maximum time that a watch may wait, in milliseconds: one minute.
pub const MAX_WAIT_MS: u64 = 60_000;
/// Maximum number of puts in the history of a partition. Further puts are rejected until older puts have expired.
pub const MAX_HISTORY_EVENTS: usize = 4096;
/// Size in bytes of the names and values in the history of a partition from which on puts are rejected until older puts have expired.
pub const MAX_HISTORY_BYTES: usize = 2 << 20;
/// Size in bytes of the names and values of the cells of a partition from which on puts are rejected.
pub const MAX_CELL_BYTES: usize = 4 << 20;
/// Maximum number of stored locks of a partition, including expired ones that are not yet removed.
pub const MAX_LOCKS: usize = 4096;
/// Time by which puts are kept longer than configured, because a revision may still be in flight to a caller.
pub const HISTORY_MARGIN: Nanos = 5 * SECOND;
