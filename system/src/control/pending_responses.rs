//! What waits in this process for the state machine: the channel of each request, by its id.

use std::cell::RefCell;
use std::collections::BTreeMap;

use ivyhatch_control::RequestId;
use tokio::sync::oneshot;

/// Requests whose responses are of one type.
pub struct PendingResponses<T>(RefCell<BTreeMap<RequestId, oneshot::Sender<T>>>);

impl<T> Default for PendingResponses<T> {
    fn default() -> Self {
        Self(RefCell::default())
    }
}

impl<T> PendingResponses<T> {
    /// Adds a request; its response comes on the receiver.
    pub fn register(&self, id: RequestId) -> oneshot::Receiver<T> {
        let (sender, receiver) = oneshot::channel();
        self.0.borrow_mut().insert(id, sender);
        receiver
    }

    /// Forgets a request. Returns whether it had no response.
    pub fn forget(&self, id: RequestId) -> bool {
        self.0.borrow_mut().remove(&id).is_some()
    }

    /// Sends the response to a request, if it is pending.
    pub fn respond(&self, id: RequestId, response: T) {
        if let Some(sender) = self.0.borrow_mut().remove(&id) {
            // A caller that has disconnected meanwhile needs no response.
            let _ = sender.send(response);
        }
    }
}
