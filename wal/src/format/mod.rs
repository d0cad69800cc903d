//! The bytes of a log file, in format version 2.
//!
//! A file is a file header, followed by blocks. All numbers are unsigned, 32 bits and little-endian; lengths are in bytes;
//! checksums are [`ivyhatch_protocol::hash::checksum`].
//!
//! | file header | |
//! | --- | --- |
//! | 0 | magic number, `IVHR` |
//! | 4 | format version |
//! | 8 | length of the blocks that were durable before the file was renamed to the log's name |
//! | 12 | checksum of bytes 0 to 11 |
//!
//! | block | |
//! | --- | --- |
//! | 0 | magic number, `IVHL` |
//! | 4 | number of the block in its file, from 0 |
//! | 8 | length of the body |
//! | 12 | checksum of the body, xor checksum of bytes 4 to 7 |
//! | 16 | body |
//!
//! A body is a sequence of records, each of which is its length and its bytes. The block number detects a block that was
//! duplicated or moved.
//!
//! Format version 1 has no file header, and its blocks have no number: magic number, length, checksum of the body, body. It is read
//! and never written.

mod decoder;
mod encoder;

pub(crate) use decoder::{DecodedBlocks, DecodedFile, decode_file};
pub(crate) use encoder::{EncodedFile, body_length, encode_block, encode_file};
use ivyhatch_protocol::hash::checksum;

/// The format version that is written.
pub(crate) const FORMAT_VERSION: u32 = 2;
/// The longest body of a block, in bytes.
pub(crate) const MAX_BODY_LENGTH: usize = 32 << 20;

/// `IVHR` as a little-endian number.
const FILE_MAGIC: u32 = 0x5248_5649;
/// `IVHL` as a little-endian number.
const BLOCK_MAGIC: u32 = 0x4c48_5649;
const FILE_HEADER_LENGTH: usize = 16;
/// Length of a block's header in format version 2.
const BLOCK_HEADER_LENGTH: usize = 16;
/// Length of a block's header in format version 1.
const UNNUMBERED_BLOCK_HEADER_LENGTH: usize = 12;
/// Length of a record's length.
const RECORD_HEADER_LENGTH: usize = 4;

fn file_header(version: u32, durable_length: u32) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(FILE_HEADER_LENGTH);
    bytes.extend_from_slice(&FILE_MAGIC.to_le_bytes());
    bytes.extend_from_slice(&version.to_le_bytes());
    bytes.extend_from_slice(&durable_length.to_le_bytes());
    let sum = checksum(&bytes);
    bytes.extend_from_slice(&sum.to_le_bytes());
    bytes
}

fn block_checksum(number: u32, body: &[u8]) -> u32 {
    checksum(body) ^ checksum(&number.to_le_bytes())
}
