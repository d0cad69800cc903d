//! What the request table hands to a client's task: a complete response, a stream that has begun, or a rejection.

use std::cell::Cell;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::StatusCode;
use hyper::header::HeaderMap;
use tokio::sync::mpsc;

use super::rejection::Rejection;

/// Chunks of a stream queued for a client that reads slowly; beyond that its server is read no further.
const MAX_QUEUED_CHUNKS: usize = 64;

/// The head of a server's response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// The status.
    pub status: StatusCode,
    /// The end-to-end headers.
    pub headers: HeaderMap,
}

/// A server's response, received to its end.
pub struct CompleteResponse {
    /// The head.
    pub head: ResponseHead,
    /// The body.
    pub body: Bytes,
}

/// The response to a client's request. Exactly one is sent for each request.
pub enum ClientResponse {
    /// A server's complete response.
    Complete(CompleteResponse),
    /// A server's response that has begun; its body follows.
    Stream(ResponseHead, StreamReceiver),
    /// The router's own response.
    Rejected(Rejection),
}

/// The server's end of a stream. Unless it is marked complete, the client sees its connection break when all senders are dropped.
#[derive(Clone)]
pub struct StreamSender {
    chunks: mpsc::Sender<Bytes>,
    is_complete: Rc<Cell<bool>>,
}

/// The client's end of a stream.
pub struct StreamReceiver {
    chunks: mpsc::Receiver<Bytes>,
    is_complete: Rc<Cell<bool>>,
}

/// Both ends of a stream.
pub fn stream() -> (StreamSender, StreamReceiver) {
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_CHUNKS);
    let is_complete = Rc::new(Cell::new(false));
    let stream_sender = StreamSender { chunks: sender, is_complete: is_complete.clone() };
    (stream_sender, StreamReceiver { chunks: receiver, is_complete })
}

impl StreamSender {
    /// Queues a chunk once there is room for it. False where the client has disconnected.
    pub async fn send(&self, chunk: Bytes) -> bool {
        self.chunks.send(chunk).await.is_ok()
    }

    /// Marks the stream as complete: its end is no failure.
    pub fn mark_complete(&self) {
        self.is_complete.set(true);
    }
}

impl StreamReceiver {
    /// The next chunk; none after the last.
    pub fn poll_chunk(&mut self, context: &mut Context<'_>) -> Poll<Option<Bytes>> {
        self.chunks.poll_recv(context)
    }

    /// Whether the stream was marked as complete.
    pub fn is_complete(&self) -> bool {
        self.is_complete.get()
    }
}
