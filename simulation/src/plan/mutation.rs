//! The mutation of a single message of a run.

use serde::{Deserialize, Serialize};

/// A mutation of one message, named by its number in the order in which messages are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MessageMutation {
    /// The message's number, from 1.
    pub message: u64,
    /// What happens to it.
    #[serde(rename = "how")] // wire name
    pub kind: MutationKind,
}

/// What happens to a mutated message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::EnumIter)]
pub enum MutationKind {
    /// It is lost.
    Dropped,
    /// It arrives twice.
    #[serde(rename = "Doubled")] // wire name
    Duplicated,
    /// It arrives after later ones.
    Delayed,
    /// The previous message of its link arrives in its place.
    Replaced,
}
