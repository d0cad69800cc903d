//! The framing of messages in a byte stream.
//!
//! A frame is a header and a body. All numbers are little-endian:
//!
//! | offset | bytes | field |
//! | --- | --- | --- |
//! | 0 | 2 | magic number 0x6976 |
//! | 2 | 2 | [`PROTOCOL_VERSION`] |
//! | 4 | 4 | length of the body in bytes (bits 0 to 28), compressed (bit 29), last fragment (bit 30), fragment (bit 31) |
//! | 8 | 4 | [`crate::hash::checksum`] of the body |
//! | 12 | | body |
//!
//! The body is a message, encoded with `speedy`. A compressed body is the length of the message in four
//! bytes, and the message as [`crate::compression`] encodes it.
//!
//! A body of more than [`FRAGMENT_BYTES`] can be sent as several frames, each with a fragment of the body. The
//! fragments of one message are sent in order, and not interleaved with fragments of another message. Messages of a
//! single frame may be sent between them, so that a large message does not delay heartbeats. Each fragment shows
//! the receiver that the sender is alive.
//!
//! Any error ends the connection. No state is lost, because every message is sent again over the next connection,
//! or its contents are fetched.

mod decoder;
mod encoder;
mod error;
mod header;
mod limits;

pub use self::decoder::Decoder;
pub use self::encoder::{encode, encode_fragments};
pub use self::error::{BodyError, FrameError};
pub use self::limits::{FRAGMENT_BYTES, MAX_MESSAGE_BYTES, PROTOCOL_VERSION};
