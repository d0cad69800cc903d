//! A socket wrapper that reports reads and flushes to an observer, below the HTTP library.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Is notified of reads and flushes on a socket.
pub trait StreamObserver {
    /// Called after a read that returned `bytes`, which are never empty.
    fn on_read(&mut self, bytes: &[u8]);

    /// Called when a flush has ended: all pending writes have been handed to the operating system, or the flush has failed.
    fn on_flush(&mut self) {}
}

/// A socket whose reads and flushes are reported to an observer.
pub struct ObservedStream<O, S = TcpStream> {
    /// The underlying socket.
    pub stream: S,
    /// The observer that is notified of each read and each completed flush.
    pub observer: O,
}

impl<O: StreamObserver + Unpin, S: AsyncRead + Unpin> AsyncRead for ObservedStream<O, S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if buffer.filled().len() > before {
            self.observer.on_read(&buffer.filled()[before..]);
        }
        read
    }
}

impl<O: StreamObserver + Unpin, S: AsyncWrite + Unpin> AsyncWrite for ObservedStream<O, S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(cx);
        if flushed.is_ready() {
            self.observer.on_flush();
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
