//! Observes when the first bytes of a response arrive; the HTTP library reports a response only once its head is complete.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use hyper::Request;
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::stream_observer::StreamObserver;

#[derive(Default)]
struct ResponseState {
    /// Whether bytes have arrived since the last request or interim response.
    started: AtomicBool,
    first_bytes: Notify,
    /// Whether an interim (1xx) response has arrived.
    interim: AtomicBool,
}

/// Observes the responses on one backend connection. Clones share their state.
#[derive(Clone, Default)]
pub struct ResponseByteObserver(Arc<ResponseState>);

impl ResponseByteObserver {
    /// Starts to observe the response to `request`, which is about to be written.
    pub fn expect_response_to<T>(&self, request: &mut Request<T>) {
        self.0.started.store(false, Ordering::Relaxed);
        self.0.interim.store(false, Ordering::Relaxed);
        let state = self.0.clone();
        hyper::ext::on_informational(request, move |_| state.interim.store(true, Ordering::Relaxed));
    }

    /// Resolves once a response has started to arrive and was not complete after `max_duration`. Interim responses
    /// (RFC 9110, section 15.2) don't count: the final response that follows an interim one may take longer.
    pub async fn stalled(&self, max_duration: Duration) {
        loop {
            while !self.0.started.load(Ordering::Relaxed) {
                self.0.first_bytes.notified().await;
            }
            sleep(max_duration).await;
            if !self.0.interim.swap(false, Ordering::Relaxed) {
                return;
            }
            self.0.started.store(false, Ordering::Relaxed);
        }
    }

    /// Whether any bytes have arrived since the last request or interim response.
    pub fn has_received_bytes(&self) -> bool {
        self.0.started.load(Ordering::Relaxed)
    }
}

impl StreamObserver for ResponseByteObserver {
    fn on_read(&mut self, _bytes: &[u8]) {
        if !self.0.started.swap(true, Ordering::Relaxed) {
            self.0.first_bytes.notify_waiters();
        }
    }
}
