//! The HTTP/1 client for calls to discovery.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use tokio::net::TcpStream;

use super::list::BackendList;
use crate::http_client::{ConnectError, connect, start_http1};
use crate::tcp_options::set_nodelay_if_possible;

/// The path of the list of backends.
pub const LIST_PATH: &str = "/registry/instances";
/// The largest list that is accepted; enough for thousands of backends.
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;

/// Why a call to discovery returned no list.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The connect failed.
    #[error(transparent)]
    Connect(#[from] ConnectError),
    /// The connection failed during the call.
    #[error("connection failed: {0}")]
    Connection(#[from] hyper::Error),
    /// The body of the response was truncated or larger than [`MAX_LIST_BYTES`].
    #[error("response body truncated or too large: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// Discovery responded with another status than 200.
    #[error("response status {0}")]
    Status(StatusCode),
    /// The body of the response is not a valid list.
    #[error("malformed list: {0}")]
    Malformed(#[from] serde_json::Error),
    /// No response arrived within the call's timeout.
    #[error("no response in time")]
    TimedOut,
    /// The target of the call is not a valid URI.
    #[error("invalid request: {0}")]
    Request(#[from] hyper::http::Error),
}

/// The connection to discovery at one address, opened when a call needs it.
pub struct DiscoveryConnection {
    at: SocketAddr,
    sender: Option<SendRequest<Empty<Bytes>>>,
}

impl DiscoveryConnection {
    /// A connection to `at`, opened by the first call.
    pub fn new(at: SocketAddr) -> Self {
        Self { at, sender: None }
    }

    /// Closes the connection; the next call opens a new one.
    pub fn close(&mut self) {
        self.sender = None;
    }

    /// Requests the list at `target`. Reuses the connection of the last call if that call succeeded.
    ///
    /// # Errors
    /// [`CallError`] if no list arrives. The call has no overall timeout: the caller must limit its duration.
    pub async fn fetch(&mut self, target: &str, connect_timeout: Duration) -> Result<BackendList, CallError> {
        let mut sender = match self.sender.take().filter(|sender| !sender.is_closed()) {
            Some(sender) => sender,
            None => open_over(connect(self.at, connect_timeout).await?).await?,
        };
        sender.ready().await?;
        let request = Request::get(target).header(HOST, self.at.to_string()).body(Empty::new())?;
        let response = sender.send_request(request).await?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_LIST_BYTES);
        let body = body.collect().await.map_err(CallError::Body)?;
        if status != StatusCode::OK {
            return Err(CallError::Status(status));
        }
        self.sender = Some(sender);
        Ok(serde_json::from_slice(&body.to_bytes())?)
    }
}

/// Starts HTTP/1 to discovery over `stream`.
pub(super) async fn open_over(stream: TcpStream) -> hyper::Result<SendRequest<Empty<Bytes>>> {
    set_nodelay_if_possible(&stream);
    start_http1(Builder::new(), stream, "discovery", ()).await
}
