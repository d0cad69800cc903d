//! The body of a response to a client: either complete or a stream of chunks.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::Response;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::RETRY_AFTER;
use ivyhatch_node::connection_limits::{ClientConnection, UnreadInput};

use super::client_response::{CompleteResponse, ResponseHead, StreamReceiver};
use super::dispatch::RequestGuard;
use super::rejection::Rejection;

/// A stream that ended before it was complete. The client's connection is closed without the last chunk, so that the client can detect
/// this.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the server's stream ended before it was complete")]
pub struct StreamInterrupted;

/// The body of a response to a client.
pub enum ResponseBody {
    /// A complete body; `None` once hyper has taken it.
    Complete(Option<Bytes>),
    /// A stream whose chunks are still being received.
    Stream(StreamBody),
}

/// A stream of chunks that is forwarded to a client.
pub struct StreamBody {
    chunks: StreamReceiver,
    connection: Rc<ClientConnection>,
    /// Dropped together with the body: if the client disconnects, its request is cancelled.
    _request: RequestGuard,
}

/// Builds the response to the client from a server's complete response.
pub fn complete(response: CompleteResponse) -> Response<ResponseBody> {
    with_head(response.head, ResponseBody::Complete(Some(response.body)))
}

/// Builds the response to the client from a server's stream. Dropping its body cancels `request`.
pub fn streaming(
    head: ResponseHead,
    chunks: StreamReceiver,
    connection: Rc<ClientConnection>,
    request: RequestGuard,
) -> Response<ResponseBody> {
    with_head(head, ResponseBody::Stream(StreamBody { chunks, connection, _request: request }))
}

/// Builds the response to a client whose request is rejected by the router.
pub fn rejected(rejection: Rejection) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::Complete(Some(Bytes::from(rejection.to_string()))));
    *response.status_mut() = rejection.status();
    if let Some(retry_after) = rejection.retry_after() {
        response.headers_mut().insert(RETRY_AFTER, retry_after);
    }
    response
}

fn with_head(head: ResponseHead, body: ResponseBody) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = head.headers;
    response
}

impl StreamBody {
    fn poll_frame(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamInterrupted>>> {
        self.chunks.poll_chunk(context).map(|chunk| match chunk {
            Some(chunk) => Some(Ok(Frame::data(chunk))),
            None => {
                self.connection.response_started(UnreadInput::None);
                (!self.chunks.is_complete()).then_some(Err(StreamInterrupted))
            }
        })
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = StreamInterrupted;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamInterrupted>>> {
        match self.get_mut() {
            Self::Complete(body) => {
                let body = body.take().filter(|body| !body.is_empty());
                Poll::Ready(body.map(|body| Ok(Frame::data(body))))
            }
            Self::Stream(stream) => stream.poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Complete(body) if body.as_ref().is_none_or(Bytes::is_empty))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Complete(body) => SizeHint::with_exact(body.as_ref().map_or(0, Bytes::len) as u64),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}
