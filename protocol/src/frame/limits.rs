//! The protocol version and the limits of frames.

/// The version of all messages. It is increased when the encoding of existing messages changes; different versions
/// are incompatible.
pub const PROTOCOL_VERSION: u16 = 2;
/// The maximum length of a fragment of a body, in bytes. A link of 10 Mbit/s transmits such a fragment in 13 ms.
pub const FRAGMENT_BYTES: usize = 16 * 1024;
/// The maximum length of a message, in bytes. The largest configuration is far shorter.
pub const MAX_MESSAGE_BYTES: usize = 24 << 20;
/// The minimum length of a message that is compressed, in bytes. For a shorter message the saved bytes don't justify
/// the time.
pub(super) const MIN_COMPRESSED_BYTES: usize = 2048;
/// The size in bytes of the uncompressed length that precedes a compressed message.
pub(super) const UNCOMPRESSED_LENGTH_BYTES: usize = 4;
