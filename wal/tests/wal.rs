//! The file of a log: torn blocks, corruption of single bytes, format versions, rewrites.

use std::fs;
use std::path::Path;

use googletest::prelude::*;
use ivyhatch_wal::{Wal, WalError};

const FILE_HEADER: usize = 16;
const BLOCK_HEADER: usize = 16;
const RECORD_HEADER: usize = 4;

fn record(text: &str) -> Vec<u8> {
    text.as_bytes().to_vec()
}

fn write_three_blocks(folder: &Path) -> Vec<u8> {
    let (mut log, found) = Wal::open(folder, "log").expect("a new file");
    assert!(found.is_empty());
    log.append(&[record("one")]).expect("written");
    log.append(&[record("two"), record("and a half")]).expect("written");
    log.append(&[record("record of block three")]).expect("written");
    fs::read(folder.join("log")).expect("the file")
}

fn reopened(folder: &Path) -> std::result::Result<Vec<Vec<u8>>, WalError> {
    Wal::open(folder, "log").map(|(_, found)| found)
}

#[gtest]
fn reopened_log_returns_all_records_in_order() {
    let folder = tempfile::tempdir().expect("a folder");
    write_three_blocks(folder.path());
    let all = ["one", "two", "and a half", "record of block three"].map(record);
    expect_that!(reopened(folder.path()), ok(eq(&all.to_vec())));
}

#[gtest]
fn torn_last_block_is_truncated_and_overwritten() {
    let folder = tempfile::tempdir().expect("a folder");
    let bytes = write_three_blocks(folder.path());
    let last = bytes.len() - (BLOCK_HEADER + RECORD_HEADER + "record of block three".len());
    for cut in last..bytes.len() {
        // Either truncated, or of full length with zeros at the end.
        let mut hole = bytes.clone();
        hole[cut..].fill(0);
        for corrupted in [&bytes[..cut], &hole[..]] {
            fs::write(folder.path().join("log"), corrupted).expect("a corrupted file");
            let (mut log, found) = Wal::open(folder.path(), "log").expect("the other blocks are valid");
            expect_that!(found.len(), eq(3), "cut at {cut}");
            log.append(&[record("four")]).expect("written");
            let all = ["one", "two", "and a half", "four"].map(record);
            expect_that!(reopened(folder.path()), ok(eq(&all.to_vec())));
        }
    }
}

#[gtest]
fn damage_before_the_last_block_sets_the_file_aside() {
    let folder = tempfile::tempdir().expect("a folder");
    let bytes = write_three_blocks(folder.path());
    let last = bytes.len() - (BLOCK_HEADER + RECORD_HEADER + "record of block three".len());
    for at in 0..last {
        let mut corrupted = bytes.clone();
        corrupted[at] ^= 0x10;
        fs::write(folder.path().join("log"), &corrupted).expect("a corrupted file");
        let Err(WalError::Damaged { set_aside, .. }) = reopened(folder.path()) else {
            fail!("damage at byte {at} is not detected").and_log_failure();
            continue;
        };
        // The next open creates an empty log, and the damaged file is kept under its new name.
        expect_that!(reopened(folder.path()), ok(is_empty()));
        expect_that!(fs::read(set_aside).expect("set-aside file can be read"), eq(&corrupted));
    }
}

#[gtest]
fn damage_in_a_snapshot_is_not_taken_for_a_torn_block() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("log");
    let (mut log, _) = Wal::open(folder.path(), "log").expect("a new file");
    log.rewrite(&[record("all"), record("of it")]).expect("rewritten");
    drop(log);
    let bytes = fs::read(&path).expect("the file");
    for at in 0..bytes.len() {
        let mut corrupted = bytes.clone();
        corrupted[at] ^= 0x01;
        fs::write(&path, &corrupted).expect("a corrupted file");
        expect_that!(reopened(folder.path()), err(matches_pattern!(WalError::Damaged { .. })), "at {at}");
        fs::write(&path, &bytes[..at]).expect("truncated file is written");
        if at == 0 {
            // An empty file counts as a new log.
            expect_that!(reopened(folder.path()), ok(is_empty()));
        } else {
            expect_that!(
                reopened(folder.path()),
                err(matches_pattern!(WalError::Damaged { .. })),
                "cut at {at}"
            );
        }
    }
}

#[gtest]
fn set_aside_files_are_kept_up_to_a_maximum() {
    let folder = tempfile::tempdir().expect("a folder");
    for number in 0..6_u8 {
        fs::write(folder.path().join("log"), [number; 20]).expect("invalid file is written");
        let error = reopened(folder.path()).expect_err("rejected");
        expect_true!(error.is_set_aside());
        expect_that!(error, displays_as(contains_substring("log.set-aside-")));
    }
    let kept: Vec<u8> = (1..=4)
        .map(|number| fs::read(folder.path().join(format!("log.set-aside-{number}"))).expect("kept")[0])
        .collect();
    expect_that!(kept, eq(&vec![0, 1, 2, 5]));
    expect_false!(folder.path().join("log.set-aside-5").exists());
}

#[gtest]
fn file_of_an_unknown_format_version_is_set_aside_with_both_versions_in_the_error() {
    let folder = tempfile::tempdir().expect("a folder");
    let later = {
        let mut bytes = write_three_blocks(folder.path())[..12].to_vec();
        bytes[4] = 99;
        let sum = ivyhatch_protocol::hash::checksum(&bytes);
        bytes.extend_from_slice(&sum.to_le_bytes());
        bytes.extend_from_slice(b"whatever comes then");
        bytes
    };
    fs::write(folder.path().join("log"), &later).expect("written");
    let error = reopened(folder.path()).expect_err("rejected");
    expect_that!(error, displays_as(contains_substring("file format 99, this release reads 2")));
    expect_that!(error, matches_pattern!(WalError::UnsupportedFormat { version: eq(&99), .. }));
    expect_that!(
        fs::read(folder.path().join("log.set-aside-1")).expect("set-aside file can be read"),
        eq(&later)
    );
}

/// A block in format version 1.
fn block_without_number(record: &[u8]) -> Vec<u8> {
    let mut body = (record.len() as u32).to_le_bytes().to_vec();
    body.extend_from_slice(record);
    let mut block = b"IVHL".to_vec();
    block.extend_from_slice(&(body.len() as u32).to_le_bytes());
    block.extend_from_slice(&ivyhatch_protocol::hash::checksum(&body).to_le_bytes());
    block.extend_from_slice(&body);
    block
}

#[gtest]
fn file_of_format_version_1_is_read_and_rewritten_as_version_2() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("log");
    let all = ["one", "two"].map(record).to_vec();
    let old: Vec<u8> = all.iter().flat_map(|record| block_without_number(record)).collect();
    fs::write(&path, &old).expect("written");
    expect_that!(reopened(folder.path()), ok(eq(&all)));
    expect_that!(fs::read(&path).expect("the file")[..4], eq(b"IVHR"));
    expect_that!(reopened(folder.path()), ok(eq(&all)));
    // The last block may be torn. The first block was durable before the log was used, so a partial first block is
    // damage.
    fs::write(&path, &old[..old.len() - 1]).expect("truncated file is written");
    expect_that!(reopened(folder.path()), ok(eq(&all[..1].to_vec())));
    fs::write(&path, &old[..15]).expect("truncated file is written");
    expect_that!(reopened(folder.path()), err(matches_pattern!(WalError::Damaged { .. })));
    expect_that!(
        fs::read(folder.path().join("log.set-aside-1")).expect("set-aside file can be read"),
        eq(&old[..15])
    );
}

#[gtest]
fn duplicated_moved_or_missing_block_is_damage() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("log");
    let bytes = write_three_blocks(folder.path());
    let first_end = FILE_HEADER + BLOCK_HEADER + RECORD_HEADER + "one".len();
    let last = bytes.len() - (BLOCK_HEADER + RECORD_HEADER + "record of block three".len());
    let (head, first, middle, end) =
        (&bytes[..FILE_HEADER], &bytes[FILE_HEADER..first_end], &bytes[first_end..last], &bytes[last..]);
    let corrupted = [
        [head, first, middle, end, first].concat(),
        [head, first, middle, end, end].concat(),
        [head, first, first, middle, end].concat(),
        [head, middle, first, end].concat(),
        [head, middle, end].concat(),
    ];
    for (number, corrupted) in corrupted.iter().enumerate() {
        fs::write(&path, corrupted).expect("a corrupted file");
        expect_that!(
            reopened(folder.path()),
            err(matches_pattern!(WalError::Damaged { .. })),
            "case {number}"
        );
    }
}

#[gtest]
fn rejected_record_sets_the_file_aside_and_names_its_index() {
    let folder = tempfile::tempdir().expect("a folder");
    let bytes = write_three_blocks(folder.path());
    let (log, _) = Wal::open(folder.path(), "log").expect("log opens");
    let error = log.reject_record(2, "unknown tag 9".to_owned());
    expect_true!(error.is_set_aside());
    expect_that!(error, displays_as(contains_substring("record 2 can't be decoded (unknown tag 9)")));
    expect_that!(reopened(folder.path()), ok(is_empty()));
    expect_that!(
        fs::read(folder.path().join("log.set-aside-1")).expect("set-aside file can be read"),
        eq(&bytes)
    );
}

#[gtest]
fn batch_over_the_block_limit_is_rejected_and_changes_nothing() {
    let folder = tempfile::tempdir().expect("a folder");
    write_three_blocks(folder.path());
    let (mut log, found) = Wal::open(folder.path(), "log").expect("log opens");
    let huge = vec![vec![0_u8; 33 << 20]];
    expect_that!(log.append(&huge), err(matches_pattern!(WalError::BatchTooLong { .. })));
    expect_that!(log.rewrite(&huge), err(matches_pattern!(WalError::BatchTooLong { .. })));
    expect_that!(reopened(folder.path()), ok(eq(&found)));
}

#[gtest]
fn rewritten_log_has_only_the_new_records_and_accepts_appends() {
    let folder = tempfile::tempdir().expect("a folder");
    write_three_blocks(folder.path());
    let (mut log, _) = Wal::open(folder.path(), "log").expect("log opens");
    let before = log.length();
    log.rewrite(&[record("all")]).expect("rewritten");
    expect_that!(log.length(), lt(before));
    log.append(&[record("more")]).expect("written");
    expect_that!(reopened(folder.path()), ok(eq(&["all", "more"].map(record).to_vec())));
}

#[gtest]
fn temporary_file_left_by_a_crash_is_ignored_and_removed() {
    let folder = tempfile::tempdir().expect("a folder");
    write_three_blocks(folder.path());
    fs::write(folder.path().join("log.new"), b"half").expect("temporary file is written");
    expect_that!(reopened(folder.path()).expect("log opens").len(), eq(4));
    let (mut log, _) = Wal::open(folder.path(), "log").expect("log opens");
    log.rewrite(&[record("all")]).expect("rewritten");
    expect_that!(reopened(folder.path()), ok(eq(&[record("all")].to_vec())));
    expect_false!(folder.path().join("log.new").exists());
}
