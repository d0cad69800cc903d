//! Encodes records to blocks and files.

use super::layout::{
    BLOCK_HEADER_LENGTH, BLOCK_MAGIC, FORMAT_VERSION, RECORD_HEADER_LENGTH, block_checksum, file_header,
};

/// The bytes of a whole file.
pub(crate) struct EncodedFile {
    pub bytes: Vec<u8>,
    /// The number of blocks in the file, which is the number of the next block.
    pub block_count: u32,
}

/// A file of one block with these records, or of no blocks if there are no records. The file must be durable before it
/// is renamed to the log's name.
pub(crate) fn encode_file(records: &[Vec<u8>]) -> EncodedFile {
    let (mut blocks, mut block_count) = (Vec::new(), 0);
    if !records.is_empty() {
        encode_block(records, block_count, &mut blocks);
        block_count += 1;
    }
    let mut bytes = file_header(FORMAT_VERSION, blocks.len() as u32);
    bytes.append(&mut blocks);
    EncodedFile { bytes, block_count }
}

/// The length of the body of a block with these records, in bytes.
pub(crate) fn body_length(records: &[Vec<u8>]) -> usize {
    records.iter().map(|record| RECORD_HEADER_LENGTH + record.len()).sum()
}

/// Appends a block with these records to `bytes`. The [`body_length`] of the records must be at most
/// [`super::layout::MAX_BODY_LENGTH`].
pub(crate) fn encode_block(records: &[Vec<u8>], number: u32, bytes: &mut Vec<u8>) {
    let mut body = Vec::with_capacity(body_length(records));
    for record in records {
        body.extend_from_slice(&(record.len() as u32).to_le_bytes());
        body.extend_from_slice(record);
    }
    bytes.reserve(BLOCK_HEADER_LENGTH + body.len());
    bytes.extend_from_slice(&BLOCK_MAGIC.to_le_bytes());
    bytes.extend_from_slice(&number.to_le_bytes());
    bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&block_checksum(number, &body).to_le_bytes());
    bytes.extend_from_slice(&body);
}
