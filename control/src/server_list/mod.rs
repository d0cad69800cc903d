//! The platform's list of servers: when it is read, and the singleton role of its reader.

pub mod reader;
pub mod role;
