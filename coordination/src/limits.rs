//! Bounds of what a partition stores and of the names and values that callers may choose.

use ivyhatch_protocol::{Nanos, SECOND};

/// The longest name of a lock, a number, a cell or a holder, in bytes.
pub const MAX_NAME_BYTES: usize = 200;
/// The longest value of a cell, in bytes.
pub const MAX_VALUE_BYTES: usize = 4096;
/// The longest time for which a lock may be held with one call: an hour.
pub const MAX_HOLD_MS: u64 = 3_600_000;
/// The longest wait of a watch: a minute.
pub const MAX_WAIT_MS: u64 = 60_000;
/// The most puts that the history of a partition holds. Puts beyond that are rejected until older ones have left it.
pub const MAX_HISTORY_EVENTS: usize = 4096;
/// The most bytes of names and values in the history of a partition, as above.
pub const MAX_HISTORY_BYTES: usize = 2 << 20;
/// The most bytes of names and values of the cells of a partition.
pub const MAX_CELL_BYTES: usize = 4 << 20;
/// The most locks of a partition that are held.
pub const MAX_LOCKS: usize = 4096;
/// The history is kept for this much longer than deployments ask for: a revision may be on its way to a caller.
pub const HISTORY_MARGIN: Nanos = 5 * SECOND;
