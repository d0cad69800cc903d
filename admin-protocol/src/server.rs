//! The server side: a listener and its connections.

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

/// The socket's file permissions: read and write, for its owner alone.
const SOCKET_MODE: u32 = 0o600;
/// The pause after the system has failed to accept a connection, which it does when it lacks descriptors.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// The limits of a server's connections.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// The longest request, in bytes. A longer one ends its connection.
    pub max_line_bytes: u64,
    /// The longest time until a request is complete, and until a response is written. The connection ends
    /// after that.
    pub idle_timeout: Duration,
    /// The number of concurrent connections; further ones wait to be accepted.
    pub max_connections: usize,
}

/// Listens on a socket that only this user may connect to. A socket file that an earlier process has left is
/// replaced.
///
/// # Errors
/// `AddrInUse` if another process accepts connections there; any error of the system in removing the old
/// file, binding the socket or setting its permissions.
pub fn listen(path: &Path) -> io::Result<UnixListener> {
    if BlockingStream::connect(path).is_ok() {
        return Err(io::Error::new(ErrorKind::AddrInUse, "somebody answers there already"));
    }
    match fs::remove_file(path) {
        Err(error) if error.kind() != ErrorKind::NotFound => return Err(error),
        _ => {}
    }
    let listener = UnixListener::bind(path)?;
    fs::set_permissions(path, Permissions::from_mode(SOCKET_MODE))?;
    Ok(listener)
}

/// Answers requests for as long as it is polled, in a `LocalSet`. A request that is no `Q` gets a response
/// with an `error` field.
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
                    // An error ends this connection only.
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
