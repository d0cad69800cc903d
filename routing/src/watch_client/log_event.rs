//! The log events of a watch client. An event is logged as its name followed by `key=value` pairs.

use std::fmt;

use ivyhatch_protocol::ids::NodeId;

use super::quorum_contact::QuorumContact;

/// A log event; its `Display` form is the event name and the `key=value` pairs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// A configuration has come into force at this router.
    ConfigurationApplied {
        /// The revision of the configuration, as shown to operators.
        revision: u64,
        /// The sequence number of the configuration's last change.
        sequence: u64,
    },
    /// Another control node has become the primary.
    PrimaryChanged {
        /// The new primary.
        primary: NodeId,
    },
    /// Contact with a quorum was lost or re-established.
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
