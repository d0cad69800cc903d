//! How the process's file descriptors are divided.

use crate::start_error::StartError;
use crate::upstream::ConnectionBudget;

/// Three standard streams, the runtime's three and two for signals, the listener, a client that waits for admission, discovery
/// (two while it moves), the configuration as it is reloaded; and some to spare.
const OWN_DESCRIPTORS: usize = 16;

/// The connections that the descriptors allow for.
#[derive(Clone, Copy, Debug)]
pub struct DescriptorBudget {
    /// Connections from clients.
    pub clients: usize,
    /// Connections to backends.
    pub backends: ConnectionBudget,
}

impl DescriptorBudget {
    /// Divides `descriptors`. Beside the node's own, half are for clients and three eighths for backends, of which a ninth are
    /// connections that have been dropped and are not closed yet; the rest is for probes, and slack. Probes come out of the
    /// slack, never out of what requests need (docs/incidents/narrow-moments.md).
    ///
    /// # Errors
    /// [`StartError::TooFewDescriptors`] if the node itself needs half of them or more.
    pub fn divide(descriptors: usize) -> Result<Self, StartError> {
        if descriptors < 2 * OWN_DESCRIPTORS {
            return Err(StartError::TooFewDescriptors(descriptors));
        }
        let available = descriptors - OWN_DESCRIPTORS;
        let backends = ConnectionBudget { requests: available / 3, probes: available / 32 };
        Ok(Self { clients: available / 2, backends })
    }
}
