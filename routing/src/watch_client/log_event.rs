//! What a watch client writes to the log, as a line of an event's name and `key=value` pairs.

use std::fmt;

use ivyhatch_protocol::ids::NodeId;

use super::quorum_contact::QuorumContact;

/// An event for the log; its `Display` form is the name and the pairs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// A configuration is in force here from now on.
    ConfigurationApplied {
        /// The operators' revision of it.
        revision: u64,
        /// The sequence number of its last change.
        sequence: u64,
    },
    /// Another control node is the primary one.
    PrimaryChanged {
        /// The new one.
        primary: NodeId,
    },
    /// Contact with a quorum was lost or established again.
    QuorumContactChanged(QuorumContact),
}

impl fmt::Display for LogEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ConfigurationApplied { revision, sequence } => {
                write!(f, "configuration revision={revision} sequence={sequence}")
            }
            Self::PrimaryChanged { primary } => write!(f, "primary_changed primary={primary}"),
            Self::QuorumContactChanged(contact) => {
                let established = *contact == QuorumContact::Established;
                write!(f, "quorum_contact established={established}")
            }
        }
    }
}
