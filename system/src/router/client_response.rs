//! The response that the request table sends to a client's task: a complete response, a stream that has begun, or a rejection.

use std::cell::Cell;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::StatusCode;
use hyper::header::HeaderMap;
use tokio::sync::mpsc;

use super::rejection::Rejection;

/// Limit of a stream's chunks queued for a client that reads slowly. While the queue is full, nothing is read from the server.
const MAX_QUEUED_CHUNKS: usize = 64;

/// The head of a server's response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// The server's status code, forwarded unchanged.
    pub status: StatusCode,
    /// The headers, without hop-by-hop headers.
    pub headers: HeaderMap,
}

/// A server's response that has been received completely.
pub struct CompleteResponse {
    /// Status and headers.
    pub head: ResponseHead,
    /// The complete body.
    pub body: Bytes,
}

/// The response to a client's request. Exactly one is sent for each request.
pub enum ClientResponse {
    /// A server's complete response.
    Complete(CompleteResponse),
    /// The head of a server's stream; the events follow on the receiver.
    Stream(ResponseHead, StreamReceiver),
    /// A response made by the router, as no server's response can be forwarded.
    Rejected(Rejection),
}

/// The sending end of a stream to a client. If all senders are dropped before the stream is marked as complete, the client's connection
/// is closed in the middle of the response.
#[derive(Clone)]
pub struct StreamSender {
    chunks: mpsc::Sender<Bytes>,
    is_complete: Rc<Cell<bool>>,
}

/// The receiving end of a stream, read by the client's connection.
pub struct StreamReceiver {
    chunks: mpsc::Receiver<Bytes>,
    is_complete: Rc<Cell<bool>>,
}

/// Creates the two ends of a stream, which holds up to [`MAX_QUEUED_CHUNKS`] chunks.
pub fn stream() -> (StreamSender, StreamReceiver) {
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_CHUNKS);
    let is_complete = Rc::new(Cell::new(false));
    let stream_sender = StreamSender { chunks: sender, is_complete: is_complete.clone() };
    (stream_sender, StreamReceiver { chunks: receiver, is_complete })
}

impl StreamSender {
    /// Queues a chunk, waiting while the queue is full. Returns false if the client has disconnected.
    pub async fn send(&self, chunk: Bytes) -> bool {
        self.chunks.send(chunk).await.is_ok()
    }

    /// Marks the stream as complete. Its end is then reported to the client as a regular end of the response.
    pub fn mark_complete(&self) {
        self.is_complete.set(true);
    }
}

impl StreamReceiver {
    /// Polls for the next chunk; `None` once all senders are dropped and the queue is empty.
    pub fn poll_chunk(&mut self, context: &mut Context<'_>) -> Poll<Option<Bytes>> {
        self.chunks.poll_recv(context)
    }

    /// Whether a sender has marked the stream as complete.
    pub fn is_complete(&self) -> bool {
        self.is_complete.get()
    }
}
