//! The client side: each request uses a connection of its own.

use std::io;
use std::path::Path;
use std::time::Duration;

use serde_json::Value;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::UnixStream;
use tokio::time;

/// The longest response that is accepted, in bytes, including its newline.
const MAX_RESPONSE_BYTES: u64 = 8 << 20;

/// Why a call has no response. After any error but [`CallError::Unreachable`] the server may have executed the
/// request.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// Connecting to the socket failed: no process listens on it, or this user may not connect. The request was not
    /// sent.
    #[error("nobody answers: {0}")]
    Unreachable(io::Error),
    /// The connection failed, or the server closed it before sending a response.
    #[error("it broke off: {0}")]
    ConnectionLost(io::Error),
    /// No complete response arrived within this timeout.
    #[error("no answer within {0:?}")]
    TimedOut(Duration),
    /// The response was cut off before its newline, or is longer than 8 MiB.
    #[error("it answered what is no answer: a line without an end")]
    UnterminatedResponse,
    /// The response is not valid JSON.
    #[error("it answered what is no answer: {0}")]
    MalformedResponse(serde_json::Error),
}

/// Connects to `socket`, sends a request and waits for the response. `timeout` covers all three steps.
///
/// # Errors
/// See [`CallError`]. A response with an `error` field is not an error here.
pub async fn call(socket: &Path, request: &Value, timeout: Duration) -> Result<Value, CallError> {
    let response = exchange(socket, request);
    time::timeout(timeout, response).await.unwrap_or(Err(CallError::TimedOut(timeout)))
}

async fn exchange(socket: &Path, request: &Value) -> Result<Value, CallError> {
    let stream = UnixStream::connect(socket).await.map_err(CallError::Unreachable)?;
    let (reader, mut writer) = stream.into_split();
    writer.write_all(format!("{request}\n").as_bytes()).await.map_err(CallError::ConnectionLost)?;
    let mut line = Vec::new();
    let mut reader = BufReader::new(reader).take(MAX_RESPONSE_BYTES);
    reader.read_until(b'\n', &mut line).await.map_err(CallError::ConnectionLost)?;
    if line.is_empty() {
        return Err(CallError::ConnectionLost(io::ErrorKind::UnexpectedEof.into()));
    }
    if !line.ends_with(b"\n") {
        return Err(CallError::UnterminatedResponse);
    }
    serde_json::from_slice(&line).map_err(CallError::MalformedResponse)
}
