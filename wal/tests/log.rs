//! The file: what a crash may leave of it, damage, and rewriting. The bytes on the disk are harmed one at a time.

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

fn three(folder: &Path) -> Vec<u8> {
    let (mut log, found) = Wal::open(folder, "log").expect("a new file");
    assert!(found.is_empty());
    log.append(&[record("one")]).expect("written");
    log.append(&[record("two"), record("and a half")]).expect("written");
    log.append(&[record("three")]).expect("written");
    fs::read(folder.join("log")).expect("the file")
}

fn reopened(folder: &Path) -> std::result::Result<Vec<Vec<u8>>, WalError> {
    Wal::open(folder, "log").map(|(_, found)| found)
}

#[gtest]
fn what_was_written_comes_back_in_order() {
    let folder = tempfile::tempdir().expect("a folder");
    three(folder.path());
    let all = ["one", "two", "and a half", "three"].map(record);
    expect_that!(reopened(folder.path()), ok(eq(&all.to_vec())));
}

#[gtest]
fn a_last_block_that_is_torn_anywhere_is_cut_off_and_written_over() {
    let folder = tempfile::tempdir().expect("a folder");
    let bytes = three(folder.path());
    let last = bytes.len() - (BLOCK_HEADER + RECORD_HEADER + "three".len());
    for cut in last..bytes.len() {
        // Written in part, and written in full length with a hole in it.
        let mut hole = bytes.clone();
        hole[cut..].fill(0);
        for harmed in [&bytes[..cut], &hole[..]] {
            fs::write(folder.path().join("log"), harmed).expect("harmed");
            let (mut log, found) = Wal::open(folder.path(), "log").expect("the rest is sound");
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
    let bytes = three(folder.path());
    let last = bytes.len() - (BLOCK_HEADER + RECORD_HEADER + "three".len());
    for at in 0..last {
        let mut harmed = bytes.clone();
        harmed[at] ^= 0x10;
        fs::write(folder.path().join("log"), &harmed).expect("harmed");
        let Err(WalError::Damaged { set_aside, .. }) = reopened(folder.path()) else {
            fail!("not found at {at}").and_log_failure();
            continue;
        };
        // The next start has an empty file, and the damaged one stands beside it.
        expect_that!(reopened(folder.path()), ok(is_empty()));
        expect_that!(fs::read(set_aside).expect("set aside"), eq(&harmed));
    }
}

#[gtest]
fn damage_in_a_snapshot_is_no_torn_block() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("log");
    let (mut log, _) = Wal::open(folder.path(), "log").expect("a new file");
    log.rewrite(&[record("all"), record("of it")]).expect("rewritten");
    drop(log);
    let bytes = fs::read(&path).expect("the file");
    for at in 0..bytes.len() {
        let mut harmed = bytes.clone();
        harmed[at] ^= 0x01;
        fs::write(&path, &harmed).expect("harmed");
        expect_that!(reopened(folder.path()), err(matches_pattern!(WalError::Damaged { .. })), "at {at}");
        fs::write(&path, &bytes[..at]).expect("cut off");
        if at == 0 {
            // An empty file is one that was made and never written.
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
fn files_that_are_set_aside_are_kept_up_to_a_bound() {
    let folder = tempfile::tempdir().expect("a folder");
    for number in 0..6_u8 {
        fs::write(folder.path().join("log"), [number; 20]).expect("no file of records");
        let error = reopened(folder.path()).expect_err("refused");
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
fn a_file_of_a_later_format_is_set_aside_with_both_versions_named() {
    let folder = tempfile::tempdir().expect("a folder");
    let later = {
        let mut bytes = three(folder.path())[..12].to_vec();
        bytes[4] = 99;
        let sum = ivyhatch_protocol::hash::checksum(&bytes);
        bytes.extend_from_slice(&sum.to_le_bytes());
        bytes.extend_from_slice(b"whatever comes then");
        bytes
    };
    fs::write(folder.path().join("log"), &later).expect("written");
    let error = reopened(folder.path()).expect_err("refused");
    expect_that!(error, displays_as(contains_substring("file format 99, this release reads 2")));
    expect_that!(error, matches_pattern!(WalError::UnsupportedFormat { version: eq(&99), .. }));
    expect_that!(fs::read(folder.path().join("log.set-aside-1")).expect("kept"), eq(&later));
}

/// A block as the format without a file header had it.
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
fn a_file_without_a_header_is_read_and_replaced_by_one_with_it() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("log");
    let all = ["one", "two"].map(record).to_vec();
    let old: Vec<u8> = all.iter().flat_map(|record| block_without_number(record)).collect();
    fs::write(&path, &old).expect("written");
    expect_that!(reopened(folder.path()), ok(eq(&all)));
    expect_that!(fs::read(&path).expect("the file")[..4], eq(b"IVHR"));
    expect_that!(reopened(folder.path()), ok(eq(&all)));
    // Its last block may be torn. Its first one was durable before anything was said: what is left of one is damage.
    fs::write(&path, &old[..old.len() - 1]).expect("cut off");
    expect_that!(reopened(folder.path()), ok(eq(&all[..1].to_vec())));
    fs::write(&path, &old[..15]).expect("cut off");
    expect_that!(reopened(folder.path()), err(matches_pattern!(WalError::Damaged { .. })));
    expect_that!(fs::read(folder.path().join("log.set-aside-1")).expect("kept"), eq(&old[..15]));
}

#[gtest]
fn a_block_that_stands_twice_or_in_another_place_is_damage() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("log");
    let bytes = three(folder.path());
    let first_end = FILE_HEADER + BLOCK_HEADER + RECORD_HEADER + "one".len();
    let last = bytes.len() - (BLOCK_HEADER + RECORD_HEADER + "three".len());
    let (head, first, middle, end) =
        (&bytes[..FILE_HEADER], &bytes[FILE_HEADER..first_end], &bytes[first_end..last], &bytes[last..]);
    let harmed = [
        [head, first, middle, end, first].concat(),
        [head, first, middle, end, end].concat(),
        [head, first, first, middle, end].concat(),
        [head, middle, first, end].concat(),
        [head, middle, end].concat(),
    ];
    for (number, harmed) in harmed.iter().enumerate() {
        fs::write(&path, harmed).expect("harmed");
        expect_that!(
            reopened(folder.path()),
            err(matches_pattern!(WalError::Damaged { .. })),
            "case {number}"
        );
    }
}

#[gtest]
fn rejected_records_are_set_aside_with_their_place() {
    let folder = tempfile::tempdir().expect("a folder");
    let bytes = three(folder.path());
    let (log, _) = Wal::open(folder.path(), "log").expect("sound");
    let error = log.reject_record(2, "unknown tag 9".to_owned());
    expect_true!(error.is_set_aside());
    expect_that!(error, displays_as(contains_substring("record 2 can't be decoded (unknown tag 9)")));
    expect_that!(reopened(folder.path()), ok(is_empty()));
    expect_that!(fs::read(folder.path().join("log.set-aside-1")).expect("kept"), eq(&bytes));
}

#[gtest]
fn a_write_that_no_block_takes_is_refused_and_harms_nothing() {
    let folder = tempfile::tempdir().expect("a folder");
    three(folder.path());
    let (mut log, found) = Wal::open(folder.path(), "log").expect("sound");
    let huge = vec![vec![0_u8; 33 << 20]];
    expect_that!(log.append(&huge), err(matches_pattern!(WalError::BatchTooLong { .. })));
    expect_that!(log.rewrite(&huge), err(matches_pattern!(WalError::BatchTooLong { .. })));
    expect_that!(reopened(folder.path()), ok(eq(&found)));
}

#[gtest]
fn a_rewritten_file_holds_just_what_it_was_given_and_goes_on() {
    let folder = tempfile::tempdir().expect("a folder");
    three(folder.path());
    let (mut log, _) = Wal::open(folder.path(), "log").expect("sound");
    let before = log.length();
    log.rewrite(&[record("all")]).expect("rewritten");
    expect_that!(log.length(), lt(before));
    log.append(&[record("more")]).expect("written");
    expect_that!(reopened(folder.path()), ok(eq(&["all", "more"].map(record).to_vec())));
}

#[gtest]
fn what_a_crash_left_beside_the_file_is_of_no_account() {
    let folder = tempfile::tempdir().expect("a folder");
    three(folder.path());
    fs::write(folder.path().join("log.new"), b"half").expect("left behind");
    expect_that!(reopened(folder.path()).expect("sound").len(), eq(4));
    let (mut log, _) = Wal::open(folder.path(), "log").expect("sound");
    log.rewrite(&[record("all")]).expect("rewritten");
    expect_that!(reopened(folder.path()), ok(eq(&[record("all")].to_vec())));
    expect_false!(folder.path().join("log.new").exists());
}
