//! Commands and the records stored for them, as JSON. The names in the JSON are those of the first release, so that stored data stays
//! readable and the messages on the agent's socket stay compatible.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::lifecycle::DesiredState;

/// A change of the desired state of one instance.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Change {
    /// The instance's name.
    pub instance: String,
    /// The new desired state.
    #[serde(rename = "wanted")]
    pub desired_state: DesiredState,
}

/// An operator's command that sets desired states. Idempotent by its id.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Command {
    /// Unique id, chosen by the client. A command that is repeated with the same id gets the same outcome, and is not applied again.
    pub id: String,
    /// The operator who has sent the command.
    #[serde(rename = "by")]
    pub requested_by: String,
    /// The revision that the operator has seen. A later change of the same instances to another state conflicts with this command
    /// (optimistic concurrency control).
    #[serde(rename = "against")]
    pub base_revision: u64,
    /// The changes; either all of them are applied or none.
    pub changes: Vec<Change>,
    /// Time of receipt by the agent's wall clock, in milliseconds since the Unix epoch. For the audit log only; no decision depends on
    /// it.
    pub at_unix_ms: u64,
}

/// The desired state of an instance, and the command that has set this state.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct DesiredEntry {
    /// The desired state.
    #[serde(rename = "wanted")]
    pub desired_state: DesiredState,
    /// The revision that the command has created.
    pub revision: u64,
    /// Id of the command.
    pub command: String,
    /// The operator who has sent the command.
    #[serde(rename = "by")]
    pub requested_by: String,
}

/// All desired states that commands have set.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct DesiredStates {
    /// Revision of the store: the number of commands applied so far.
    pub revision: u64,
    /// The desired states, by instance name.
    pub instances: BTreeMap<String, DesiredEntry>,
}

/// Why a command is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rejection {
    /// A command that was applied after the base revision has set another state.
    Conflict {
        /// The instance on which the commands conflict.
        instance: String,
        /// The state that the other command has set.
        other: DesiredEntry,
    },
    /// The base revision is higher than the store's, so that it must be from another store.
    #[serde(rename = "ahead")]
    UnknownBaseRevision {
        /// The store's current revision.
        revision: u64,
    },
    /// The id has been used by a command with other content.
    IdTaken {
        /// The operator who has sent that command.
        #[serde(rename = "by")]
        requested_by: String,
    },
}

/// The outcome of a command.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The command is applied and on disk.
    #[serde(rename = "done")]
    Applied {
        /// The revision that the command has created.
        revision: u64,
    },
    /// The command is rejected; no desired state has changed.
    #[serde(rename = "refused")]
    Rejected(Rejection),
}

/// A record of the audit log.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct AuditRecord {
    /// The command, as received.
    pub command: Command,
    /// The command's outcome.
    pub outcome: Outcome,
}
