//! Options of TCP sockets.

use tokio::net::TcpStream;

/// Disables Nagle's algorithm on `stream`. Best effort: a connection on which the option can't be set still works and is
/// only slower, so a failure must never close the connection (docs/incidents/fleet-zone.md: `EBADF` on connections that carried answers).
pub fn set_nodelay_if_possible(stream: &TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!("TCP_NODELAY not set: {error}");
    }
}

#[cfg(test)]
#[path = "tcp_options_tests.rs"]
pub(crate) mod tests;
