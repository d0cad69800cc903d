//! A cluster of control nodes in virtual time: applications' calls, and the time in which members catch up.

mod calls;
mod catch_up_time;
mod cluster;
