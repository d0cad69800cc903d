//! HTTP/1 client connections over TCP, with any type of request body.

use std::fmt::Display;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use hyper::body::Body;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Why a TCP connection was not established.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// The operating system reported an error.
    #[error("connect failed: {0}")]
    Io(#[from] io::Error),
    /// The connect exceeded its timeout.
    #[error("connect timed out")]
    TimedOut,
}

/// Connects to `at` within `connect_timeout`.
///
/// # Errors
/// [`ConnectError`] if the connection is refused, fails or takes longer than `connect_timeout`.
pub async fn connect(at: SocketAddr, connect_timeout: Duration) -> Result<TcpStream, ConnectError> {
    match timeout(connect_timeout, TcpStream::connect(at)).await {
        Ok(connected) => Ok(connected?),
        Err(_) => Err(ConnectError::TimedOut),
    }
}

/// Runs HTTP/1 over `stream` in a task of its own, which ends with the connection and drops `guard` at its end. `peer` names
/// the remote end in the log.
///
/// # Errors
/// The HTTP library's error if the connection does not get ready for requests.
pub async fn start_http1<S, B, G>(
    builder: Builder,
    stream: S,
    peer: impl Display + 'static,
    guard: G,
) -> hyper::Result<SendRequest<B>>
where
    S: AsyncRead + AsyncWrite + Unpin + 'static,
    B: Body<Data: Send, Error: std::error::Error + Send + Sync> + 'static,
    G: 'static,
{
    let (sender, connection) = builder.handshake(TokioIo::new(stream)).await?;
    spawn_local(async move {
        let _guard = guard;
        if let Err(error) = connection.await {
            tracing::debug!("connection to {peer} failed: {error}");
        }
    });
    Ok(sender)
}
