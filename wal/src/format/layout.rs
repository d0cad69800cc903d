//! Magic numbers, lengths and checksums of the format; the table is in the documentation of the parent
//! module.

use ivyhatch_protocol::hash::checksum;

/// The format version of files that this release writes.
pub(crate) const FORMAT_VERSION: u32 = 2;
/// The maximum length of a block's body, in bytes.
pub(crate) const MAX_BODY_LENGTH: usize = 32 << 20;

/// `IVHR` as a little-endian number.
pub(super) const FILE_MAGIC: u32 = 0x5248_5649;
/// `IVHL` as a little-endian number.
pub(super) const BLOCK_MAGIC: u32 = 0x4c48_5649;
/// Length of the file header in format version 2, in bytes.
pub(super) const FILE_HEADER_LENGTH: usize = 16;
/// Length of a block's header in format version 2, in bytes.
pub(super) const BLOCK_HEADER_LENGTH: usize = 16;
/// Length of a block's header in format version 1, in bytes.
pub(super) const UNNUMBERED_BLOCK_HEADER_LENGTH: usize = 12;
/// Length of the field that holds a record's length, in bytes.
pub(super) const RECORD_HEADER_LENGTH: usize = 4;

pub(super) fn file_header(version: u32, durable_length: u32) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(FILE_HEADER_LENGTH);
    bytes.extend_from_slice(&FILE_MAGIC.to_le_bytes());
    bytes.extend_from_slice(&version.to_le_bytes());
    bytes.extend_from_slice(&durable_length.to_le_bytes());
    let sum = checksum(&bytes);
    bytes.extend_from_slice(&sum.to_le_bytes());
    bytes
}

pub(super) fn block_checksum(number: u32, body: &[u8]) -> u32 {
    checksum(body) ^ checksum(&number.to_le_bytes())
}
