//! One JSON object a line, out and back over a Unix socket, by a deadline. Whoever answers garbage, too much, too late or not
//! at all is an error of its own kind.

use std::path::Path;
use std::time::Duration;

use serde_json::Value;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::UnixStream;
use tokio::time::timeout;

/// No answer is longer.
const LONGEST: u64 = 8 << 20;

/// Why there is no answer.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// Nobody listens there.
    #[error("nobody answers: {0}")]
    Nobody(std::io::Error),
    /// It broke off. What was asked may have been done.
    #[error("it broke off: {0}")]
    Broken(std::io::Error),
    /// It took too long. What was asked may have been done.
    #[error("no answer within {0:?}")]
    Late(Duration),
    /// It answered something that is no answer.
    #[error("it answered what is no answer: {0}")]
    Garbage(String),
}

/// Asks once.
///
/// # Errors
/// See [`WireError`]; all but `Nobody` leave open whether it was done.
pub async fn ask(socket: &Path, what: &Value, within: Duration) -> Result<Value, WireError> {
    let answer = async {
        let stream = UnixStream::connect(socket).await.map_err(WireError::Nobody)?;
        let (reader, mut writer) = stream.into_split();
        writer.write_all(format!("{what}\n").as_bytes()).await.map_err(WireError::Broken)?;
        let mut line = Vec::new();
        let mut reader = BufReader::new(reader).take(LONGEST);
        reader.read_until(b'\n', &mut line).await.map_err(WireError::Broken)?;
        if line.is_empty() {
            return Err(WireError::Broken(std::io::ErrorKind::UnexpectedEof.into()));
        }
        if !line.ends_with(b"\n") {
            return Err(WireError::Garbage("a line without an end".into()));
        }
        serde_json::from_slice(&line).map_err(|error| WireError::Garbage(error.to_string()))
    };
    timeout(within, answer).await.unwrap_or(Err(WireError::Late(within)))
}
