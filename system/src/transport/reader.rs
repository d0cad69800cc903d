//! The receive loop of a connection: decodes frames and hands each message on. The connection's task owns the decoder; a cancelled
//! loop drops what was received of an incomplete message.

use std::io;
use std::time::Duration;

use ivyhatch_protocol::frame::{Decoder, FrameError};
use speedy::{LittleEndian, Readable};
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::task::yield_now;
use tokio::time::timeout;

/// Other tasks run between the decoding of a message of at least this length and its handling.
const LARGE_MESSAGE_BYTES: usize = 64 * 1024;
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Why a connection has ended.
#[derive(Debug, thiserror::Error)]
pub enum ConnectionError {
    /// The socket failed, or the peer closed it.
    #[error("{0}")]
    Socket(#[from] io::Error),
    /// The peer sent bytes that are no frame of this protocol.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// Nothing was received within the idle timeout.
    #[error("silent")]
    IdleTimeout,
}

/// What a connection delivers.
pub enum Received<M> {
    /// A message.
    Message(M),
    /// A fragment of a message that is not complete yet: a sign of liveness.
    Fragment,
}

/// Hands each message to `handle` until the connection ends, or nothing is received for `idle_timeout`.
///
/// # Errors
/// Always: the reason for which the connection ended.
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

/// Like [`read_messages`]; reports also fragments of large messages as they come.
///
/// # Errors
/// Always: the reason for which the connection ended.
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
                // Decoding took a while, and so does handling.
                yield_now().await;
            }
            handle(Received::Message(message));
        }
        if decoder.fragments_received() > fragments_before {
            handle(Received::Fragment);
        }
    }
}
