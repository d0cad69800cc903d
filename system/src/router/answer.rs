//! What a client is answered: a whole answer, or a stream that comes event by event.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::HeaderMap;
use hyper::{Response, StatusCode};
use ivyhatch_node::connection_limits::{ClientConnection, UnreadInput};
use ivyhatch_protocol::Nanos;
use tokio::sync::mpsc;

use super::dispatch::Waiting;

/// Pieces of a stream that wait for a client that reads slowly; the server waits beyond that.
const PIECES: usize = 64;

/// The head of a server's answer.
#[derive(Clone, Debug)]
pub struct Head {
    /// Its status.
    pub status: StatusCode,
    /// The headers that go on.
    pub headers: HeaderMap,
}

/// The server's end of a stream. Unless it is said to be complete, the client sees it break off.
#[derive(Clone)]
pub struct Sink {
    pieces: mpsc::Sender<Bytes>,
    complete: Rc<Cell<bool>>,
}

/// The client's end of a stream.
pub struct Pieces {
    pieces: mpsc::Receiver<Bytes>,
    complete: Rc<Cell<bool>>,
}

impl Sink {
    /// Both ends of a stream.
    pub fn new() -> (Self, Pieces) {
        let (sender, receiver) = mpsc::channel(PIECES);
        let complete = Rc::new(Cell::new(false));
        (Self { pieces: sender, complete: complete.clone() }, Pieces { pieces: receiver, complete })
    }

    /// Passes a piece on, once there is room for it. False where the client has gone.
    pub async fn pass(&self, piece: Bytes) -> bool {
        self.pieces.send(piece).await.is_ok()
    }

    /// All of it has been passed on.
    pub fn complete(&self) {
        self.complete.set(true);
    }
}

/// A stream that can't go on.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the stream has broken off")]
pub struct Broken;

/// The final answer to a request.
pub enum Reply {
    /// A server's, whole.
    Whole(Head, Bytes),
    /// A server's, which has begun.
    Stream(Head, Pieces),
    /// Refused: it has not run, and the client may come again after this.
    Refused(Nanos),
    /// Failed, with no promise.
    Failed(StatusCode, &'static str),
}

/// The body of an answer.
pub enum AnswerBody {
    /// Whole.
    Whole(Option<Bytes>),
    /// Event by event.
    Stream(Streamed),
}

/// A stream on its way to a client.
pub struct Streamed {
    pieces: Pieces,
    connection: Rc<ClientConnection>,
    /// Dropped with the body: a client that leaves takes its request with it.
    _waiting: Waiting,
}

impl AnswerBody {
    /// A whole body.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()))
    }

    /// A stream.
    pub fn stream(pieces: Pieces, connection: Rc<ClientConnection>, waiting: Waiting) -> Self {
        Self::Stream(Streamed { pieces, connection, _waiting: waiting })
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        match self.get_mut() {
            Self::Whole(bytes) => {
                Poll::Ready(bytes.take().filter(|bytes| !bytes.is_empty()).map(|b| Ok(Frame::data(b))))
            }
            Self::Stream(stream) => stream.pieces.pieces.poll_recv(cx).map(|piece| match piece {
                Some(piece) => Some(Ok(Frame::data(piece))),
                None => {
                    stream.connection.response_started(UnreadInput::None);
                    (!stream.pieces.complete.get()).then_some(Err(Broken))
                }
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(bytes) if bytes.as_ref().is_none_or(Bytes::is_empty))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}

/// A plain answer of the router's own.
pub fn plain(status: StatusCode, text: &str) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::whole(text.to_owned()));
    *response.status_mut() = status;
    response
}
