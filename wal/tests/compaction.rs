//! The length of a log file over many appends, on a real disk: compaction keeps it bounded.
//!
//! Figures: `cargo test --release -p ivyhatch-wal --test compaction -- --nocapture`.

use std::fs;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use ivyhatch_wal::{CompactingWal, MAX_COMPACTION_BYTES, MIN_COMPACTION_BYTES, Wal};

const NAME: &str = "log";
const DOCUMENT_LENGTH: usize = 50_000;
/// An upper bound of the bytes that a block adds to its records.
const BLOCK_OVERHEAD: u64 = 64;
/// The size of a machine's disk, in bytes.
const DISK_LENGTH: u64 = 64 << 20;

/// A document of `length` bytes that differs for each number.
fn document(number: u32, length: usize) -> Vec<u8> {
    (0..length as u32).map(|at| (at.wrapping_mul(31).wrapping_add(number * 7) >> 3) as u8).collect()
}

/// The greatest lengths at any time, in bytes.
#[derive(Debug, Default)]
struct Longest {
    file: u64,
    /// The length of the file and its replacement together, during a rewrite.
    with_replacement: u64,
}

/// Appends `count` documents, each of which replaces the state.
fn write_documents(folder: &std::path::Path, count: u32, length: usize) -> Longest {
    let (log, _) = Wal::open(folder, NAME).expect("log opens");
    let (mut log, mut longest) = (CompactingWal::new(log), Longest::default());
    for number in 0..count {
        let records = vec![document(number, length)];
        let before = log.length();
        let written = log.append(&records, || records.clone()).expect("written");
        expect_that!(written.compaction_error, none());
        let appended = before + length as u64 + BLOCK_OVERHEAD;
        longest.file = longest.file.max(log.length());
        if log.length() < appended - BLOCK_OVERHEAD {
            longest.with_replacement = longest.with_replacement.max(appended + log.length());
        }
    }
    longest
}

#[gtest]
fn file_length_stays_bounded_over_thousands_of_appends() {
    for count in [10, 300, 3_000] {
        let folder = tempfile::tempdir().expect("a folder");
        let longest = write_documents(folder.path(), count, DOCUMENT_LENGTH);
        let bytes = fs::metadata(folder.path().join(NAME)).expect("the file").len();
        let (mut read_times, mut found) = (Vec::new(), Vec::new());
        for _ in 0..5 {
            let begin = Instant::now();
            found = Wal::open(folder.path(), NAME).expect("log opens").1;
            read_times.push(begin.elapsed());
        }
        read_times.sort();
        println!(
            "{count} changes of {DOCUMENT_LENGTH} bytes: file {bytes} bytes, longest {}, opened in {:?} (median of 5)",
            longest.file, read_times[2]
        );
        expect_that!(found.last(), some(eq(&document(count - 1, DOCUMENT_LENGTH))));
        expect_that!(longest.file, le(MIN_COMPACTION_BYTES + DOCUMENT_LENGTH as u64 + BLOCK_OVERHEAD));
        expect_that!(read_times[2], lt(Duration::from_secs(2)));
    }
}

#[gtest]
fn largest_state_and_its_replacement_fit_on_the_disk() {
    // The largest body of an operator's request.
    let length = 16 << 20;
    let folder = tempfile::tempdir().expect("a folder");
    let longest = write_documents(folder.path(), 6, length);
    expect_that!(longest.with_replacement, gt(MAX_COMPACTION_BYTES));
    expect_that!(longest.with_replacement, lt(DISK_LENGTH));
}
