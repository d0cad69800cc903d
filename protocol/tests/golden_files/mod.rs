//! Golden files: either encoded values, one `name: hex` line for each value, or plain text.
#![allow(dead_code)]

use std::fmt::Write as _;
use std::path::{Path, PathBuf};

/// The environment variable that, if set to `1`, makes the tests rewrite their golden files before the comparison.
const UPDATE_VARIABLE: &str = "UPDATE_GOLDEN";

/// An encoded value and its name in the golden file.
#[derive(Debug, PartialEq, Eq)]
pub struct GoldenLine {
    /// The name of the value, unique in the file.
    pub name: String,
    /// The encoded value.
    pub bytes: Vec<u8>,
}

impl GoldenLine {
    pub fn new(name: &str, bytes: Vec<u8>) -> Self {
        Self { name: name.to_owned(), bytes }
    }
}

/// The path of a golden file.
pub fn path(file: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(file)
}

/// Whether the golden files are to be rewritten.
fn is_update() -> bool {
    std::env::var(UPDATE_VARIABLE).is_ok_and(|value| value == "1")
}

fn write(file: &str, text: &str) {
    std::fs::write(path(file), text).expect("golden file can be written");
}

fn read(file: &str) -> String {
    std::fs::read_to_string(path(file)).expect("golden file can be read")
}

/// Compares a text with the golden file. If [`UPDATE_VARIABLE`] is set, the file is rewritten first.
pub fn compare_text(file: &str, text: &str) {
    if is_update() {
        write(file, text);
    }
    assert_eq!(text, read(file), "{file}");
}

/// Compares the lines with those of the golden file, which must have the same names in the same order. Returns the
/// lines of the file. If [`UPDATE_VARIABLE`] is set, the file is rewritten first.
pub fn compare(file: &str, lines: &[GoldenLine]) -> Vec<GoldenLine> {
    if is_update() {
        write(file, &to_text(lines));
    }
    let text = read(file);
    let golden: Vec<GoldenLine> = text.lines().map(parse_line).collect();
    let golden_names: Vec<&str> = golden.iter().map(|line| line.name.as_str()).collect();
    let names: Vec<&str> = lines.iter().map(|line| line.name.as_str()).collect();
    assert_eq!(names, golden_names, "the names in {file}");
    for (line, golden_line) in lines.iter().zip(&golden) {
        let (encoded, expected) = (to_hex(&line.bytes), to_hex(&golden_line.bytes));
        assert!(encoded == expected, "{file}: {}:\n encoded {encoded}\n golden  {expected}", line.name);
    }
    golden
}

fn to_text(lines: &[GoldenLine]) -> String {
    lines.iter().map(|line| format!("{}: {}\n", line.name, to_hex(&line.bytes))).collect()
}

fn parse_line(line: &str) -> GoldenLine {
    let (name, hex) = line.split_once(": ").expect("line has the form `name: hex`");
    GoldenLine::new(name, from_hex(hex))
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::with_capacity(2 * bytes.len()), |mut hex, byte| {
        write!(hex, "{byte:02x}").expect("writing to memory");
        hex
    })
}

fn from_hex(hex: &str) -> Vec<u8> {
    assert!(hex.len().is_multiple_of(2), "odd number of hex digits");
    let byte = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("hex digits");
    (0..hex.len()).step_by(2).map(byte).collect()
}
