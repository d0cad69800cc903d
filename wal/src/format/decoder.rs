//! Decodes files to records. Distinguishes a torn last block, which a crash may leave, from damage.

use ivyhatch_protocol::hash::checksum;

use super::layout::{
    BLOCK_HEADER_LENGTH, BLOCK_MAGIC, FILE_HEADER_LENGTH, FILE_MAGIC, FORMAT_VERSION, MAX_BODY_LENGTH,
    RECORD_HEADER_LENGTH, UNNUMBERED_BLOCK_HEADER_LENGTH, block_checksum, file_header,
};

/// The valid blocks of a file.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct DecodedBlocks {
    /// The records of all valid blocks, in order.
    pub records: Vec<Vec<u8>>,
    /// The offset at which the valid blocks end, in bytes from the beginning of the file. At most one torn block
    /// follows.
    pub length: usize,
    pub block_count: u32,
}

/// A decoded file.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum DecodedFile {
    /// A file of format version 2, or an empty file.
    Current(DecodedBlocks),
    /// A file of format version 1.
    Unnumbered(DecodedBlocks),
    /// The file is damaged in a way that no crash explains.
    Damaged {
        /// The offset at which the damage begins, in bytes from the beginning of the file.
        offset: usize,
    },
    /// The file has a format version that this release does not support.
    UnsupportedFormat {
        /// The format version of the file.
        version: u32,
    },
}

/// The layout of a block's header.
#[derive(Clone, Copy)]
enum BlockLayout {
    /// Format version 1.
    Unnumbered,
    /// Format version 2.
    Numbered,
}

impl BlockLayout {
    fn header_length(self) -> usize {
        match self {
            Self::Unnumbered => UNNUMBERED_BLOCK_HEADER_LENGTH,
            Self::Numbered => BLOCK_HEADER_LENGTH,
        }
    }
}

/// A block whose checksum matches.
struct Block<'a> {
    /// `None` in format version 1.
    number: Option<u32>,
    body: &'a [u8],
}

/// Decodes a whole file.
pub(crate) fn decode_file(bytes: &[u8]) -> DecodedFile {
    if bytes.is_empty() {
        return DecodedFile::Current(DecodedBlocks::default());
    }
    match read_u32(bytes, 0) {
        Some(BLOCK_MAGIC) => decode_unnumbered_file(bytes),
        Some(FILE_MAGIC) => decode_numbered_file(bytes),
        _ => DecodedFile::Damaged { offset: 0 },
    }
}

fn decode_unnumbered_file(bytes: &[u8]) -> DecodedFile {
    // Format version 1 synced its first block before the log was used, so a file without a valid block is
    // damaged.
    let durable_end = 1;
    match decode_blocks(bytes, 0, durable_end, BlockLayout::Unnumbered) {
        Ok(blocks) => DecodedFile::Unnumbered(blocks),
        Err(offset) => DecodedFile::Damaged { offset },
    }
}

fn decode_numbered_file(bytes: &[u8]) -> DecodedFile {
    let Some((version, durable_length)) = decode_file_header(bytes) else {
        return DecodedFile::Damaged { offset: 0 };
    };
    if version != FORMAT_VERSION {
        return DecodedFile::UnsupportedFormat { version };
    }
    let durable_end = FILE_HEADER_LENGTH + durable_length;
    match decode_blocks(bytes, FILE_HEADER_LENGTH, durable_end, BlockLayout::Numbered) {
        Ok(blocks) => DecodedFile::Current(blocks),
        Err(offset) => DecodedFile::Damaged { offset },
    }
}

/// The format version, and the length of the blocks that were durable before the file was renamed.
fn decode_file_header(bytes: &[u8]) -> Option<(u32, usize)> {
    let (version, durable_length) = (read_u32(bytes, 4)?, read_u32(bytes, 8)?);
    let is_valid = bytes.get(..FILE_HEADER_LENGTH)? == file_header(version, durable_length);
    is_valid.then_some((version, durable_length as usize))
}

/// Decodes the blocks from the offset `start` on.
///
/// # Errors
/// The offset of damage that a crash does not explain: damage before `durable_end`, or before a valid block.
fn decode_blocks(
    bytes: &[u8],
    start: usize,
    durable_end: usize,
    layout: BlockLayout,
) -> Result<DecodedBlocks, usize> {
    let mut blocks = DecodedBlocks { length: start, ..DecodedBlocks::default() };
    while let Some(block) = decode_block(bytes, blocks.length, layout) {
        if block.number.is_some_and(|number| number != blocks.block_count) {
            return Err(blocks.length);
        }
        // The checksum matches, so a body that is not made of records was not written by this code.
        let records = decode_records(block.body).ok_or(blocks.length)?;
        blocks.records.extend(records);
        blocks.length += layout.header_length() + block.body.len();
        blocks.block_count += 1;
    }
    // Each block is synced before the next one is written, so a crash tears only the last one.
    if blocks.length < durable_end || has_block_after(bytes, blocks.length, layout) {
        return Err(blocks.length);
    }
    Ok(blocks)
}

/// Whether a valid block begins anywhere after this offset.
fn has_block_after(bytes: &[u8], offset: usize, layout: BlockLayout) -> bool {
    let magic = BLOCK_MAGIC.to_le_bytes();
    let last = bytes.len().saturating_sub(layout.header_length());
    let is_block =
        |start: usize| bytes[start..].starts_with(&magic) && decode_block(bytes, start, layout).is_some();
    (offset + 1..=last).any(is_block)
}

/// The block that begins at this offset; `None` if it is incomplete or its checksum does not match.
fn decode_block(bytes: &[u8], offset: usize, layout: BlockLayout) -> Option<Block<'_>> {
    if read_u32(bytes, offset)? != BLOCK_MAGIC {
        return None;
    }
    let (number, rest) = match layout {
        BlockLayout::Unnumbered => (None, offset + 4),
        BlockLayout::Numbered => (Some(read_u32(bytes, offset + 4)?), offset + 8),
    };
    let (length, sum) = (read_u32(bytes, rest)? as usize, read_u32(bytes, rest + 4)?);
    if length > MAX_BODY_LENGTH {
        return None;
    }
    let begin = offset + layout.header_length();
    let body = bytes.get(begin..begin + length)?;
    let expected = number.map_or_else(|| checksum(body), |number| block_checksum(number, body));
    (sum == expected).then_some(Block { number, body })
}

/// The records of a body; `None` if the length of a record exceeds the rest of the body.
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
