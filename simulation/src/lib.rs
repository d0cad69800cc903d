#![forbid(unsafe_code)]
#![warn(missing_docs)]
//! A world in virtual time for the control state: the real state machines of control nodes and followers, with links that lose,
//! delay, double and reorder, cuts, freezes, disks with the semantics of power loss, and operators that race. Decides and plays;
//! no sockets, no clock. A plan goes in, what was found comes out; the same plan always plays alike.
//!
//! Reading order: [`plan`] says what happens, [`disk`] what a disk keeps, [`demand`] what operators ask for, [`run`] plays it,
//! [`oracle`] judges from outside, [`injected_bugs`] puts known faults in, [`hunt`] looks for plans that break a rule and makes them
//! short, and [`search`] goes through all interleavings of one part among three nodes.

pub mod chance;
pub mod demand;
pub mod disk;
pub mod hunt;
pub mod injected_bugs;
pub mod oracle;
pub mod plan;
pub mod run;
pub mod search;

pub use injected_bugs::InjectedBug;
pub use oracle::{Invariant, Violation};
pub use plan::Plan;
pub use run::{Outcome, play};
