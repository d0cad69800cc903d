//! The mutation of a single message of a run.

use serde::{Deserialize, Serialize};

/// A mutation of one message, identified by its number in the order in which messages are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MessageMutation {
    /// The message's number, from 1.
    pub message: u64,
    /// What happens to the message.
    #[serde(rename = "how")] // wire name
    pub kind: MutationKind,
}

/// What happens to a mutated message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::EnumIter)]
pub enum MutationKind {
    /// The message is lost.
    Dropped,
    /// The message arrives twice.
    #[serde(rename = "Doubled")] // wire name
    Duplicated,
    /// The message arrives after messages that were sent later.
    Delayed,
    /// The previous message in the same direction of the link arrives instead.
    Replaced,
}
