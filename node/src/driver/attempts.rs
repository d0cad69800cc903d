//! One attempt of a request at one backend, as it passes between the driver and the transport.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use ivyhatch_balancer::{BackendId, LoadReport, Nanos, Outcome, RequestId};
use tokio::sync::oneshot;

use super::requests::ForwardedRequest;

/// Identifies one attempt of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptKey {
    pub(super) request: RequestId,
    pub(super) attempt: u32,
    pub(super) backend: BackendId,
}

/// An attempt to be made.
pub struct AttemptStart {
    /// Goes back with the result.
    pub key: AttemptKey,
    /// The backend to send to.
    pub backend: BackendId,
    /// Where the backend listens.
    pub endpoint: SocketAddr,
    /// What to send.
    pub forwarded: Rc<ForwardedRequest>,
    /// When the attempt times out.
    pub timeout_at: Nanos,
    /// When the client stops waiting.
    pub not_after: Nanos,
    /// Resolves once the attempt has been cancelled.
    pub cancelled: oneshot::Receiver<()>,
}

/// How an attempt or a probe ended.
pub struct AttemptResult {
    /// What happened.
    pub outcome: Outcome,
    /// The load report that the response carried.
    pub report: LoadReport,
    /// The body of the response, if the outcome is [`Outcome::Served`].
    pub body: Bytes,
}

impl AttemptResult {
    /// A result without a usable response.
    pub fn without_response(outcome: Outcome) -> Self {
        Self { outcome, report: LoadReport::default(), body: Bytes::new() }
    }
}

/// An attempt or a probe that has been started and has no result yet.
pub(super) struct InFlight {
    pub(super) started_at: Nanos,
    cancel: Option<oneshot::Sender<()>>,
}

impl InFlight {
    /// Also returns what resolves once it is cancelled.
    pub(super) fn start(now: Nanos) -> (Self, oneshot::Receiver<()>) {
        let (cancel, cancelled) = oneshot::channel();
        (Self { started_at: now, cancel: Some(cancel) }, cancelled)
    }

    /// Asks the transport to end it; its result follows. Only the first call counts.
    pub(super) fn cancel(&mut self) {
        if let Some(cancel) = self.cancel.take() {
            // One that has ended meanwhile no longer listens: its own result is on the way.
            let _ = cancel.send(());
        }
    }

    pub(super) fn elapsed(&self, now: Nanos) -> Nanos {
        now.saturating_sub(self.started_at)
    }
}
