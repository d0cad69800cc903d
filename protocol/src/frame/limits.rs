//! The protocol version and the limits of frames.

/// The version of all messages. It rises with any change of their encoding; there is no compatibility between
/// versions.
pub const PROTOCOL_VERSION: u16 = 2;
/// The longest fragment of a body, in bytes. A link of 10 Mbit/s takes 13 ms for it.
pub const FRAGMENT_BYTES: usize = 16 * 1024;
/// The longest message, in bytes. The largest configuration is far shorter.
pub const MAX_MESSAGE_BYTES: usize = 24 << 20;
/// The shortest message that is compressed, in bytes: a shorter one takes more time than its bytes are worth.
pub(super) const MIN_COMPRESSED_BYTES: usize = 2048;
/// The bytes of the length in front of a compressed message.
pub(super) const UNCOMPRESSED_LENGTH_BYTES: usize = 4;
