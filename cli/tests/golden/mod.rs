//! Compares text with golden files, which hold outside behaviour fixed.
//!
//! A golden file is rewritten only where the environment sets `UPDATE_GOLDEN=1`. A missing golden file fails its test.

#![allow(dead_code)]

use std::path::{Path, PathBuf};

/// Set to `1`, it has golden files rewritten.
const UPDATE_ENV_VAR: &str = "UPDATE_GOLDEN";

/// Whether golden files are rewritten by this run.
pub fn is_update() -> bool {
    std::env::var(UPDATE_ENV_VAR).is_ok_and(|value| value == "1")
}

/// Where a golden file of the crate under test is.
pub fn golden_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

/// Reads a golden file. A missing one fails the test.
pub fn read_golden(name: &str) -> String {
    let path = golden_path(name);
    let text = std::fs::read_to_string(&path);
    text.unwrap_or_else(|error| panic!("{}: {error}: write it with {UPDATE_ENV_VAR}=1", path.display()))
}

/// Asserts that a text equals a golden file byte by byte.
pub fn assert_golden(name: &str, actual: &str) {
    if is_update() {
        let path = golden_path(name);
        std::fs::create_dir_all(path.parent().expect("a folder")).expect("the folder can be made");
        std::fs::write(&path, actual).expect("the golden file can be written");
    }
    let expected = read_golden(name);
    if expected == actual {
        return;
    }
    let line_index = expected.lines().zip(actual.lines()).position(|(expected, actual)| expected != actual);
    let line_index = line_index.unwrap_or_else(|| expected.lines().count().min(actual.lines().count()));
    panic!(
        "{name} differs from line {}:\n  golden: {}\n  actual: {}\n\nwhole text:\n{actual}",
        line_index + 1,
        expected.lines().nth(line_index).unwrap_or("(end)"),
        actual.lines().nth(line_index).unwrap_or("(end)"),
    );
}

/// Asserts that a golden folder holds these files and no others.
pub fn assert_golden_folder(folder: &str, names: &[String]) {
    let entries = std::fs::read_dir(golden_path(folder)).expect("a golden folder");
    let mut found: Vec<String> =
        entries.map(|entry| entry.expect("an entry").file_name().to_string_lossy().into_owned()).collect();
    let mut expected = names.to_vec();
    found.sort();
    expected.sort();
    assert_eq!(found, expected, "files in {folder}");
}
