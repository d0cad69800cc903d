//! Consensus on the partitions of the control state: the protocol, the state machines of the partitions, and the choice of leaders.

pub mod acceptor;
pub mod catch_up;
pub mod configuration_registers;
pub mod elections;
pub mod partition;
pub mod partition_state;
pub mod partitions;
pub mod whole_values;
