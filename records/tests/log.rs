//! The file: what a crash may leave of it, damage, and rewriting. The bytes on the disk are harmed one at a time.

use std::fs;
use std::path::Path;

use googletest::prelude::*;
use ivyhatch_records::{Log, RecordsError};

fn record(text: &str) -> Vec<u8> {
    text.as_bytes().to_vec()
}

fn three(folder: &Path) -> Vec<u8> {
    let (mut log, found) = Log::open(folder, "log").expect("a new file");
    assert!(found.is_empty());
    log.append(&[record("one")]).expect("written");
    log.append(&[record("two"), record("and a half")]).expect("written");
    log.append(&[record("three")]).expect("written");
    fs::read(folder.join("log")).expect("the file")
}

fn reopened(folder: &Path) -> std::result::Result<Vec<Vec<u8>>, RecordsError> {
    Log::open(folder, "log").map(|(_, found)| found)
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
    let last = bytes.len() - (12 + 4 + "three".len());
    for cut in last..bytes.len() {
        // Written in part, and written in full length with a hole in it.
        let mut hole = bytes.clone();
        hole[cut..].fill(0);
        for harmed in [&bytes[..cut], &hole[..]] {
            fs::write(folder.path().join("log"), harmed).expect("harmed");
            let (mut log, found) = Log::open(folder.path(), "log").expect("the rest is sound");
            expect_that!(found.len(), eq(3), "cut at {cut}");
            log.append(&[record("four")]).expect("written");
            let all = ["one", "two", "and a half", "four"].map(record);
            expect_that!(reopened(folder.path()), ok(eq(&all.to_vec())));
        }
    }
}

#[gtest]
fn a_damaged_middle_is_told_and_never_skipped() {
    let folder = tempfile::tempdir().expect("a folder");
    let bytes = three(folder.path());
    let last = bytes.len() - (12 + 4 + "three".len());
    for at in 0..last {
        let mut harmed = bytes.clone();
        harmed[at] ^= 0x10;
        fs::write(folder.path().join("log"), &harmed).expect("harmed");
        expect_that!(reopened(folder.path()), err(matches_pattern!(RecordsError::Damaged { .. })), "at {at}");
        // The next start has an empty file, and the damaged one stands beside it.
        expect_that!(reopened(folder.path()), ok(is_empty()));
        expect_that!(fs::read(folder.path().join("log.damaged")).expect("set aside"), eq(&harmed));
    }
}

#[gtest]
fn a_rewritten_file_holds_just_what_it_was_given_and_goes_on() {
    let folder = tempfile::tempdir().expect("a folder");
    three(folder.path());
    let (mut log, _) = Log::open(folder.path(), "log").expect("sound");
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
    let (mut log, _) = Log::open(folder.path(), "log").expect("sound");
    log.rewrite(&[record("all")]).expect("rewritten");
    expect_that!(reopened(folder.path()), ok(eq(&[record("all")].to_vec())));
}
