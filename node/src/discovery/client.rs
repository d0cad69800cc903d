//! One call to discovery over HTTP/1.

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

/// The path of the list.
pub const LIST_PATH: &str = "/registry/instances";
/// A list of thousands of backends fits.
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;

/// Why a call to discovery brought no list.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The connect failed.
    #[error(transparent)]
    Connect(#[from] ConnectError),
    /// The connection failed during the call.
    #[error("the call failed: {0}")]
    Connection(#[from] hyper::Error),
    /// The body broke off or was too long.
    #[error("the response broke off or was too long: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// Discovery rejected the call.
    #[error("response status {0}")]
    Status(StatusCode),
    /// The body is no list.
    #[error("malformed list: {0}")]
    Malformed(#[from] serde_json::Error),
    /// No response arrived in time.
    #[error("no response in time")]
    TimedOut,
    /// The target is no valid URI.
    #[error("invalid request: {0}")]
    Request(#[from] hyper::http::Error),
}

/// The connection to discovery at one address, opened as needed.
pub struct DiscoveryConnection {
    at: SocketAddr,
    sender: Option<SendRequest<Empty<Bytes>>>,
}

impl DiscoveryConnection {
    /// A connection to `at` that is not open yet.
    pub fn new(at: SocketAddr) -> Self {
        Self { at, sender: None }
    }

    /// Closes the connection; the next call opens another.
    pub fn close(&mut self) {
        self.sender = None;
    }

    /// Asks for the list at `target`. Reuses the connection of the last call if that succeeded.
    ///
    /// # Errors
    /// [`CallError`] where no list arrives; the call has no overall timeout of its own.
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

/// Speaks HTTP/1 to discovery over `stream`.
pub(super) async fn open_over(stream: TcpStream) -> hyper::Result<SendRequest<Empty<Bytes>>> {
    set_nodelay_if_possible(&stream);
    start_http1(Builder::new(), stream, "discovery", ()).await
}
