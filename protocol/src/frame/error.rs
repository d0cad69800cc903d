//! Errors of decoding a stream of frames.

use super::limits::{MAX_MESSAGE_BYTES, PROTOCOL_VERSION};
use crate::compression::CompressionError;

/// Why the bytes of a connection can't be decoded to messages. The connection has to be closed, because the start
/// of the next frame is unknown.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The bytes don't begin with the magic number of a frame.
    #[error(
        "bytes received on an inner port don't begin with the magic number of a frame: find out which other \
         program connects to this port"
    )]
    UnknownMagic,
    /// The frame has another protocol version.
    #[error(
        "a message has protocol version {received}, this release supports version {PROTOCOL_VERSION}: \
         install the same release on all machines"
    )]
    UnsupportedVersion {
        /// The version of the frame.
        received: u16,
    },
    /// The message is longer than [`MAX_MESSAGE_BYTES`].
    #[error(
        "a message has {length} bytes, which exceeds the limit of {MAX_MESSAGE_BYTES}: make the \
         configuration smaller"
    )]
    MessageTooLong {
        /// The length of the message, in bytes.
        length: usize,
    },
    /// The checksum does not match the body.
    #[error(
        "the checksum of a message does not match its body: the connection is reopened; if this error \
         repeats, check the network"
    )]
    ChecksumMismatch,
    /// The checksum matches, but the body can't be decoded as a message.
    #[error("a message can't be decoded ({0}): install the same release on all machines")]
    Undecodable(BodyError),
}

/// Why the body of a frame with a matching checksum can't be decoded.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// The body is not a valid encoding of the message type. Holds the error text of `speedy`, whose error type
    /// can't be compared.
    #[error("{0}")]
    Encoding(String),
    /// The number of bytes in the body that follow the message.
    #[error("{0} bytes follow the message")]
    TrailingBytes(usize),
    /// The body can't be decompressed.
    #[error(transparent)]
    Compression(#[from] CompressionError),
}
