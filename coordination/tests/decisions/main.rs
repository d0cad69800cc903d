//! Tests of the decisions of a partition's leader on calls: locks, numbers, cells and watches.

mod cells;
mod exhaustive;
mod leader;
mod locks;
