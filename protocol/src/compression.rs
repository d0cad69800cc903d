//! Compression of large messages: LZ77 over bytes, laid out as sequences of literals and a back reference.
//!
//! A configuration repeats itself from item to item, and shrinks to a sixth or less. Speed goes before density: one pass with one
//! candidate for each place, and a decompressor that only copies.
//!
//! A sequence is a token byte (length of the literals in its upper half, length of the match in its lower one, each continued by
//! bytes of 255 where it is 15 or more), the literals, and two bytes of distance. The last sequence has literals only.

/// Shortest match that is worth a back reference, in bytes.
const SHORTEST_MATCH: usize = 4;
/// Farthest back that a reference reaches.
const FARTHEST: usize = u16::MAX as usize;
/// The table of candidates has two to this power entries.
const TABLE_BITS: u32 = 14;
/// Lengths from here on continue in further bytes.
const LONG: usize = 15;
/// A length goes on behind a byte of this value.
const MORE: u8 = 255;

/// Why bytes can't be decompressed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum CompressionError {
    /// They end in the middle of a sequence.
    #[error("the compressed bytes are cut short")]
    CutShort,
    /// A reference leads to before the first byte.
    #[error("a compressed reference leads to before the first byte")]
    BadReference,
    /// There are more bytes than were announced, or fewer.
    #[error("the decompressed length is not the one that was announced")]
    WrongLength,
}

/// Compresses bytes. What does not repeat itself grows by half a percent.
pub fn compress(bytes: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(bytes.len() / 4 + 16);
    // The place at which a hash was met last, plus one; 0 where it was not met.
    let mut last_met = vec![0_u32; 1 << TABLE_BITS];
    let (mut at, mut literals_from) = (0, 0);
    while at + SHORTEST_MATCH <= bytes.len() {
        let entry = &mut last_met[hash(&bytes[at..at + SHORTEST_MATCH])];
        let candidate = std::mem::replace(entry, at as u32 + 1) as usize;
        let length = match candidate.checked_sub(1).filter(|from| at - from <= FARTHEST) {
            Some(from) => common_length(&bytes[from..], &bytes[at..]),
            None => 0,
        };
        if length < SHORTEST_MATCH {
            at += 1;
            continue;
        }
        let distance = at + 1 - candidate;
        write_sequence(&mut out, &bytes[literals_from..at], Some((distance, length)));
        at += length;
        literals_from = at;
    }
    write_sequence(&mut out, &bytes[literals_from..], None);
    out
}

/// Decompresses to exactly this many bytes.
///
/// # Errors
/// Where the bytes were not made by [`compress`] from so many.
pub fn decompress(mut bytes: &[u8], length: usize) -> Result<Vec<u8>, CompressionError> {
    // The length is only announced: memory grows with what is there.
    let mut out = Vec::with_capacity(length.min(bytes.len().saturating_mul(8)));
    loop {
        let token = take(&mut bytes, 1)?[0];
        let literals = read_length(token >> 4, &mut bytes)?;
        let literals = take(&mut bytes, literals)?;
        if out.len() + literals.len() > length {
            return Err(CompressionError::WrongLength);
        }
        out.extend_from_slice(literals);
        if bytes.is_empty() {
            return if out.len() == length { Ok(out) } else { Err(CompressionError::WrongLength) };
        }
        let distance = take(&mut bytes, 2)?;
        let distance = usize::from(u16::from_le_bytes([distance[0], distance[1]]));
        let matched = read_length(token & 0xf, &mut bytes)?.saturating_add(SHORTEST_MATCH);
        if out.len().saturating_add(matched) > length {
            return Err(CompressionError::WrongLength);
        }
        copy_back(&mut out, distance, matched)?;
    }
}

fn hash(word: &[u8]) -> usize {
    let word = u32::from_le_bytes([word[0], word[1], word[2], word[3]]);
    (word.wrapping_mul(0x9e37_79b1) >> (32 - TABLE_BITS)) as usize
}

fn common_length(one: &[u8], other: &[u8]) -> usize {
    one.iter().zip(other).take_while(|(one, other)| one == other).count()
}

fn write_sequence(out: &mut Vec<u8>, literals: &[u8], reference: Option<(usize, usize)>) {
    let matched = reference.map_or(0, |(_, length)| length - SHORTEST_MATCH);
    out.push(((literals.len().min(LONG) << 4) | matched.min(LONG)) as u8);
    write_rest(out, literals.len());
    out.extend_from_slice(literals);
    if let Some((distance, _)) = reference {
        out.extend_from_slice(&(distance as u16).to_le_bytes());
        write_rest(out, matched);
    }
}

/// Writes what the token does not hold of a length.
fn write_rest(out: &mut Vec<u8>, length: usize) {
    let Some(rest) = length.checked_sub(LONG) else { return };
    out.extend(std::iter::repeat_n(MORE, rest / usize::from(MORE)));
    out.push((rest % usize::from(MORE)) as u8);
}

fn read_length(in_token: u8, bytes: &mut &[u8]) -> Result<usize, CompressionError> {
    let mut length = usize::from(in_token);
    if length < LONG {
        return Ok(length);
    }
    loop {
        let more = take(bytes, 1)?[0];
        length = length.saturating_add(usize::from(more));
        if more != MORE {
            return Ok(length);
        }
    }
}

fn take<'a>(bytes: &mut &'a [u8], length: usize) -> Result<&'a [u8], CompressionError> {
    let (taken, rest) = bytes.split_at_checked(length).ok_or(CompressionError::CutShort)?;
    *bytes = rest;
    Ok(taken)
}

/// Repeats what stands so far back. A reference that reaches into its own result repeats it.
fn copy_back(out: &mut Vec<u8>, distance: usize, mut length: usize) -> Result<(), CompressionError> {
    let from = out.len().checked_sub(distance).filter(|_| distance > 0);
    let from = from.ok_or(CompressionError::BadReference)?;
    while length > 0 {
        let piece = length.min(out.len() - from);
        out.extend_from_within(from..from + piece);
        length -= piece;
    }
    Ok(())
}
