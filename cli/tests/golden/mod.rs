//! Compares text with golden files, which record externally visible behaviour.
//!
//! Golden files are rewritten only if the environment variable `UPDATE_GOLDEN` is `1`. Otherwise a missing golden file fails its test.

#![allow(dead_code)]

use std::path::{Path, PathBuf};

/// Name of the environment variable that makes tests rewrite their golden files when it is set to `1`.
const UPDATE_ENV_VAR: &str = "UPDATE_GOLDEN";

/// Whether this test run rewrites golden files.
pub fn is_update() -> bool {
    std::env::var(UPDATE_ENV_VAR).is_ok_and(|value| value == "1")
}

/// Returns the path of a golden file in the `tests/golden` folder of the crate under test; `name` is relative to that folder.
pub fn golden_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

/// Reads a golden file; panics if the file cannot be read.
pub fn read_golden(name: &str) -> String {
    let path = golden_path(name);
    let text = std::fs::read_to_string(&path);
    text.unwrap_or_else(|error| {
        panic!("{}: cannot read the golden file: {error}; set {UPDATE_ENV_VAR}=1 to write it", path.display())
    })
}

/// Asserts that a text equals a golden file byte for byte; first rewrites the file if [`is_update`] returns true.
pub fn assert_golden(name: &str, actual: &str) {
    if is_update() {
        let path = golden_path(name);
        std::fs::create_dir_all(path.parent().expect("a golden file is in a folder"))
            .expect("the golden folder can be created");
        std::fs::write(&path, actual).expect("the golden file can be written");
    }
    let expected = read_golden(name);
    if expected == actual {
        return;
    }
    let line_index = expected.lines().zip(actual.lines()).position(|(expected, actual)| expected != actual);
    let line_index = line_index.unwrap_or_else(|| expected.lines().count().min(actual.lines().count()));
    panic!(
        "{name} differs from the actual text from line {} on:\n  golden: {}\n  actual: {}\n\ncomplete actual text:\n{actual}",
        line_index + 1,
        expected.lines().nth(line_index).unwrap_or("(end)"),
        actual.lines().nth(line_index).unwrap_or("(end)"),
    );
}

/// Asserts that a golden folder contains exactly the files with these names.
pub fn assert_golden_folder(folder: &str, names: &[String]) {
    let entries = std::fs::read_dir(golden_path(folder)).expect("the golden folder can be read");
    let mut found: Vec<String> = entries
        .map(|entry| {
            entry.expect("the golden folder's entries can be read").file_name().to_string_lossy().into_owned()
        })
        .collect();
    let mut expected = names.to_vec();
    found.sort();
    expected.sort();
    assert_eq!(found, expected, "golden files in {folder}");
}
