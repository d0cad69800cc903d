//! TCP sockets: listening, connecting from the machine's own address, and the options of a connection.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::{sleep, timeout};

/// The first connect of a series is abandoned after this: behind a partition, or before its machine is up, nothing answers. Short
/// first, so that processes that start together find each other.
const FIRST_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// The timeout doubles with each attempt, and begins anew after this many: somewhere the round trip is long.
const CONNECT_TIMEOUT_STEPS: u32 = 3;
/// `TCP_USER_TIMEOUT`: unacknowledged bytes end a connection after this, also where nothing more is written.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2500);
/// Connections that the kernel completes before they are accepted.
const LISTEN_BACKLOG: u32 = 1024;
/// Pause after a failed accept: out of descriptors, the next one would fail at once.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Opens a listening socket.
///
/// # Errors
/// Where the address can't be bound.
pub fn listen(address: SocketAddrV4) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    // A restart must not wait until the last process's connections leave TIME_WAIT.
    socket.set_reuseaddr(true)?;
    socket.bind(address.into())?;
    socket.listen(LISTEN_BACKLOG)
}

/// Connects from this machine's own address `local`, by which the other side knows the sender. The timeout depends on how many
/// attempts have failed before.
///
/// # Errors
/// Where the connection can't be opened within the timeout.
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

/// Sends small messages at once and detects a lost peer. Best effort: a connection without these options is only slower to notice.
pub fn set_options(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let _ = socket2::SockRef::from(stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
}

/// Hands each accepted connection and its remote address to `accepted`; never returns.
pub async fn accept_each(listener: TcpListener, mut accepted: impl FnMut(TcpStream, SocketAddr)) {
    loop {
        match listener.accept().await {
            Ok((stream, remote)) => accepted(stream, remote),
            Err(_) => sleep(ACCEPT_RETRY_INTERVAL).await,
        }
    }
}
