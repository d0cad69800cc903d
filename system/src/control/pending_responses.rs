//! The requests that wait for a response of the state machine, each with the channel on which the response is sent.

use std::cell::RefCell;
use std::collections::BTreeMap;

use ivyhatch_control::RequestId;
use tokio::sync::oneshot;

/// Pending requests whose responses have the type `T`.
pub struct PendingResponses<T>(RefCell<BTreeMap<RequestId, oneshot::Sender<T>>>);

impl<T> Default for PendingResponses<T> {
    fn default() -> Self {
        Self(RefCell::default())
    }
}

impl<T> PendingResponses<T> {
    /// Adds a request. The receiver gets its response.
    pub fn register(&self, id: RequestId) -> oneshot::Receiver<T> {
        let (sender, receiver) = oneshot::channel();
        self.0.borrow_mut().insert(id, sender);
        receiver
    }

    /// Removes a request. Returns whether the request was still pending.
    pub fn forget(&self, id: RequestId) -> bool {
        self.0.borrow_mut().remove(&id).is_some()
    }

    /// Sends the response of a request if the request is pending; otherwise drops the response.
    pub fn respond(&self, id: RequestId, response: T) {
        if let Some(sender) = self.0.borrow_mut().remove(&id) {
            // Fails only if the caller has disconnected, and so needs no response.
            let _ = sender.send(response);
        }
    }
}
