//! The framing of messages in a stream of bytes.
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
//! The body is a message, encoded with `speedy`. A compressed body is the length of the message in four bytes, and the message
//! as [`crate::compression`] encodes it.
//!
//! A body of more than [`FRAGMENT_BYTES`] can be sent as several frames, each with a fragment of it. The fragments of one message
//! follow each other; whole messages may be sent between them, so that heartbeats are not delayed by a large message, and each
//! fragment shows the receiver that the sender is alive.
//!
//! Any error ends the connection. No state is lost by that, as every message is sent again or fetched over the next one.

mod decoder;
mod encoder;
mod error;
mod header;

pub use self::decoder::Decoder;
pub use self::encoder::{encode, encode_fragments};
pub use self::error::{BodyError, FrameError};

/// The version of all messages. It rises with any change of their encoding; there is no compatibility between versions.
pub const PROTOCOL_VERSION: u16 = 2;
/// The longest fragment of a body, in bytes. A link of 10 Mbit/s takes 13 ms for it.
pub const FRAGMENT_BYTES: usize = 16 * 1024;
/// The longest message, in bytes. The largest configuration is far shorter.
pub const MAX_MESSAGE_BYTES: usize = 24 << 20;
/// The shortest message that is compressed, in bytes: a shorter one takes more time than its bytes are worth.
const MIN_COMPRESSED_BYTES: usize = 2048;
/// The bytes of the length in front of a compressed message.
const UNCOMPRESSED_LENGTH_BYTES: usize = 4;
