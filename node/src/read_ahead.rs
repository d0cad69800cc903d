//! A client socket that can be read ahead of the HTTP parser, to detect that the client has disconnected.

use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use bytes::BytesMut;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// At most this many bytes are read ahead of the parser: no request is longer. If a client sends more behind an open request,
/// its disconnect is not detected.
const MAX_READ_AHEAD_BYTES: usize = 128 * 1024;
const READ_CHUNK_BYTES: usize = 4096;

struct BufferedSocket {
    stream: TcpStream,
    /// Bytes that were read ahead and that the parser has not consumed yet.
    buffered: BytesMut,
}

/// A client's socket that can be read ahead of the parser. While bytes are pending behind a request the parser doesn't read, and
/// so wouldn't detect that the client has disconnected. Clones are handles on one socket and must stay in one task.
#[derive(Clone)]
pub struct ReadAheadStream(Rc<RefCell<BufferedSocket>>);

impl ReadAheadStream {
    /// Wraps `stream` with an empty buffer.
    pub fn new(stream: TcpStream) -> Self {
        Self(Rc::new(RefCell::new(BufferedSocket { stream, buffered: BytesMut::new() })))
    }

    /// Reads ahead into the buffer. Ready once the client has closed its sending side or the connection has failed; pending
    /// while the buffer is full.
    pub fn poll_disconnected(&self, cx: &mut Context<'_>) -> Poll<()> {
        let BufferedSocket { stream, buffered } = &mut *self.0.borrow_mut();
        let mut chunk = [0; READ_CHUNK_BYTES];
        while buffered.len() < MAX_READ_AHEAD_BYTES {
            let mut buffer = ReadBuf::new(&mut chunk);
            match ready!(Pin::new(&mut *stream).poll_read(cx, &mut buffer)) {
                Ok(()) if !buffer.filled().is_empty() => buffered.extend_from_slice(buffer.filled()),
                Ok(()) | Err(_) => return Poll::Ready(()),
            }
        }
        Poll::Pending
    }
}

impl AsyncRead for ReadAheadStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let BufferedSocket { stream, buffered } = &mut *self.0.borrow_mut();
        if buffered.is_empty() {
            return Pin::new(stream).poll_read(cx, buffer);
        }
        let length = buffered.len().min(buffer.remaining());
        buffer.put_slice(&buffered.split_to(length));
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ReadAheadStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0.borrow_mut().stream).poll_write(cx, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0.borrow_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0.borrow_mut().stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0.borrow_mut().stream).poll_write_vectored(cx, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.borrow().stream.is_write_vectored()
    }
}
