#![forbid(unsafe_code)]
#![warn(missing_docs)]
#![doc = include_str!("../../README.md")]

mod advice;
pub mod api;
mod held;
mod learning;
mod notices;
mod policy;
mod state;
mod tally;
mod view;

pub use advice::PlacementAdvisor;
pub use api::*;
pub use state::{Balancer, hash_mix};
