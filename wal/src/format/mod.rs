//! The file format of a log, in version 2.
//!
//! A file is a file header, followed by blocks. All numbers are unsigned, 32 bits and little-endian; offsets and
//! lengths are in bytes; checksums are [`ivyhatch_protocol::hash::checksum`].
//!
//! | offset in the file header | field |
//! | --- | --- |
//! | 0 | magic number, `IVHR` |
//! | 4 | format version |
//! | 8 | length of the blocks that were durable before the file was renamed to the log's name |
//! | 12 | checksum of bytes 0 to 11 |
//!
//! | offset in a block | field |
//! | --- | --- |
//! | 0 | magic number, `IVHL` |
//! | 4 | number of the block in its file, from 0 |
//! | 8 | length of the body |
//! | 12 | checksum of the body, xor checksum of bytes 4 to 7 |
//! | 16 | body |
//!
//! A body is a sequence of records; a record is its length and its bytes. The block number reveals blocks that were
//! duplicated or moved.
//!
//! Format version 1 has no file header, and its blocks have no number: magic number, length, checksum of the
//! body, body. This release reads version 1 and never writes it.

mod decoder;
mod encoder;
mod layout;

pub(crate) use decoder::{DecodedBlocks, DecodedFile, decode_file};
pub(crate) use encoder::{EncodedFile, body_length, encode_block, encode_file};
pub(crate) use layout::{FORMAT_VERSION, MAX_BODY_LENGTH};
