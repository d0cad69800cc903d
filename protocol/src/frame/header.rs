//! The header of a frame.

use super::error::FrameError;
use super::limits::{MAX_MESSAGE_BYTES, PROTOCOL_VERSION};

/// The first two bytes of a frame, as a little-endian number.
const FRAME_MAGIC: u16 = 0x6976;
/// Length of the header in bytes: magic number, protocol version, body length with flags, checksum.
pub(super) const HEADER_BYTES: usize = 2 + 2 + 4 + 4;
/// Flag of a frame that carries a fragment of a message.
pub(super) const FRAGMENT: u32 = 1 << 31;
/// Flag of the last fragment of a message, set in addition to [`FRAGMENT`].
pub(super) const LAST_FRAGMENT: u32 = 1 << 30;
/// Flag of a compressed message, set on all of its fragments.
pub(super) const COMPRESSED: u32 = 1 << 29;
/// The bits of the length field that hold the length.
const LENGTH_MASK: u32 = COMPRESSED - 1;

/// The header of a frame of version [`PROTOCOL_VERSION`].
pub(super) struct Header {
    /// Any of [`FRAGMENT`], [`LAST_FRAGMENT`] and [`COMPRESSED`].
    pub flags: u32,
    /// The length of the body, in bytes.
    pub length: usize,
    /// The checksum of the body.
    pub checksum: u32,
}

impl Header {
    /// Appends the encoded header.
    pub fn write_to(&self, bytes: &mut Vec<u8>) {
        bytes.extend_from_slice(&FRAME_MAGIC.to_le_bytes());
        bytes.extend_from_slice(&PROTOCOL_VERSION.to_le_bytes());
        bytes.extend_from_slice(&(self.length as u32 | self.flags).to_le_bytes());
        bytes.extend_from_slice(&self.checksum.to_le_bytes());
    }

    /// Decodes the header at the beginning of `bytes`; `None` if the header is incomplete.
    ///
    /// # Errors
    /// If `bytes` is not the beginning of a frame of this protocol version. A wrong magic number is an error as soon
    /// as two bytes have been received, so that a foreign client that sends a few bytes and waits for an answer is
    /// not kept waiting.
    pub fn read_from(bytes: &[u8]) -> Result<Option<Self>, FrameError> {
        let Some(magic) = read_u16(bytes, 0) else { return Ok(None) };
        if magic != FRAME_MAGIC {
            return Err(FrameError::UnknownMagic);
        }
        let (Some(version), Some(length), Some(checksum)) =
            (read_u16(bytes, 2), read_u32(bytes, 4), read_u32(bytes, 8))
        else {
            return Ok(None);
        };
        if version != PROTOCOL_VERSION {
            return Err(FrameError::UnsupportedVersion { received: version });
        }
        let header = Self { flags: length & !LENGTH_MASK, length: (length & LENGTH_MASK) as usize, checksum };
        if header.length > MAX_MESSAGE_BYTES {
            return Err(FrameError::MessageTooLong { length: header.length });
        }
        Ok(Some(header))
    }
}

fn read_u16(bytes: &[u8], offset: usize) -> Option<u16> {
    bytes.get(offset..)?.first_chunk().copied().map(u16::from_le_bytes)
}

fn read_u32(bytes: &[u8], offset: usize) -> Option<u32> {
    bytes.get(offset..)?.first_chunk().copied().map(u32::from_le_bytes)
}
