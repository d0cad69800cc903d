//! The platform's list of servers: the schedule of reads, and the singleton role of the reader.

pub mod reader;
pub mod role;
