//! One JSON object a line, out and back over a Unix socket, by a deadline. Whoever answers garbage, too much, too late or not
//! at all is an error of its own kind.

use std::io::{Error, ErrorKind, Result as IoResult};
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::Semaphore;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

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

/// What a server lets those who ask do.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// No line is longer, in bytes.
    pub line: u64,
    /// Who says nothing for so long, or does not read, is let go.
    pub patience: Duration,
    /// Connections at once; others wait.
    pub connections: usize,
}

/// Listens, for this user alone. A file that an earlier process left there is taken away, one on which somebody answers is not.
///
/// # Errors
/// Where somebody answers there (`AddrInUse`), or the system gives no socket.
pub fn listen(path: &Path) -> IoResult<UnixListener> {
    if std::os::unix::net::UnixStream::connect(path).is_ok() {
        return Err(Error::new(ErrorKind::AddrInUse, "somebody answers there already"));
    }
    match std::fs::remove_file(path) {
        Err(error) if error.kind() != ErrorKind::NotFound => return Err(error),
        _ => {}
    }
    let listener = UnixListener::bind(path)?;
    std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o600))?;
    Ok(listener)
}

/// Answers for as long as it is polled, in a `LocalSet`. What is not understood is answered with an `error`; a line that is
/// too long ends its connection.
pub async fn serve<A: DeserializeOwned + 'static>(
    listener: UnixListener,
    bounds: Bounds,
    answer: impl Fn(A) -> Value + 'static,
) {
    let (seats, answer) = (Arc::new(Semaphore::new(bounds.connections)), Rc::new(answer));
    loop {
        let Ok(seat) = seats.clone().acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, _)) => {
                let answer = answer.clone();
                spawn_local(async move {
                    let _ = converse(stream, bounds, &*answer).await;
                    drop(seat);
                });
            }
            Err(_) => sleep(Duration::from_millis(20)).await,
        }
    }
}

async fn converse<A: DeserializeOwned>(
    stream: UnixStream,
    bounds: Bounds,
    answer: &impl Fn(A) -> Value,
) -> IoResult<()> {
    let (reader, mut writer) = stream.into_split();
    let mut reader = BufReader::new(reader);
    loop {
        let mut line = String::new();
        timeout(bounds.patience, (&mut reader).take(bounds.line).read_line(&mut line)).await??;
        if !line.ends_with('\n') {
            return Ok(());
        }
        let said = match serde_json::from_str(&line) {
            Ok(ask) => answer(ask),
            Err(error) => json!({"error": error.to_string()}),
        };
        timeout(bounds.patience, writer.write_all(format!("{said}\n").as_bytes())).await??;
    }
}
