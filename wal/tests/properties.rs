//! Properties of a log: arbitrary records round-trip, and opening a corrupted or arbitrary file gives a typed error
//! or records that were written.
//!
//! A longer run: `PROPTEST_CASES=100000 cargo test --release -p ivyhatch-wal --test properties`.

use std::fs;
use std::path::Path;

use googletest::prelude::*;
use ivyhatch_wal::{Wal, WalError};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::Index;

const NAME: &str = "log";

type Records = Vec<Vec<u8>>;

/// A corruption of a file.
#[derive(Clone, Debug)]
enum Corruption {
    Truncate(Index),
    FlipBit(Index, u8),
    Overwrite(Index, Vec<u8>),
    Insert(Index, Vec<u8>),
    Remove(Index, Index),
    /// Copies a range to another offset.
    Duplicate(Index, Index, Index),
}

impl Corruption {
    fn apply(&self, bytes: &mut Vec<u8>) {
        if bytes.is_empty() {
            return;
        }
        let range = |one: &Index, two: &Index| {
            let (one, two) = (one.index(bytes.len()), two.index(bytes.len()));
            one.min(two)..one.max(two)
        };
        match self {
            Self::Truncate(at) => bytes.truncate(at.index(bytes.len())),
            Self::FlipBit(at, bit) => {
                let at = at.index(bytes.len());
                bytes[at] ^= 1 << (bit % 8);
            }
            Self::Overwrite(at, with) => {
                let at = at.index(bytes.len());
                let end = bytes.len().min(at + with.len());
                bytes[at..end].copy_from_slice(&with[..end - at]);
            }
            Self::Insert(at, more) => {
                let at = at.index(bytes.len());
                bytes.splice(at..at, more.iter().copied());
            }
            Self::Remove(one, two) => drop(bytes.drain(range(one, two))),
            Self::Duplicate(one, two, at) => {
                let copied = bytes[range(one, two)].to_vec();
                let at = at.index(bytes.len());
                bytes.splice(at..at, copied);
            }
        }
    }
}

fn any_corruption() -> impl Strategy<Value = Corruption> {
    let index = any::<Index>;
    prop_oneof![
        index().prop_map(Corruption::Truncate),
        (index(), any::<u8>()).prop_map(|(at, bit)| Corruption::FlipBit(at, bit)),
        (index(), vec(any::<u8>(), 1..40)).prop_map(|(at, with)| Corruption::Overwrite(at, with)),
        (index(), vec(any::<u8>(), 1..40)).prop_map(|(at, more)| Corruption::Insert(at, more)),
        (index(), index()).prop_map(|(one, two)| Corruption::Remove(one, two)),
        (index(), index(), index()).prop_map(|(one, two, at)| Corruption::Duplicate(one, two, at)),
    ]
}

/// The records of each block; the first block is written by a rewrite, the others are appended.
fn any_blocks() -> impl Strategy<Value = Vec<Records>> {
    vec(vec(vec(any::<u8>(), 0..60), 1..4), 1..6)
}

fn write_blocks(folder: &Path, blocks: &[Records]) -> Vec<u8> {
    let (mut log, _) = Wal::open(folder, NAME).expect("a new file");
    for (number, block) in blocks.iter().enumerate() {
        let written = if number == 0 { log.rewrite(block) } else { log.append(block) };
        written.expect("written");
    }
    fs::read(folder.join(NAME)).expect("the file")
}

proptest! {
    #[test]
    fn reopened_log_returns_arbitrary_records_in_order(blocks in any_blocks()) {
        let folder = tempfile::tempdir().expect("a folder");
        write_blocks(folder.path(), &blocks);
        let (_, found) = Wal::open(folder.path(), NAME).expect("log opens");
        prop_assert_eq!(found, blocks.concat());
    }

    #[test]
    fn corrupted_file_gives_a_typed_error_or_a_prefix_of_the_blocks(
        blocks in any_blocks(),
        corruptions in vec(any_corruption(), 1..4),
    ) {
        let folder = tempfile::tempdir().expect("a folder");
        let mut bytes = write_blocks(folder.path(), &blocks);
        corruptions.iter().for_each(|corruption| corruption.apply(&mut bytes));
        fs::write(folder.path().join(NAME), &bytes).expect("a corrupted file");
        match Wal::open(folder.path(), NAME) {
            Ok((mut log, found)) => {
                // An empty file counts as a new log; any other file has at least its first block, and complete
                // blocks only.
                let prefixes = (0..=blocks.len()).map(|count| blocks[..count].concat());
                let allowed: Vec<Records> = prefixes.skip(usize::from(!bytes.is_empty())).collect();
                prop_assert!(allowed.contains(&found), "{found:?}");
                log.append(&[b"more".to_vec()]).expect("append succeeds");
                let (_, again) = Wal::open(folder.path(), NAME).expect("log opens");
                prop_assert_eq!(again, [found, vec![b"more".to_vec()]].concat());
            }
            Err(WalError::Damaged { set_aside, .. } | WalError::UnsupportedFormat { set_aside, .. }) => {
                prop_assert_eq!(fs::read(set_aside).expect("set-aside file can be read"), bytes);
                let (_, found) = Wal::open(folder.path(), NAME).expect("a new log opens");
                prop_assert!(found.is_empty());
            }
            Err(error) => prop_assert!(false, "{error}"),
        }
    }

    #[test]
    fn arbitrary_bytes_give_a_typed_error_or_records(bytes in vec(any::<u8>(), 0..300), magic in 0..3_usize) {
        let folder = tempfile::tempdir().expect("a folder");
        let bytes = [[&b""[..], b"IVHR", b"IVHL"][magic].to_vec(), bytes].concat();
        fs::write(folder.path().join(NAME), &bytes).expect("written");
        match Wal::open(folder.path(), NAME) {
            Ok((_, found)) => prop_assert!(found.iter().map(Vec::len).sum::<usize>() <= bytes.len()),
            Err(error) => prop_assert!(error.is_set_aside(), "{error}"),
        }
    }
}

#[gtest]
fn file_truncated_at_any_byte_gives_whole_blocks_or_a_typed_error() {
    let blocks: Vec<Records> = (1..5_u8).map(|number| vec![vec![number; 9], vec![number; 2]]).collect();
    let folder = tempfile::tempdir().expect("a folder");
    let bytes = write_blocks(folder.path(), &blocks);
    for cut in 1..bytes.len() {
        fs::write(folder.path().join(NAME), &bytes[..cut]).expect("truncated file is written");
        match Wal::open(folder.path(), NAME) {
            Ok((_, found)) => {
                let allowed: Vec<Records> =
                    (1..=blocks.len()).map(|count| blocks[..count].concat()).collect();
                expect_that!(allowed, contains(eq(&found)), "cut at {cut}");
            }
            Err(error) => expect_that!(error, matches_pattern!(WalError::Damaged { .. }), "cut at {cut}"),
        }
    }
}
