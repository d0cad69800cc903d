//! The state of one client connection, and how long the connection may stay in each state.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use super::timeouts::{
    ConnectionTimeouts, IDLE_EVICTABLE_AFTER, LINGER_TIMEOUT, REJECTION_GRACE, RESPONSE_WRITE_TIMEOUT,
    SILENT_EVICTABLE_AFTER, SILENT_TIMEOUT_AT_SHUTDOWN,
};

/// What is in progress on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionState {
    /// No byte has arrived yet.
    AwaitingFirstByte,
    /// A request is arriving.
    ReceivingRequest,
    /// A request is complete and has no response yet.
    Processing,
    /// A response is being written.
    SendingResponse,
    /// Between requests.
    Idle,
    /// The last response has been written; further input is read and dropped.
    Lingering,
}

/// Whether more input may arrive of a request that already has its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnreadInput {
    /// The request was read to its end.
    None,
    /// The request was rejected, and the rest of it may still arrive.
    Possible,
}

/// The order in which connections are evicted to make room; the smallest goes first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EvictionRank {
    class: u8,
    since: Instant,
}

/// How many connections are idle, and the number of idle ones from which on each response closes its connection.
pub(super) struct IdleCount {
    pub(super) current: Cell<usize>,
    pub(super) limit: usize,
}

/// The state of one client connection, shared by the request handler, the socket's observer and the limiter.
pub struct ClientConnection {
    state: Cell<ConnectionState>,
    state_since: Cell<Instant>,
    /// Whether the head of the last request has more than one `content-length`.
    duplicate_content_length: Cell<bool>,
    unread_input: Cell<UnreadInput>,
    close: Notify,
    idle_count: Rc<IdleCount>,
    timeouts: Rc<Cell<ConnectionTimeouts>>,
}

impl ClientConnection {
    pub(super) fn new(idle_count: Rc<IdleCount>, timeouts: Rc<Cell<ConnectionTimeouts>>) -> Self {
        Self {
            idle_count,
            timeouts,
            state: Cell::new(ConnectionState::AwaitingFirstByte),
            state_since: Cell::new(Instant::now()),
            duplicate_content_length: Cell::new(false),
            unread_input: Cell::new(UnreadInput::None),
            close: Notify::new(),
        }
    }

    fn enter(&self, state: ConnectionState) {
        let previous = self.state.replace(state);
        self.state_since.set(Instant::now());
        let was_idle = usize::from(previous == ConnectionState::Idle);
        let is_idle = usize::from(state == ConnectionState::Idle);
        self.idle_count.current.set(self.idle_count.current.get() + is_idle - was_idle);
    }

    /// Whether so many connections are idle that the response should close this connection.
    pub fn exceeds_idle_limit(&self) -> bool {
        self.idle_count.current.get() >= self.idle_count.limit
    }

    /// Records that bytes have been read. Returns whether these bytes start a request.
    pub(super) fn bytes_received(&self) -> bool {
        match self.state.get() {
            // The timeout of the first request runs from the connect, so `state_since` is not reset.
            ConnectionState::AwaitingFirstByte => self.state.set(ConnectionState::ReceivingRequest),
            ConnectionState::Idle => self.enter(ConnectionState::ReceivingRequest),
            _ => return false,
        }
        self.duplicate_content_length.set(false);
        true
    }

    pub(super) fn set_duplicate_content_length(&self, duplicate: bool) {
        self.duplicate_content_length.set(duplicate);
    }

    /// Whether the request's head has more than one `content-length`. The HTTP parser accepts repeated ones without notice,
    /// and two peers that use different ones disagree on where the request ends (RFC 9112, section 11.2).
    pub fn has_duplicate_content_length(&self) -> bool {
        self.duplicate_content_length.get()
    }

    /// Records that all pending writes have been handed to the operating system.
    pub(super) fn writes_flushed(&self) {
        if self.state.get() == ConnectionState::SendingResponse {
            self.enter(ConnectionState::Idle);
        }
    }

    /// Records that a request's head is complete. Returns when the request's body has to be complete.
    pub fn request_arriving(&self) -> Instant {
        if self.state.get() != ConnectionState::ReceivingRequest {
            self.enter(ConnectionState::ReceivingRequest);
        }
        self.state_since.get() + self.timeouts.get().request_read
    }

    /// Records that the request has been accepted, so that a response must follow.
    pub fn request_accepted(&self) {
        self.enter(ConnectionState::Processing);
    }

    /// Whether a request has arrived in part and is not yet accepted or rejected.
    pub fn is_receiving_request(&self) -> bool {
        self.state.get() == ConnectionState::ReceivingRequest
    }

    /// Whether a request has been accepted and has no response yet.
    pub fn is_processing(&self) -> bool {
        self.state.get() == ConnectionState::Processing
    }

    /// Records that the response is being written.
    pub fn response_started(&self, unread_input: UnreadInput) {
        self.unread_input.set(unread_input);
        self.enter(ConnectionState::SendingResponse);
    }

    /// Whether more of a rejected request may still arrive.
    pub fn may_have_unread_input(&self) -> bool {
        self.unread_input.get() == UnreadInput::Possible
    }

    pub(super) fn start_lingering(&self) {
        self.enter(ConnectionState::Lingering);
    }

    pub(super) fn request_close(&self) {
        self.close.notify_one();
    }

    /// Resolves once the connection has to be closed.
    pub async fn close_requested(&self) {
        self.close.notified().await;
    }

    /// Whether the connection has been in its state for longer than the state's timeout.
    pub(super) fn is_overdue(&self, now: Instant, shutting_down: bool) -> bool {
        let max_duration = match self.state.get() {
            ConnectionState::AwaitingFirstByte if shutting_down => SILENT_TIMEOUT_AT_SHUTDOWN,
            ConnectionState::AwaitingFirstByte | ConnectionState::ReceivingRequest => {
                self.timeouts.get().request_read + REJECTION_GRACE
            }
            ConnectionState::Processing => return false,
            ConnectionState::SendingResponse => RESPONSE_WRITE_TIMEOUT,
            ConnectionState::Idle => self.timeouts.get().idle,
            ConnectionState::Lingering => LINGER_TIMEOUT,
        };
        now.saturating_duration_since(self.state_since.get()) >= max_duration
    }

    /// The rank for eviction; `None` for a connection that must not be evicted now.
    pub(super) fn eviction_rank(&self, now: Instant) -> Option<EvictionRank> {
        let (class, min_age) = match self.state.get() {
            ConnectionState::Lingering => (0, Duration::ZERO),
            ConnectionState::AwaitingFirstByte => (1, SILENT_EVICTABLE_AFTER),
            ConnectionState::Idle => (2, IDLE_EVICTABLE_AFTER),
            ConnectionState::ReceivingRequest
            | ConnectionState::Processing
            | ConnectionState::SendingResponse => return None,
        };
        let since = self.state_since.get();
        (now.saturating_duration_since(since) >= min_age).then_some(EvictionRank { class, since })
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        // Leaving the idle state removes the connection from the idle count.
        self.enter(ConnectionState::Lingering);
    }
}
