//! The receive loop of a connection: decodes frames and passes each message to a handler. The loop owns the decoder; if the loop is
//! cancelled, the received part of an incomplete message is dropped.

use std::io;
use std::time::Duration;

use ivyhatch_protocol::frame::{Decoder, FrameError};
use speedy::{LittleEndian, Readable};
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::task::yield_now;
use tokio::time::timeout;

/// The loop yields to other tasks between decoding and handling a message of at least this length.
const LARGE_MESSAGE_BYTES: usize = 64 * 1024;
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Why a connection has ended.
#[derive(Debug, thiserror::Error)]
pub enum ConnectionError {
    /// The socket failed, or the peer closed the connection.
    #[error("{0}")]
    Socket(#[from] io::Error),
    /// The peer sent bytes that are not a frame of this protocol.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// Nothing was received within the idle timeout.
    #[error("nothing was received within the idle timeout")]
    IdleTimeout,
}

/// What the receive loop passes to its handler.
pub enum Received<M> {
    /// A complete message.
    Message(M),
    /// At least one fragment of a large message was received, which shows that the peer is alive before the message is complete.
    Fragment,
}

/// Passes each message to `handle` until the connection ends, or nothing is received for `idle_timeout`.
///
/// # Errors
/// Always returns an error: the reason for which the connection ended.
pub async fn read_messages<M: for<'a> Readable<'a, LittleEndian>>(
    stream: &mut (impl AsyncRead + Unpin),
    idle_timeout: Duration,
    mut handle: impl FnMut(M),
) -> Result<(), ConnectionError> {
    let handle_message = |received| match received {
        Received::Message(message) => handle(message),
        Received::Fragment => {}
    };
    read_messages_and_fragments(stream, idle_timeout, handle_message).await
}

/// Like [`read_messages`], but also reports fragments of large messages when they are received.
///
/// # Errors
/// Always returns an error: the reason for which the connection ended.
pub async fn read_messages_and_fragments<M: for<'a> Readable<'a, LittleEndian>>(
    stream: &mut (impl AsyncRead + Unpin),
    idle_timeout: Duration,
    mut handle: impl FnMut(Received<M>),
) -> Result<(), ConnectionError> {
    let mut decoder = Decoder::default();
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    loop {
        let read = timeout(idle_timeout, stream.read(&mut buffer))
            .await
            .map_err(|_| ConnectionError::IdleTimeout)??;
        if read == 0 {
            return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
        }
        decoder.feed(&buffer[..read]);
        let fragments_before = decoder.fragments_received();
        while let Some(message) = decoder.next_message()? {
            if decoder.last_message_bytes() >= LARGE_MESSAGE_BYTES {
                // Decoding and handling a large message both take long: other tasks run in between.
                yield_now().await;
            }
            handle(Received::Message(message));
        }
        if decoder.fragments_received() > fragments_before {
            handle(Received::Fragment);
        }
    }
}
