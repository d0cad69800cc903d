//! Commands and what is stored of them, as JSON. The names in the JSON are those of the first release: stored data stays readable,
//! and so do the lines on the agent's socket.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::lifecycle::DesiredState;

/// A change of one instance.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Change {
    /// The instance's name.
    pub instance: String,
    /// The state that it is to have.
    #[serde(rename = "wanted")]
    pub desired_state: DesiredState,
}

/// An operator's command. It is idempotent by its id.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Command {
    /// Chosen by the client. A command that comes again with the same id gets the same outcome, and is not applied again.
    pub id: String,
    /// The operator.
    #[serde(rename = "by")]
    pub requested_by: String,
    /// The revision that the operator has seen: a later change of the same instances is in conflict with this command (optimistic
    /// concurrency control).
    #[serde(rename = "against")]
    pub base_revision: u64,
    /// The changes; all are applied or none.
    pub changes: Vec<Change>,
    /// When it came, in milliseconds since 1970, by the agent's clock. For people only: nothing is decided by it.
    pub at_unix_ms: u64,
}

/// The desired state of an instance, and the command that has set it.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct DesiredEntry {
    /// The desired state.
    #[serde(rename = "wanted")]
    pub desired_state: DesiredState,
    /// The revision of the command.
    pub revision: u64,
    /// The id of the command.
    pub command: String,
    /// The operator.
    #[serde(rename = "by")]
    pub requested_by: String,
}

/// All desired states that commands have set.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct DesiredStates {
    /// The number of commands that were applied.
    pub revision: u64,
    /// By instance.
    pub instances: BTreeMap<String, DesiredEntry>,
}

/// Why a command is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rejection {
    /// A command after the base revision has set another state.
    Conflict {
        /// The instance.
        instance: String,
        /// What the other command has set.
        other: DesiredEntry,
    },
    /// The base revision has not been reached yet: it is another store's.
    #[serde(rename = "ahead")]
    UnknownBaseRevision {
        /// The store's revision.
        revision: u64,
    },
    /// The id is that of another command.
    IdTaken {
        /// The operator of that command.
        #[serde(rename = "by")]
        requested_by: String,
    },
}

/// The outcome of a command.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It is applied and on disk.
    #[serde(rename = "done")]
    Applied {
        /// The revision that it has made.
        revision: u64,
    },
    /// It is rejected; nothing has changed.
    #[serde(rename = "refused")]
    Rejected(Rejection),
}

/// A record of the audit log.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct AuditRecord {
    /// The command.
    pub command: Command,
    /// Its outcome.
    pub outcome: Outcome,
}
