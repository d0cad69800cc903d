//! The client side: one request over a connection of its own.

use std::io;
use std::path::Path;
use std::time::Duration;

use serde_json::Value;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::UnixStream;
use tokio::time;

/// The longest response, in bytes.
const MAX_RESPONSE_BYTES: u64 = 8 << 20;

/// Why there is no response. After any error but [`CallError::Unreachable`] the request may have been carried
/// out.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No process listens on the socket, or it can't be connected to.
    #[error("nobody answers: {0}")]
    Unreachable(io::Error),
    /// The connection broke off.
    #[error("it broke off: {0}")]
    ConnectionLost(io::Error),
    /// There was no response within this time.
    #[error("no answer within {0:?}")]
    TimedOut(Duration),
    /// The response is longer than is accepted, or was cut off.
    #[error("it answered what is no answer: a line without an end")]
    UnterminatedResponse,
    /// The response is no JSON.
    #[error("it answered what is no answer: {0}")]
    MalformedResponse(serde_json::Error),
}

/// Sends a request and waits for the response.
///
/// # Errors
/// See [`CallError`].
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
