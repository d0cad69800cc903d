//! Divides the process's file descriptors between client connections and backend connections.

use crate::start_error::StartError;
use crate::upstream::ConnectionBudget;

/// The descriptors that the node needs beside its connections: three standard streams, three of the runtime and two for signals,
/// the listener, one accepted client that waits for admission, the connection to discovery (two while discovery moves), the
/// configuration file while it is reloaded, and a reserve.
const OWN_DESCRIPTORS: usize = 16;

/// How many connections the file descriptors allow for.
#[derive(Clone, Copy, Debug)]
pub struct DescriptorBudget {
    /// The number of connections from clients.
    pub clients: usize,
    /// The number of connections to backends.
    pub backends: ConnectionBudget,
}

impl DescriptorBudget {
    /// Divides `descriptors`. Of those left beside the node's own, half are for clients and three eighths for backends; a ninth of
    /// the backends' part is for connections that have been dropped and are not closed yet. The rest is for probes, and slack.
    /// Probes take descriptors of the slack, never those that requests need (docs/incidents/narrow-moments.md).
    ///
    /// # Errors
    /// [`StartError::TooFewDescriptors`] if there are fewer than twice the descriptors that the node needs beside its connections.
    pub fn divide(descriptors: usize) -> Result<Self, StartError> {
        if descriptors < 2 * OWN_DESCRIPTORS {
            return Err(StartError::TooFewDescriptors(descriptors));
        }
        let available = descriptors - OWN_DESCRIPTORS;
        let backends = ConnectionBudget { requests: available / 3, probes: available / 32 };
        Ok(Self { clients: available / 2, backends })
    }
}
