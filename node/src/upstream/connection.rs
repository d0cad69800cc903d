//! One connection to a backend, and the count of open connections.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{Builder, SendRequest};
use ivyhatch_balancer::{BackendId, Nanos};
use tokio::net::TcpStream;

use crate::http_client::{connect, start_http1};
use crate::response_byte_observer::ResponseByteObserver;
use crate::stream_observer::ObservedStream;
use crate::tcp_options::set_nodelay_if_possible;

/// The largest head of a response; responses with a larger head are invalid.
const MAX_RESPONSE_HEAD_BYTES: usize = 16 * 1024;
const MAX_RESPONSE_HEADERS: usize = 64;
/// An idle connection is kept for the backends' idle timeout over this divisor. If a request is written to a connection while its
/// backend closes it, the connection is reset, and the request may have run.
const IDLE_TIMEOUT_DIVISOR: u64 = 2;

/// A backend at one address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct BackendAddress {
    /// The number of the backend.
    pub backend: BackendId,
    /// The address at which the backend listens.
    pub endpoint: SocketAddr,
}

/// A connection to a backend.
pub struct BackendConnection {
    /// Sends requests on the connection.
    pub sender: SendRequest<Full<Bytes>>,
    /// Observes the responses on the connection.
    pub observer: ResponseByteObserver,
}

impl BackendConnection {
    /// Opens a connection, which counts as open until its task has ended. `None` if the connect fails or takes longer than
    /// `connect_timeout`.
    pub async fn open(
        endpoint: SocketAddr,
        connect_timeout: Duration,
        open_guard: OpenConnectionGuard,
    ) -> Option<Self> {
        let stream = connect(endpoint, connect_timeout).await.ok()?;
        Self::over(stream, endpoint, open_guard).await
    }

    pub(super) async fn over(
        stream: TcpStream,
        endpoint: SocketAddr,
        open_guard: OpenConnectionGuard,
    ) -> Option<Self> {
        set_nodelay_if_possible(&stream);
        let observer = ResponseByteObserver::default();
        let stream = ObservedStream { stream, observer: observer.clone() };
        let mut builder = Builder::new();
        builder.max_buf_size(MAX_RESPONSE_HEAD_BYTES).max_headers(MAX_RESPONSE_HEADERS);
        let sender = start_http1(builder, stream, endpoint, open_guard).await.ok()?;
        Some(Self { sender, observer })
    }
}

/// A connection between two requests.
pub struct IdleConnection {
    /// The connection.
    pub connection: BackendConnection,
    /// When the connection became idle.
    pub idle_since: Nanos,
}

impl IdleConnection {
    /// Whether the connection is open and has been idle so briefly that its backend doesn't close it yet. `backend_idle_timeout`
    /// is the time after which backends may close an idle connection.
    pub fn is_usable(&self, now: Nanos, backend_idle_timeout: Nanos) -> bool {
        !self.connection.sender.is_closed() && is_within_idle_timeout(self.age(now), backend_idle_timeout)
    }

    /// How long the connection has been idle.
    pub fn age(&self, now: Nanos) -> Nanos {
        now.saturating_sub(self.idle_since)
    }
}

/// Whether a connection that has been idle for `age` may be reused.
pub fn is_within_idle_timeout(age: Nanos, backend_idle_timeout: Nanos) -> bool {
    age < backend_idle_timeout / IDLE_TIMEOUT_DIVISOR
}

/// Counts the open connections, both idle and in use. Clones share their count.
#[derive(Clone, Default)]
pub struct OpenConnections(Rc<Cell<usize>>);

impl OpenConnections {
    /// The number of open connections.
    pub fn count(&self) -> usize {
        self.0.get()
    }

    /// Counts one more open connection until the guard is dropped.
    pub fn add(&self) -> OpenConnectionGuard {
        self.0.set(self.0.get() + 1);
        OpenConnectionGuard(self.0.clone())
    }
}

/// Counts one connection as open until it is dropped.
pub struct OpenConnectionGuard(Rc<Cell<usize>>);

impl Drop for OpenConnectionGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}
