use std::net;
use std::os::fd::OwnedFd;
use std::os::unix::net as unix;

use tokio::net::{TcpStream, UnixStream};

/// Both ends of a connection on which the operating system rejects `TCP_NODELAY`: a pair of Unix sockets, one of them wrapped as
/// a TCP stream.
pub(crate) fn stream_that_rejects_nodelay() -> (TcpStream, UnixStream) {
    let (ours, theirs) = unix::UnixStream::pair().expect("a pair");
    ours.set_nonblocking(true).expect("non-blocking");
    theirs.set_nonblocking(true).expect("non-blocking");
    let ours = net::TcpStream::from(OwnedFd::from(ours));
    let ours = TcpStream::from_std(ours).expect("a stream");
    assert!(ours.set_nodelay(true).is_err(), "TCP_NODELAY can be set: the test would have no effect");
    (ours, UnixStream::from_std(theirs).expect("a stream"))
}
