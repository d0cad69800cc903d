//! Compression of large messages: LZ77 with byte-aligned sequences, like the block format of LZ4.
//!
//! The items of a configuration resemble each other, so it shrinks to a sixth or less. The compressor prefers
//! speed to density: one pass, and one candidate for each position. The decompressor only copies.
//!
//! A sequence is, in this order:
//!
//! - a token byte: the number of literals in its upper half, the length of the match minus 4 in its lower
//!   half;
//! - if the number of literals is 15 or more: further bytes that are added to it, up to and including the
//!   first below 255;
//! - the literals;
//! - the distance of the match in two bytes, little-endian: 1 is the byte before;
//! - if the length of the match minus 4 is 15 or more: further bytes, as for the literals.
//!
//! The last sequence ends after its literals.

/// The shortest match that is shorter as a reference, in bytes.
const MIN_MATCH_BYTES: usize = 4;
/// The greatest distance of a match, in bytes.
const MAX_DISTANCE: usize = u16::MAX as usize;
/// The table of candidates has two to this power entries.
const TABLE_BITS: u32 = 14;
/// The greatest value of half a token; such a length continues in further bytes.
const TOKEN_MAX: usize = 15;
/// A byte of this value continues a length.
const CONTINUATION: u8 = 255;
/// Decompressed bytes for each compressed byte, for which memory is allocated in advance.
const EXPECTED_RATIO: usize = 8;

/// Why bytes can't be decompressed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum CompressionError {
    /// The bytes end within a sequence.
    #[error("the compressed bytes are cut short")]
    Truncated,
    /// The distance of a match is 0, or reaches beyond the first decompressed byte.
    #[error("a compressed reference leads to before the first byte")]
    InvalidDistance,
    /// The decompressed length is not the expected one.
    #[error("the decompressed length is not the one that was announced")]
    LengthMismatch,
}

/// Compresses bytes. Incompressible bytes grow by half a percent.
pub fn compress(bytes: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(bytes.len() / 4 + 16);
    // The last position with a hash, plus one; 0 for none.
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
/// If the bytes are not the compression of so many bytes.
pub fn decompress(mut bytes: &[u8], length: usize) -> Result<Vec<u8>, CompressionError> {
    // The length is not to be trusted: allocate by the length of the input, and grow with the output.
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

/// A reference to bytes that were seen before.
#[derive(Clone, Copy)]
struct Match {
    /// Bytes from the beginning of the match back to that of its first occurrence; at most [`MAX_DISTANCE`].
    distance: usize,
    /// At least [`MIN_MATCH_BYTES`].
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

/// Writes the part of a length that exceeds the token.
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

/// Appends a match. One that is longer than its distance overlaps its own result, and repeats it.
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
