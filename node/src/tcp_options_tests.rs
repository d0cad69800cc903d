use std::net;
use std::os::fd::OwnedFd;
use std::os::unix::net as unix;

use tokio::net::{TcpStream, UnixStream};

/// A connection whose operating system rejects `TCP_NODELAY`, and its other end: the pair is no TCP underneath.
pub(crate) fn stream_that_rejects_nodelay() -> (TcpStream, UnixStream) {
    let (ours, theirs) = unix::UnixStream::pair().expect("a pair");
    ours.set_nonblocking(true).expect("non-blocking");
    theirs.set_nonblocking(true).expect("non-blocking");
    let ours = net::TcpStream::from(OwnedFd::from(ours));
    let ours = TcpStream::from_std(ours).expect("a stream");
    assert!(ours.set_nodelay(true).is_err(), "the option can be set: the test shows nothing");
    (ours, UnixStream::from_std(theirs).expect("a stream"))
}
