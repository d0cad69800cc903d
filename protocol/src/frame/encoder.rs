//! Encodes messages to frames.

use speedy::{LittleEndian, Writable};

use super::header::{COMPRESSED, FRAGMENT, HEADER_BYTES, Header, LAST_FRAGMENT};
use super::limits::{FRAGMENT_BYTES, MIN_COMPRESSED_BYTES, UNCOMPRESSED_LENGTH_BYTES};
use crate::compression::compress;
use crate::hash::checksum;

/// Encodes a message as one frame.
pub fn encode<M: Writable<LittleEndian>>(message: &M) -> Vec<u8> {
    let EncodedBody { bytes, flags } = encode_body(message);
    encode_frame(&bytes, flags)
}

/// Encodes a message as one frame for each fragment, or as a single frame if its body is not longer than
/// [`FRAGMENT_BYTES`]. Other messages may be sent between the fragments of a message if each of them is a single
/// frame.
pub fn encode_fragments<M: Writable<LittleEndian>>(message: &M) -> Vec<Vec<u8>> {
    let EncodedBody { bytes, flags } = encode_body(message);
    if bytes.len() <= FRAGMENT_BYTES {
        return vec![encode_frame(&bytes, flags)];
    }
    let last = (bytes.len() - 1) / FRAGMENT_BYTES;
    let fragment_flags = |index: usize| if index == last { FRAGMENT | LAST_FRAGMENT } else { FRAGMENT };
    let fragments = bytes.chunks(FRAGMENT_BYTES).enumerate();
    fragments.map(|(index, fragment)| encode_frame(fragment, flags | fragment_flags(index))).collect()
}

struct EncodedBody {
    bytes: Vec<u8>,
    /// [`COMPRESSED`] or 0.
    flags: u32,
}

/// Encodes a message, and compresses it if that makes it shorter.
fn encode_body<M: Writable<LittleEndian>>(message: &M) -> EncodedBody {
    // Encoding to memory can't fail for any message type.
    let plain = message.write_to_vec().unwrap_or_default();
    if plain.len() < MIN_COMPRESSED_BYTES {
        return EncodedBody { bytes: plain, flags: 0 };
    }
    let compressed = compress(&plain);
    if compressed.len() + UNCOMPRESSED_LENGTH_BYTES >= plain.len() {
        return EncodedBody { bytes: plain, flags: 0 };
    }
    let uncompressed_length = (plain.len() as u32).to_le_bytes();
    EncodedBody { bytes: [&uncompressed_length[..], &compressed].concat(), flags: COMPRESSED }
}

fn encode_frame(body: &[u8], flags: u32) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
    Header { flags, length: body.len(), checksum: checksum(body) }.write_to(&mut bytes);
    bytes.extend_from_slice(body);
    bytes
}
