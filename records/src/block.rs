//! The bytes of a records file: a header, then blocks of records, each with its length and checksum.

use ivyhatch_protocol::frame::checksum;

/// The format that this release writes. Format 1 had no header; its files are read, and get one when they are replaced.
pub const FORMAT_VERSION: u32 = 2;

const FILE_MAGIC: u32 = 0x5248_5649;
const BLOCK_MAGIC: u32 = 0x4c48_5649;
/// Magic, format version, length of the blocks that were durable before the file got its name, checksum of all three.
const FILE_HEADER_LENGTH: usize = 16;
/// Magic, length of the body, checksum of the body.
const BLOCK_HEADER_LENGTH: usize = 12;
const RECORD_HEADER_LENGTH: usize = 4;
/// The longest body of a block, in bytes.
pub(crate) const MAX_BODY_LENGTH: usize = 32 << 20;

/// What stands in a file.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Contents {
    /// Records, in sound blocks. Behind `sound_length` there is at most one block that a crash has torn.
    Sound { records: Vec<Vec<u8>>, sound_length: usize },
    /// Damage that no crash explains begins at this byte.
    Damaged { offset: usize },
    /// A format of another release.
    UnsupportedFormat { version: u32 },
}

/// The beginning of a file with these records, all of which have to be durable before the file gets its name.
pub(crate) fn encode_file(records: &[Vec<u8>]) -> Vec<u8> {
    let mut blocks = Vec::new();
    if !records.is_empty() {
        encode_block(records, &mut blocks);
    }
    let mut bytes = file_header(FORMAT_VERSION, blocks.len() as u32);
    bytes.append(&mut blocks);
    bytes
}

fn file_header(version: u32, durable_length: u32) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(FILE_HEADER_LENGTH);
    bytes.extend_from_slice(&FILE_MAGIC.to_le_bytes());
    bytes.extend_from_slice(&version.to_le_bytes());
    bytes.extend_from_slice(&durable_length.to_le_bytes());
    let sum = checksum(&bytes);
    bytes.extend_from_slice(&sum.to_le_bytes());
    bytes
}

/// The length of the body of a block with these records.
pub(crate) fn body_length(records: &[Vec<u8>]) -> usize {
    records.iter().map(|record| RECORD_HEADER_LENGTH + record.len()).sum()
}

/// Appends a block with these records. The caller has checked the length of the body.
pub(crate) fn encode_block(records: &[Vec<u8>], bytes: &mut Vec<u8>) {
    let mut body = Vec::with_capacity(body_length(records));
    for record in records {
        body.extend_from_slice(&(record.len() as u32).to_le_bytes());
        body.extend_from_slice(record);
    }
    bytes.reserve(BLOCK_HEADER_LENGTH + body.len());
    bytes.extend_from_slice(&BLOCK_MAGIC.to_le_bytes());
    bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&checksum(&body).to_le_bytes());
    bytes.extend_from_slice(&body);
}

/// Reads a whole file. An empty one has no records.
pub(crate) fn decode_file(bytes: &[u8]) -> Contents {
    if bytes.is_empty() {
        return Contents::Sound { records: Vec::new(), sound_length: 0 };
    }
    match read_u32(bytes, 0) {
        // The oldest release synced its first block before it relied on it: a file without a sound one is damaged.
        Some(BLOCK_MAGIC) => decode_blocks(bytes, 0, 1),
        Some(FILE_MAGIC) => match decode_header(bytes) {
            Some((FORMAT_VERSION, durable_length)) => {
                decode_blocks(bytes, FILE_HEADER_LENGTH, FILE_HEADER_LENGTH + durable_length)
            }
            Some((version, _)) => Contents::UnsupportedFormat { version },
            None => Contents::Damaged { offset: 0 },
        },
        _ => Contents::Damaged { offset: 0 },
    }
}

/// The format version, and the length of the blocks that were durable before the file got its name.
fn decode_header(bytes: &[u8]) -> Option<(u32, usize)> {
    let (version, durable_length) = (read_u32(bytes, 4)?, read_u32(bytes, 8)?);
    let is_sound = bytes.get(..FILE_HEADER_LENGTH)? == file_header(version, durable_length);
    is_sound.then_some((version, durable_length as usize))
}

/// Reads the blocks from `start` on. A crash explains no damage before `durable_end`.
fn decode_blocks(bytes: &[u8], start: usize, durable_end: usize) -> Contents {
    let (mut records, mut offset) = (Vec::new(), start);
    while let Some(body) = sound_body(bytes, offset) {
        // The checksum was right: a body that is not made of records was not written by this code.
        let Some(found) = decode_records(body) else { return Contents::Damaged { offset } };
        records.extend(found);
        offset += BLOCK_HEADER_LENGTH + body.len();
    }
    // Each write is synced before the next one begins, so a crash tears the last block only.
    if offset < durable_end || has_sound_block_after(bytes, offset) {
        return Contents::Damaged { offset };
    }
    Contents::Sound { records, sound_length: offset }
}

fn has_sound_block_after(bytes: &[u8], offset: usize) -> bool {
    let magic = BLOCK_MAGIC.to_le_bytes();
    let last = bytes.len().saturating_sub(BLOCK_HEADER_LENGTH);
    (offset + 1..=last).any(|later| bytes[later..].starts_with(&magic) && sound_body(bytes, later).is_some())
}

/// The body of the block that begins at this byte, if all of the block is there and its checksum is right.
fn sound_body(bytes: &[u8], offset: usize) -> Option<&[u8]> {
    let magic = read_u32(bytes, offset)?;
    let length = read_u32(bytes, offset + 4)? as usize;
    let sum = read_u32(bytes, offset + 8)?;
    if magic != BLOCK_MAGIC || length > MAX_BODY_LENGTH {
        return None;
    }
    let begin = offset + BLOCK_HEADER_LENGTH;
    let body = bytes.get(begin..begin + length)?;
    (checksum(body) == sum).then_some(body)
}

fn decode_records(body: &[u8]) -> Option<Vec<Vec<u8>>> {
    let (mut records, mut offset) = (Vec::new(), 0);
    while offset < body.len() {
        let length = read_u32(body, offset)? as usize;
        let begin = offset + RECORD_HEADER_LENGTH;
        let end = begin.checked_add(length)?;
        records.push(body.get(begin..end)?.to_vec());
        offset = end;
    }
    Some(records)
}

fn read_u32(bytes: &[u8], offset: usize) -> Option<u32> {
    let word = bytes.get(offset..offset.checked_add(4)?)?;
    word.try_into().ok().map(u32::from_le_bytes)
}
