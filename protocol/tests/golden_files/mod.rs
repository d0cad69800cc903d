//! Golden files: of bytes, one `name: hex` line for each encoded value, or of text.
#![allow(dead_code)]

use std::fmt::Write as _;
use std::path::{Path, PathBuf};

/// Set to `1` in the environment, this writes the golden files anew instead of comparing with them.
const UPDATE_VARIABLE: &str = "UPDATE_GOLDEN";

/// An encoded value, under the name by which it stands in its file.
#[derive(Debug, PartialEq, Eq)]
pub struct GoldenLine {
    /// Its name; no two lines of a file share one.
    pub name: String,
    /// Its bytes.
    pub bytes: Vec<u8>,
}

impl GoldenLine {
    /// A line of this name with these bytes.
    pub fn new(name: &str, bytes: Vec<u8>) -> Self {
        Self { name: name.to_owned(), bytes }
    }
}

/// The path of a golden file.
pub fn path(file: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(file)
}

/// Whether the golden files are to be written anew.
fn is_update() -> bool {
    std::env::var(UPDATE_VARIABLE).is_ok_and(|value| value == "1")
}

fn write(file: &str, text: &str) {
    std::fs::write(path(file), text).expect("a folder that can be written to");
}

fn read(file: &str) -> String {
    std::fs::read_to_string(path(file)).expect("a golden file that can be read")
}

/// Compares a text with the golden file. Where the environment asks for an update, the file is written first.
pub fn compare_text(file: &str, text: &str) {
    if is_update() {
        write(file, text);
    }
    assert_eq!(text, read(file), "{file}");
}

/// Compares the lines with those of the golden file, which has to hold the same names in the same order, and
/// returns those of the file. Where the environment asks for an update, the file is written first.
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
    let (name, hex) = line.split_once(": ").expect("a line `name: hex`");
    GoldenLine::new(name, from_hex(hex))
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::with_capacity(2 * bytes.len()), |mut hex, byte| {
        write!(hex, "{byte:02x}").expect("writing to memory");
        hex
    })
}

fn from_hex(hex: &str) -> Vec<u8> {
    assert!(hex.len().is_multiple_of(2), "an odd count of hex digits");
    let byte = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("hex digits");
    (0..hex.len()).step_by(2).map(byte).collect()
}
