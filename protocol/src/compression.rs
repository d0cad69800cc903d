//! Compression of large messages: LZ77 with byte-aligned sequences, like the block format of LZ4.
//!
//! The items of a configuration resemble each other, so that a configuration shrinks to a sixth or less. The
//! compressor favours speed over ratio: it makes one pass and tries one candidate match for each position. The
//! decompressor only copies bytes.
//!
//! Compressed data is a list of sequences. A sequence is, in this order:
//!
//! - a token byte: the number of literals in its upper half, the length of the match minus 4 in its lower
//!   half;
//! - if the number of literals is 15 or more: further bytes that are added to the number, up to and including
//!   the first byte below 255;
//! - the literals;
//! - the distance of the match in two bytes, little-endian: 1 refers to the previous byte;
//! - if the length of the match minus 4 is 15 or more: further bytes, as for the literals.
//!
//! The last sequence ends after its literals.

/// The minimum length of a match, in bytes. A reference to a shorter match would save no bytes.
const MIN_MATCH_BYTES: usize = 4;
/// The maximum distance of a match, in bytes; it is encoded in 16 bits.
const MAX_DISTANCE: usize = u16::MAX as usize;
/// Binary logarithm of the number of entries in the table of candidate matches.
const TABLE_BITS: u32 = 14;
/// The maximum value of half a token. A length of this value or more continues in further bytes.
const TOKEN_MAX: usize = 15;
/// A continuation byte of this value is followed by another one.
const CONTINUATION: u8 = 255;
/// Decompressed bytes per compressed byte for which memory is allocated in advance.
const EXPECTED_RATIO: usize = 8;

/// Why compressed data can't be decompressed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum CompressionError {
    /// The input ends within a sequence.
    #[error("the compressed data ends within a sequence")]
    Truncated,
    /// The distance of a match is 0, or leads to before the first decompressed byte.
    #[error("the distance of a match in the compressed data is 0 or leads to before the first byte")]
    InvalidDistance,
    /// The decompressed length differs from the expected length.
    #[error("the length of the decompressed data differs from the announced length")]
    LengthMismatch,
}

/// Compresses bytes. Incompressible input grows by half a percent.
pub fn compress(bytes: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(bytes.len() / 4 + 16);
    // For each hash, the last position whose bytes have this hash, plus one; 0 for none.
    let mut candidates = vec![0_u32; 1 << TABLE_BITS];
    let (mut position, mut literals_start) = (0, 0);
    while position + MIN_MATCH_BYTES <= bytes.len() {
        let entry = &mut candidates[table_index(&bytes[position..position + MIN_MATCH_BYTES])];
        let candidate = std::mem::replace(entry, position as u32 + 1) as usize;
        let length = match candidate.checked_sub(1).filter(|from| position - from <= MAX_DISTANCE) {
            Some(from) => common_length(&bytes[from..], &bytes[position..]),
            None => 0,
        };
        if length < MIN_MATCH_BYTES {
            position += 1;
            continue;
        }
        let distance = position + 1 - candidate;
        write_sequence(&mut out, &bytes[literals_start..position], Some(Match { distance, length }));
        position += length;
        literals_start = position;
    }
    write_sequence(&mut out, &bytes[literals_start..], None);
    out
}

/// Decompresses to exactly `length` bytes.
///
/// # Errors
/// If `bytes` is not compressed data of exactly `length` decompressed bytes.
pub fn decompress(mut bytes: &[u8], length: usize) -> Result<Vec<u8>, CompressionError> {
    // `length` may come from a corrupted or forged message: the memory that is allocated in advance is limited by the
    // length of the input, and the buffer grows with the output.
    let mut out = Vec::with_capacity(length.min(bytes.len().saturating_mul(EXPECTED_RATIO)));
    loop {
        let token = take(&mut bytes, 1)?[0];
        let literals = read_length(token >> 4, &mut bytes)?;
        let literals = take(&mut bytes, literals)?;
        if out.len() + literals.len() > length {
            return Err(CompressionError::LengthMismatch);
        }
        out.extend_from_slice(literals);
        if bytes.is_empty() {
            return if out.len() == length { Ok(out) } else { Err(CompressionError::LengthMismatch) };
        }
        let distance = take(&mut bytes, 2)?;
        let distance = usize::from(u16::from_le_bytes([distance[0], distance[1]]));
        let match_length = read_length(token & 0xf, &mut bytes)?.saturating_add(MIN_MATCH_BYTES);
        if out.len().saturating_add(match_length) > length {
            return Err(CompressionError::LengthMismatch);
        }
        copy_back(&mut out, distance, match_length)?;
    }
}

fn table_index(word: &[u8]) -> usize {
    let word = u32::from_le_bytes([word[0], word[1], word[2], word[3]]);
    (word.wrapping_mul(0x9e37_79b1) >> (32 - TABLE_BITS)) as usize
}

fn common_length(one: &[u8], other: &[u8]) -> usize {
    one.iter().zip(other).take_while(|(one, other)| one == other).count()
}

/// A reference to an earlier occurrence of the same bytes.
#[derive(Clone, Copy)]
struct Match {
    /// Bytes from the beginning of the match back to the beginning of the earlier occurrence; at most
    /// [`MAX_DISTANCE`].
    distance: usize,
    /// In bytes; at least [`MIN_MATCH_BYTES`].
    length: usize,
}

fn write_sequence(out: &mut Vec<u8>, literals: &[u8], reference: Option<Match>) {
    let match_length = reference.map_or(0, |found| found.length - MIN_MATCH_BYTES);
    out.push(((literals.len().min(TOKEN_MAX) << 4) | match_length.min(TOKEN_MAX)) as u8);
    write_continuation(out, literals.len());
    out.extend_from_slice(literals);
    if let Some(Match { distance, .. }) = reference {
        out.extend_from_slice(&(distance as u16).to_le_bytes());
        write_continuation(out, match_length);
    }
}

/// Writes the part of a length that does not fit in its half of the token.
fn write_continuation(out: &mut Vec<u8>, length: usize) {
    let Some(rest) = length.checked_sub(TOKEN_MAX) else { return };
    out.extend(std::iter::repeat_n(CONTINUATION, rest / usize::from(CONTINUATION)));
    out.push((rest % usize::from(CONTINUATION)) as u8);
}

fn read_length(token_half: u8, bytes: &mut &[u8]) -> Result<usize, CompressionError> {
    let mut length = usize::from(token_half);
    if length < TOKEN_MAX {
        return Ok(length);
    }
    loop {
        let byte = take(bytes, 1)?[0];
        length = length.saturating_add(usize::from(byte));
        if byte != CONTINUATION {
            return Ok(length);
        }
    }
}

fn take<'a>(bytes: &mut &'a [u8], length: usize) -> Result<&'a [u8], CompressionError> {
    let (taken, rest) = bytes.split_at_checked(length).ok_or(CompressionError::Truncated)?;
    *bytes = rest;
    Ok(taken)
}

/// Appends a match. A match that is longer than its distance overlaps its own output, so that the output repeats.
fn copy_back(out: &mut Vec<u8>, distance: usize, mut length: usize) -> Result<(), CompressionError> {
    let from = out.len().checked_sub(distance).filter(|_| distance > 0);
    let from = from.ok_or(CompressionError::InvalidDistance)?;
    while length > 0 {
        let chunk = length.min(out.len() - from);
        out.extend_from_within(from..from + chunk);
        length -= chunk;
    }
    Ok(())
}
