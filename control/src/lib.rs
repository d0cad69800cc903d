#![forbid(unsafe_code)]
#![warn(missing_docs)]
//! A control node of the system: decides, and does no I/O. Messages, ends of writes and the time go in, messages, writes and
//! answers come out; the time is the steady clock's, told by whoever embeds it.
//!
//! Reading order: [`register`] decides on one part among a group, [`group`] tells who that is and how one that has forgotten its
//! past comes back, [`state`] says what an order does to a part, [`server_list`] when to read the platform's list, [`routers`]
//! keeps the sessions, [`feed`] what those who follow are told, and [`node`] holds all of it together.

pub mod feed;
pub mod group;
pub mod node;
pub mod register;
pub mod routers;
pub mod server_list;
pub mod state;
pub mod stored;

pub use node::{Action, Event, Identity, Node, OrderId, SessionId, Token};

use ivyhatch_protocol::ids::{Epoch, Part};
use ivyhatch_protocol::peer::{Accepted, Group};
use speedy::{Readable, Writable};

/// What a control node writes to its disk. All of it together, in order, is what it has promised.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum Record {
    /// The group that it is a member of.
    Group(Group),
    /// It refuses lower epochs.
    Promised(Part, Epoch),
    /// What a part was set to, and that lower epochs are refused.
    Accepted(Part, Accepted),
    /// What a part was set to under this epoch, as its change of this number, is decided: it may be told to all who follow without
    /// asking anybody.
    Decided(Part, Epoch, u64),
}
