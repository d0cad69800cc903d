//! The bytes of a records file: a header, then blocks of records, each with its length and checksum.

use ivyhatch_protocol::hash::checksum;

/// The format that this release writes. Format 1 had neither a file header nor numbers of blocks; its files are read, and are
/// replaced at once.
pub const FORMAT_VERSION: u32 = 2;

const FILE_MAGIC: u32 = 0x5248_5649;
const BLOCK_MAGIC: u32 = 0x4c48_5649;
/// Magic, format version, length of the blocks that were durable before the file got its name, checksum of all three.
const FILE_HEADER_LENGTH: usize = 16;
const RECORD_HEADER_LENGTH: usize = 4;
/// The longest body of a block, in bytes.
pub(crate) const MAX_BODY_LENGTH: usize = 32 << 20;

/// Records that were read from sound blocks. Behind `length` there is at most one block that a crash has torn.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct SoundRecords {
    pub records: Vec<Vec<u8>>,
    pub length: usize,
    pub block_count: u32,
}

/// What stands in a file.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Contents {
    /// Blocks of the present format.
    Sound(SoundRecords),
    /// Blocks of the format before that.
    SoundWithoutNumbers(SoundRecords),
    /// Damage that no crash explains begins at this byte.
    Damaged { offset: usize },
    /// A format of another release.
    UnsupportedFormat { version: u32 },
}

/// The header of a block.
#[derive(Clone, Copy)]
enum BlockHeader {
    /// Magic, length of the body, checksum of the body.
    WithoutNumber,
    /// Magic, number of the block in its file, length of the body, checksum of the number and the body. By the numbers a block
    /// that stands in the file twice, or in another place, is found.
    Numbered,
}

impl BlockHeader {
    fn length(self) -> usize {
        match self {
            Self::WithoutNumber => 12,
            Self::Numbered => 16,
        }
    }
}

/// A block whose checksum is right.
struct Block<'a> {
    /// None in the format without numbers.
    number: Option<u32>,
    body: &'a [u8],
}

/// A file with these records, all of which have to be durable before the file gets its name, and the count of its blocks.
pub(crate) fn encode_file(records: &[Vec<u8>]) -> (Vec<u8>, u32) {
    let (mut blocks, mut block_count) = (Vec::new(), 0);
    if !records.is_empty() {
        encode_block(records, block_count, &mut blocks);
        block_count += 1;
    }
    let mut bytes = file_header(FORMAT_VERSION, blocks.len() as u32);
    bytes.append(&mut blocks);
    (bytes, block_count)
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

/// Appends a block with these records, as the one of this number. The caller has checked the length of the body.
pub(crate) fn encode_block(records: &[Vec<u8>], number: u32, bytes: &mut Vec<u8>) {
    let mut body = Vec::with_capacity(body_length(records));
    for record in records {
        body.extend_from_slice(&(record.len() as u32).to_le_bytes());
        body.extend_from_slice(record);
    }
    bytes.reserve(BlockHeader::Numbered.length() + body.len());
    bytes.extend_from_slice(&BLOCK_MAGIC.to_le_bytes());
    bytes.extend_from_slice(&number.to_le_bytes());
    bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&numbered_checksum(number, &body).to_le_bytes());
    bytes.extend_from_slice(&body);
}

fn numbered_checksum(number: u32, body: &[u8]) -> u32 {
    checksum(body) ^ checksum(&number.to_le_bytes())
}

/// Reads a whole file. An empty one has no records.
pub(crate) fn decode_file(bytes: &[u8]) -> Contents {
    if bytes.is_empty() {
        return Contents::Sound(SoundRecords::default());
    }
    match read_u32(bytes, 0) {
        Some(BLOCK_MAGIC) => decode_file_without_header(bytes),
        Some(FILE_MAGIC) => decode_file_with_header(bytes),
        _ => Contents::Damaged { offset: 0 },
    }
}

fn decode_file_without_header(bytes: &[u8]) -> Contents {
    // That release synced its first block before it relied on it: a file without a sound one is damaged.
    let durable_end = 1;
    match decode_blocks(bytes, 0, durable_end, BlockHeader::WithoutNumber) {
        Ok(sound) => Contents::SoundWithoutNumbers(sound),
        Err(offset) => Contents::Damaged { offset },
    }
}

fn decode_file_with_header(bytes: &[u8]) -> Contents {
    let Some((version, durable_length)) = decode_header(bytes) else {
        return Contents::Damaged { offset: 0 };
    };
    if version != FORMAT_VERSION {
        return Contents::UnsupportedFormat { version };
    }
    let durable_end = FILE_HEADER_LENGTH + durable_length;
    match decode_blocks(bytes, FILE_HEADER_LENGTH, durable_end, BlockHeader::Numbered) {
        Ok(sound) => Contents::Sound(sound),
        Err(offset) => Contents::Damaged { offset },
    }
}

/// The format version, and the length of the blocks that were durable before the file got its name.
fn decode_header(bytes: &[u8]) -> Option<(u32, usize)> {
    let (version, durable_length) = (read_u32(bytes, 4)?, read_u32(bytes, 8)?);
    let is_sound = bytes.get(..FILE_HEADER_LENGTH)? == file_header(version, durable_length);
    is_sound.then_some((version, durable_length as usize))
}

/// Reads the blocks from `start` on, or gives the place of damage. A crash explains no damage before `durable_end`.
fn decode_blocks(
    bytes: &[u8],
    start: usize,
    durable_end: usize,
    header: BlockHeader,
) -> Result<SoundRecords, usize> {
    let mut sound = SoundRecords { length: start, ..SoundRecords::default() };
    while let Some(block) = sound_block(bytes, sound.length, header) {
        if block.number.is_some_and(|number| number != sound.block_count) {
            return Err(sound.length);
        }
        // The checksum was right: a body that is not made of records was not written by this code.
        let records = decode_records(block.body).ok_or(sound.length)?;
        sound.records.extend(records);
        sound.length += header.length() + block.body.len();
        sound.block_count += 1;
    }
    // Each write is synced before the next one begins, so a crash tears the last block only.
    if sound.length < durable_end || has_sound_block_after(bytes, sound.length, header) {
        return Err(sound.length);
    }
    Ok(sound)
}

fn has_sound_block_after(bytes: &[u8], offset: usize, header: BlockHeader) -> bool {
    let magic = BLOCK_MAGIC.to_le_bytes();
    let last = bytes.len().saturating_sub(header.length());
    let is_sound = |at: usize| bytes[at..].starts_with(&magic) && sound_block(bytes, at, header).is_some();
    (offset + 1..=last).any(is_sound)
}

/// The block that begins at this byte, if all of it is there and its checksum is right.
fn sound_block(bytes: &[u8], offset: usize, header: BlockHeader) -> Option<Block<'_>> {
    if read_u32(bytes, offset)? != BLOCK_MAGIC {
        return None;
    }
    let (number, rest) = match header {
        BlockHeader::WithoutNumber => (None, offset + 4),
        BlockHeader::Numbered => (Some(read_u32(bytes, offset + 4)?), offset + 8),
    };
    let (length, sum) = (read_u32(bytes, rest)? as usize, read_u32(bytes, rest + 4)?);
    if length > MAX_BODY_LENGTH {
        return None;
    }
    let begin = offset + header.length();
    let body = bytes.get(begin..begin + length)?;
    let expected = number.map_or_else(|| checksum(body), |number| numbered_checksum(number, body));
    (sum == expected).then_some(Block { number, body })
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
