//! Decodes frames to messages.

use speedy::{LittleEndian, Readable};

use super::error::{BodyError, FrameError};
use super::header::{COMPRESSED, FRAGMENT, HEADER_BYTES, Header, LAST_FRAGMENT};
use super::limits::MAX_MESSAGE_BYTES;
use crate::compression::{CompressionError, decompress};
use crate::hash::checksum;

/// The number of consumed bytes in the buffer above which these bytes are removed. Removal moves the remaining bytes,
/// so it is not done for every frame.
const MAX_CONSUMED_BYTES: usize = 64 * 1024;

/// Decodes the messages of one connection from chunks of bytes of any size.
///
/// Memory is bounded by [`MAX_MESSAGE_BYTES`] for the fragments of a message, plus the same for an incomplete
/// frame.
#[derive(Default)]
pub struct Decoder {
    bytes: Vec<u8>,
    /// The bytes of `bytes` before this offset are consumed.
    offset: usize,
    /// The bodies of the fragments of an incomplete message.
    fragments: Vec<u8>,
    fragments_received: u64,
    last_message_bytes: usize,
}

struct DecodedMessage<M> {
    message: M,
    /// The length of the message's encoding after decompression, in bytes.
    length: usize,
}

impl Decoder {
    /// Appends received bytes to the buffer.
    pub fn feed(&mut self, bytes: &[u8]) {
        if self.offset > 0 && self.offset == self.bytes.len() {
            self.bytes.clear();
            self.offset = 0;
        }
        self.bytes.extend_from_slice(bytes);
    }

    /// The number of fragments received so far. While the number rises, a long message is being received.
    pub fn fragments_received(&self) -> u64 {
        self.fragments_received
    }

    /// The length of the last decoded message after decompression, in bytes; 0 before the first message.
    pub fn last_message_bytes(&self) -> usize {
        self.last_message_bytes
    }

    /// Decodes the next message; `None` while the message is incomplete.
    ///
    /// # Errors
    /// If the buffered bytes are not a valid frame of a message `M`. The caller has to close the connection and drop
    /// the decoder.
    pub fn next_message<M: for<'a> Readable<'a, LittleEndian>>(&mut self) -> Result<Option<M>, FrameError> {
        while let Some(header) = self.complete_frame()? {
            let decoded = self.decode_frame(&header)?;
            self.consume(HEADER_BYTES + header.length);
            if let Some(DecodedMessage { message, length }) = decoded {
                self.last_message_bytes = length;
                return Ok(Some(message));
            }
        }
        Ok(None)
    }

    /// The header of the next frame, if its whole body has been received and is undamaged.
    fn complete_frame(&self) -> Result<Option<Header>, FrameError> {
        let rest = &self.bytes[self.offset..];
        let Some(header) = Header::read_from(rest)? else { return Ok(None) };
        let Some(body) = rest.get(HEADER_BYTES..HEADER_BYTES + header.length) else { return Ok(None) };
        if checksum(body) != header.checksum {
            return Err(FrameError::ChecksumMismatch);
        }
        Ok(Some(header))
    }

    /// The message in the frame; `None` for a fragment that is not the last one of its message.
    fn decode_frame<M: for<'a> Readable<'a, LittleEndian>>(
        &mut self,
        header: &Header,
    ) -> Result<Option<DecodedMessage<M>>, FrameError> {
        let body = &self.bytes[self.offset + HEADER_BYTES..][..header.length];
        if header.flags & FRAGMENT == 0 {
            return decode_body(header.flags, body).map(Some);
        }
        self.fragments_received += 1;
        let length = self.fragments.len() + body.len();
        if length > MAX_MESSAGE_BYTES {
            return Err(FrameError::MessageTooLong { length });
        }
        self.fragments.extend_from_slice(body);
        if header.flags & LAST_FRAGMENT == 0 {
            return Ok(None);
        }
        decode_body(header.flags, &std::mem::take(&mut self.fragments)).map(Some)
    }

    fn consume(&mut self, length: usize) {
        self.offset += length;
        if self.offset > MAX_CONSUMED_BYTES {
            self.bytes.drain(..self.offset);
            self.offset = 0;
        }
    }
}

fn decode_body<M: for<'a> Readable<'a, LittleEndian>>(
    flags: u32,
    body: &[u8],
) -> Result<DecodedMessage<M>, FrameError> {
    if flags & COMPRESSED != 0 {
        return decode_plain_body(&decompress_body(body)?);
    }
    decode_plain_body(body)
}

fn decode_plain_body<M: for<'a> Readable<'a, LittleEndian>>(
    body: &[u8],
) -> Result<DecodedMessage<M>, FrameError> {
    let (message, length) = M::read_with_length_from_buffer(body);
    let message = message.map_err(|error| FrameError::Undecodable(BodyError::Encoding(error.to_string())))?;
    if length < body.len() {
        return Err(FrameError::Undecodable(BodyError::TrailingBytes(body.len() - length)));
    }
    Ok(DecodedMessage { message, length })
}

/// Decompresses a body that begins with its decompressed length.
fn decompress_body(body: &[u8]) -> Result<Vec<u8>, FrameError> {
    let undecodable = |error: CompressionError| FrameError::Undecodable(error.into());
    let (length, compressed) = body.split_first_chunk().ok_or(undecodable(CompressionError::Truncated))?;
    let length = u32::from_le_bytes(*length) as usize;
    if length > MAX_MESSAGE_BYTES {
        return Err(FrameError::MessageTooLong { length });
    }
    decompress(compressed, length).map_err(undecodable)
}
