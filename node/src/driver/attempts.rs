//! The types of an attempt of a request at one backend, and of its result, which the driver and the transport exchange.

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
    /// Identifies the attempt when its result is reported.
    pub key: AttemptKey,
    /// The backend to send to.
    pub backend: BackendId,
    /// The address at which the backend listens.
    pub endpoint: SocketAddr,
    /// The request to send.
    pub forwarded: Rc<ForwardedRequest>,
    /// When the attempt times out; not later than `not_after`.
    pub timeout_at: Nanos,
    /// When the client stops waiting.
    pub not_after: Nanos,
    /// Resolves once the attempt has been cancelled.
    pub cancelled: oneshot::Receiver<()>,
}

/// How an attempt or a probe ended.
pub struct AttemptResult {
    /// The outcome, which is reported to the balancer.
    pub outcome: Outcome,
    /// The load report in the response; empty if there was none.
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
    /// Starts an attempt or a probe. The receiver resolves once it has been cancelled.
    pub(super) fn start(now: Nanos) -> (Self, oneshot::Receiver<()>) {
        let (cancel, cancelled) = oneshot::channel();
        (Self { started_at: now, cancel: Some(cancel) }, cancelled)
    }

    /// Asks the transport to end the attempt or probe. Calls after the first one have no effect.
    pub(super) fn cancel(&mut self) {
        if let Some(cancel) = self.cancel.take() {
            // Sending fails if the attempt or probe has just ended; its result is then about to be reported.
            let _ = cancel.send(());
        }
    }

    pub(super) fn elapsed(&self, now: Nanos) -> Nanos {
        now.saturating_sub(self.started_at)
    }
}
