//! Agreement on the partitions of the control state: the consensus itself, the values, and who contends for which partition.

pub mod catch_up;
pub mod elections;
pub mod partition;
pub mod partition_state;
pub mod partitions;
