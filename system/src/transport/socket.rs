//! TCP sockets: listens, connects from the machine's own address, and sets the options of connections.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::{sleep, timeout};

/// Timeout of the first connect of a series. A connect gets no answer during a partition, or before the remote machine is up. Short at
/// first, so that processes that start at the same time connect to each other soon.
const FIRST_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// The connect timeout doubles with each failed attempt, as the round trip may be long, and is reset after this many attempts.
const CONNECT_TIMEOUT_STEPS: u32 = 3;
/// `TCP_USER_TIMEOUT`: the kernel closes a connection if sent bytes stay unacknowledged for this long, even if nothing more is written.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2500);
/// Maximum number of connections that the kernel has established and the process has not accepted.
const LISTEN_BACKLOG: u32 = 1024;
/// Pause after a failed accept: if the process is out of descriptors, another accept would fail immediately.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Opens a listening socket.
///
/// # Errors
/// If the address can't be bound.
pub fn listen(address: SocketAddrV4) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    // A restarted process must not wait until connections of the previous process have left TIME_WAIT.
    socket.set_reuseaddr(true)?;
    socket.bind(address.into())?;
    socket.listen(LISTEN_BACKLOG)
}

/// Connects from this machine's own address `local`, by which the remote side identifies the sender. The timeout depends on
/// `failed_attempts`, the number of failed attempts since the last connection.
///
/// # Errors
/// If the connection can't be opened within the timeout.
pub async fn connect(
    local: Ipv4Addr,
    remote: SocketAddrV4,
    failed_attempts: u32,
) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddrV4::new(local, 0).into())?;
    let connect_timeout = FIRST_CONNECT_TIMEOUT * 2_u32.pow(failed_attempts % CONNECT_TIMEOUT_STEPS);
    let stream = timeout(connect_timeout, socket.connect(remote.into())).await??;
    set_options(&stream);
    Ok(stream)
}

/// Sets the options of a connection so that small messages are sent immediately, and a lost peer is detected within
/// `UNACKNOWLEDGED_TIMEOUT`. Errors are ignored: without these options, sending and detection are only slower.
pub fn set_options(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let _ = socket2::SockRef::from(stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
}

/// Calls `accepted` with each accepted connection and its remote address; never returns.
pub async fn accept_each(listener: TcpListener, mut accepted: impl FnMut(TcpStream, SocketAddr)) {
    loop {
        match listener.accept().await {
            Ok((stream, remote)) => accepted(stream, remote),
            Err(_) => sleep(ACCEPT_RETRY_INTERVAL).await,
        }
    }
}
