//! Agreement on the partitions of the control state: the consensus itself, the values, and who contends for which partition.

pub mod acceptor;
pub mod catch_up;
pub mod configuration_registers;
pub mod elections;
pub mod partition;
pub mod partition_state;
pub mod partitions;
pub mod whole_values;
