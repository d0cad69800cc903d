//! The server side: the listening socket, and the connections that it accepts.

use std::fs::{self, Permissions};
use std::io::{self, ErrorKind};
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::UnixStream as BlockingStream;
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

/// File permissions of the socket: only its owner may connect.
const SOCKET_MODE: u32 = 0o600;
/// Pause after `accept` has failed, as it does while the process is out of file descriptors; a retry at once would
/// spin.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Limits on a server's connections.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// The longest request, in bytes, including its newline. A longer request closes its connection without a response.
    pub max_line_bytes: u64,
    /// Timeout for receiving a complete request, counted from the previous response, and for writing a response.
    /// The connection is closed when it expires.
    pub idle_timeout: Duration,
    /// Maximum number of concurrent connections; further clients wait in the socket's backlog.
    pub max_connections: usize,
}

/// Listens on a socket that only this user may connect to. A stale socket file of an earlier process is replaced.
///
/// # Errors
/// `AddrInUse` if another process already accepts connections on `path`; otherwise the I/O error of removing the
/// stale file, binding the socket or setting its permissions.
pub fn listen(path: &Path) -> io::Result<UnixListener> {
    if BlockingStream::connect(path).is_ok() {
        return Err(io::Error::new(ErrorKind::AddrInUse, "another process already listens on this socket"));
    }
    match fs::remove_file(path) {
        Err(error) if error.kind() != ErrorKind::NotFound => return Err(error),
        _ => {}
    }
    let listener = UnixListener::bind(path)?;
    fs::set_permissions(path, Permissions::from_mode(SOCKET_MODE))?;
    Ok(listener)
}

/// Accepts connections and answers each request with `answer`, until the future is dropped. Has to run in a
/// `LocalSet`. A request that can't be deserialized to `Q` gets a response with an `error` field.
pub async fn serve<Q: DeserializeOwned + 'static>(
    listener: UnixListener,
    limits: ConnectionLimits,
    answer: impl Fn(Q) -> Value + 'static,
) {
    let permits = Arc::new(Semaphore::new(limits.max_connections));
    let answer = Rc::new(answer);
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, _)) => {
                let answer = answer.clone();
                spawn_local(async move {
                    // An I/O error or timeout closes this connection only.
                    let _ = serve_connection(stream, limits, &*answer).await;
                    drop(permit);
                });
            }
            Err(_) => sleep(ACCEPT_RETRY_INTERVAL).await,
        }
    }
}

async fn serve_connection<Q: DeserializeOwned>(
    stream: UnixStream,
    limits: ConnectionLimits,
    answer: &impl Fn(Q) -> Value,
) -> io::Result<()> {
    let (reader, mut writer) = stream.into_split();
    let mut reader = BufReader::new(reader);
    loop {
        let mut line = String::new();
        timeout(limits.idle_timeout, (&mut reader).take(limits.max_line_bytes).read_line(&mut line))
            .await??;
        if !line.ends_with('\n') {
            return Ok(());
        }
        let response = match serde_json::from_str(&line) {
            Ok(request) => answer(request),
            Err(error) => json!({"error": error.to_string()}),
        };
        timeout(limits.idle_timeout, writer.write_all(format!("{response}\n").as_bytes())).await??;
    }
}
