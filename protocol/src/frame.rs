//! How messages stand in a stream of bytes: a word that marks ours, the version, the length, a checksum, the message.
//!
//! A message of more than [`FRAGMENT_BYTES`] can be sent as fragments, each of them a frame with its own checksum: other messages
//! go between them, and their arrival shows that the sender lives. Whatever is long is compressed first.
//!
//! What is not a frame of ours ends its connection: behind it there is no telling where the next one begins. Nothing is lost by
//! that, as whatever was decided stands elsewhere and whoever is behind asks anew.

use speedy::{LittleEndian, Readable, Writable};

use crate::compression::{CompressionError, compress, decompress};

/// Marks a frame of ours.
const FRAME_MAGIC: u16 = 0x6976;
/// The version of the messages. Another one is refused: there is no guessing at what it means.
pub const PROTOCOL_VERSION: u16 = 2;
const HEADER_BYTES: usize = 2 + 2 + 4 + 4;
/// Set in the length of a frame that carries a fragment of a message.
const FRAGMENT: u32 = 1 << 31;
/// Set beside it in the last fragment of a message.
const LAST_FRAGMENT: u32 = 1 << 30;
/// Set where the message is compressed; its length before that stands in front of it.
const COMPRESSED: u32 = 1 << 29;
/// The bits of the length itself.
const LENGTH_BITS: u32 = COMPRESSED - 1;
/// Messages from this length on are compressed, in bytes: the time for shorter ones is worth more than their bytes.
const COMPRESSED_FROM: usize = 2048;
/// Bytes of the length in front of a compressed message.
const LENGTH_BYTES: usize = 4;
/// The payload of one fragment, in bytes: 13 ms of a link of 10 Mbit/s.
pub const FRAGMENT_BYTES: usize = 16 * 1024;
/// No message is longer, in bytes: a whole configuration with all of its history is far below.
pub const MAX_MESSAGE_BYTES: usize = 24 << 20;

/// Why bytes are no message.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// Not one of ours.
    #[error("what came on the inner port is no message of the system: see who else connects there")]
    UnknownMagic,
    /// Another version's.
    #[error(
        "a message of version {theirs}, where this program speaks version {PROTOCOL_VERSION}: bring all machines to one release"
    )]
    UnsupportedVersion {
        /// The version that came.
        theirs: u16,
    },
    /// Too long.
    #[error(
        "a message of {length} bytes, over the {MAX_MESSAGE_BYTES} that are taken: make the configuration smaller"
    )]
    MessageTooLong {
        /// Its length.
        length: usize,
    },
    /// ChecksumMismatch on the way.
    #[error("a damaged message: the connection is opened anew; where it comes again, see to the network")]
    ChecksumMismatch,
    /// Ours by its head, and not to be read.
    #[error("a message that can't be read ({0}): bring all machines to one release")]
    Undecodable(String),
}

/// A short checksum of a message or a record (FNV-1a over words, folded).
pub fn checksum(bytes: &[u8]) -> u32 {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64 ^ bytes.len() as u64;
    let mut words = bytes.chunks_exact(8);
    for word in &mut words {
        let word = u64::from_le_bytes(word.try_into().unwrap_or_default());
        hash = (hash ^ word).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29);
    }
    for byte in words.remainder() {
        hash = (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    }
    let mixed = crate::ids::hash_mix(hash);
    (mixed ^ (mixed >> 32)) as u32
}

/// A message as bytes, ready to be written.
pub fn encode<M: Writable<LittleEndian>>(message: &M) -> Vec<u8> {
    let (body, flags) = encode_body(message);
    frame(&body, flags)
}

/// A message as frames that may be written with other messages between them: fragments, or one frame where it is small.
pub fn encode_fragments<M: Writable<LittleEndian>>(message: &M) -> Vec<Vec<u8>> {
    let (body, flags) = encode_body(message);
    if body.len() <= FRAGMENT_BYTES {
        return vec![frame(&body, flags)];
    }
    let last = (body.len() - 1) / FRAGMENT_BYTES;
    let place = |index: usize| if index == last { FRAGMENT | LAST_FRAGMENT } else { FRAGMENT };
    body.chunks(FRAGMENT_BYTES).enumerate().map(|(index, chunk)| frame(chunk, flags | place(index))).collect()
}

/// The bytes of a message, compressed where that is worth it, and the flags that tell so.
fn encode_body<M: Writable<LittleEndian>>(message: &M) -> (Vec<u8>, u32) {
    // Writing to memory fails for nothing that the messages hold.
    let plain = message.write_to_vec().unwrap_or_default();
    if plain.len() < COMPRESSED_FROM {
        return (plain, 0);
    }
    let compressed = compress(&plain);
    if compressed.len() + LENGTH_BYTES >= plain.len() {
        return (plain, 0);
    }
    let length = (plain.len() as u32).to_le_bytes();
    ([&length[..], &compressed].concat(), COMPRESSED)
}

fn frame(body: &[u8], flags: u32) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
    bytes.extend_from_slice(&FRAME_MAGIC.to_le_bytes());
    bytes.extend_from_slice(&PROTOCOL_VERSION.to_le_bytes());
    bytes.extend_from_slice(&(body.len() as u32 | flags).to_le_bytes());
    bytes.extend_from_slice(&checksum(body).to_le_bytes());
    bytes.extend_from_slice(body);
    bytes
}

/// The message, and its length once it is decompressed.
fn read_message<M: for<'a> Readable<'a, LittleEndian>>(
    flags: u32,
    body: &[u8],
) -> Result<(M, usize), FrameError> {
    if flags & COMPRESSED != 0 {
        let plain = decompress_body(body)?;
        return read_message(flags & !COMPRESSED, &plain);
    }
    let (message, read) = M::read_with_length_from_buffer(body);
    let message = message.map_err(|error| FrameError::Undecodable(error.to_string()))?;
    if read < body.len() {
        return Err(FrameError::Undecodable(format!("{} bytes too long", body.len() - read)));
    }
    Ok((message, body.len()))
}

fn decompress_body(body: &[u8]) -> Result<Vec<u8>, FrameError> {
    let unreadable = |error: CompressionError| FrameError::Undecodable(error.to_string());
    let (length, compressed) = body.split_first_chunk().ok_or(unreadable(CompressionError::CutShort))?;
    let length = u32::from_le_bytes(*length) as usize;
    if length > MAX_MESSAGE_BYTES {
        return Err(FrameError::MessageTooLong { length });
    }
    decompress(compressed, length).map_err(unreadable)
}

/// Takes bytes in as they come, and gives messages.
#[derive(Default)]
pub struct Decoder {
    bytes: Vec<u8>,
    at: usize,
    /// The fragments of a message that has not come whole.
    fragments: Vec<u8>,
    fragments_received: u64,
    last_message_bytes: usize,
}

impl Decoder {
    /// Takes some bytes in.
    pub fn feed(&mut self, bytes: &[u8]) {
        if self.at > 0 && self.at == self.bytes.len() {
            self.bytes.clear();
            self.at = 0;
        }
        self.bytes.extend_from_slice(bytes);
    }

    /// How many fragments have come so far. While it grows, a message of many bytes is on its way.
    pub fn fragments_received(&self) -> u64 {
        self.fragments_received
    }

    /// The length of the last message, decompressed.
    pub fn last_message_bytes(&self) -> usize {
        self.last_message_bytes
    }

    /// The next whole message, if it has come.
    ///
    /// # Errors
    /// Where the bytes are no message: the connection is of no further use.
    pub fn next_message<M: for<'a> Readable<'a, LittleEndian>>(&mut self) -> Result<Option<M>, FrameError> {
        while let Some((flags, length)) = self.frame()? {
            let body = &self.bytes[self.at + HEADER_BYTES..][..length];
            let message = if flags & FRAGMENT == 0 {
                Some(read_message(flags, body)?)
            } else {
                self.fragments_received += 1;
                if self.fragments.len() + length > MAX_MESSAGE_BYTES {
                    return Err(FrameError::MessageTooLong { length: self.fragments.len() + length });
                }
                self.fragments.extend_from_slice(body);
                let last = flags & LAST_FRAGMENT != 0;
                last.then(|| read_message(flags, &std::mem::take(&mut self.fragments))).transpose()?
            };
            self.skip(HEADER_BYTES + length);
            if let Some((message, length)) = message {
                self.last_message_bytes = length;
                return Ok(Some(message));
            }
        }
        Ok(None)
    }

    /// Flags and length of the next frame, once it has come whole and is sound.
    fn frame(&self) -> Result<Option<(u32, usize)>, FrameError> {
        let rest = &self.bytes[self.at..];
        if rest.len() < HEADER_BYTES {
            if rest.len() >= 2 && rest[..2] != FRAME_MAGIC.to_le_bytes() {
                return Err(FrameError::UnknownMagic);
            }
            return Ok(None);
        }
        let word = |at: usize| u16::from_le_bytes([rest[at], rest[at + 1]]);
        let long = |at: usize| u32::from_le_bytes([rest[at], rest[at + 1], rest[at + 2], rest[at + 3]]);
        if word(0) != FRAME_MAGIC {
            return Err(FrameError::UnknownMagic);
        }
        if word(2) != PROTOCOL_VERSION {
            return Err(FrameError::UnsupportedVersion { theirs: word(2) });
        }
        let length = (long(4) & LENGTH_BITS) as usize;
        if length > MAX_MESSAGE_BYTES {
            return Err(FrameError::MessageTooLong { length });
        }
        let Some(body) = rest.get(HEADER_BYTES..HEADER_BYTES + length) else { return Ok(None) };
        if checksum(body) != long(8) {
            return Err(FrameError::ChecksumMismatch);
        }
        Ok(Some((long(4) & !LENGTH_BITS, length)))
    }

    fn skip(&mut self, length: usize) {
        self.at += length;
        if self.at > 64 * 1024 {
            self.bytes.drain(..self.at);
            self.at = 0;
        }
    }
}
