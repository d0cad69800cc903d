//! Errors of a stream of frames.

use super::limits::{MAX_MESSAGE_BYTES, PROTOCOL_VERSION};
use crate::compression::CompressionError;

/// Why bytes of a connection are no messages. The connection has to be closed: where the next frame begins is
/// unknown.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The bytes don't begin with the magic number of a frame.
    #[error("what came on the inner port is no message of the system: see who else connects there")]
    UnknownMagic,
    /// The frame has another protocol version.
    #[error(
        "a message of version {received}, where this program speaks version {PROTOCOL_VERSION}: bring all machines to one release"
    )]
    UnsupportedVersion {
        /// The version of the frame.
        received: u16,
    },
    /// The message is longer than [`MAX_MESSAGE_BYTES`].
    #[error(
        "a message of {length} bytes, over the {MAX_MESSAGE_BYTES} that are taken: make the configuration smaller"
    )]
    MessageTooLong {
        /// Its length, in bytes.
        length: usize,
    },
    /// The checksum does not match the body.
    #[error("a damaged message: the connection is opened anew; where it comes again, see to the network")]
    ChecksumMismatch,
    /// The frame is undamaged and its body can't be decoded as a message.
    #[error("a message that can't be read ({0}): bring all machines to one release")]
    Undecodable(BodyError),
}

/// Why the body of an undamaged frame can't be decoded.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// The bytes are no encoding of the message type; the text is that of `speedy`, whose errors can't be
    /// compared.
    #[error("{0}")]
    Encoding(String),
    /// So many bytes follow the message.
    #[error("{0} bytes too long")]
    TrailingBytes(usize),
    /// The body can't be decompressed.
    #[error(transparent)]
    Compression(#[from] CompressionError),
}
