//! The log file of a node: rotation, and reading of the last lines.

use std::fs::{File, OpenOptions};
use std::io::{Read, Result, Seek, SeekFrom};
use std::path::Path;

/// Size in bytes above which a log is rotated. One earlier log is kept, as `NAME.log.1`.
const MAX_LOG_BYTES: u64 = 8 << 20;
/// Bytes at the end of a log that are read for its last lines.
const TAIL_BYTES: u64 = 1 << 20;

/// Rotates a log that is larger than [`MAX_LOG_BYTES`]. The file is copied and truncated instead of renamed, as the process goes on
/// appending to its open file. A failure is logged; the next poll tries again.
pub(crate) fn rotate_if_large(log: &Path) {
    let is_large = std::fs::metadata(log).is_ok_and(|file| file.len() > MAX_LOG_BYTES);
    if !is_large {
        return;
    }
    if let Err(error) = copy_and_truncate(log) {
        tracing::warn!("{}: the log can't be rotated: {error}", log.display());
    }
}

fn copy_and_truncate(log: &Path) -> Result<()> {
    std::fs::copy(log, log.with_extension("log.1"))?;
    OpenOptions::new().write(true).open(log)?.set_len(0)
}

/// The last lines of a log, at most `count`, out of its last MiB. Empty if the log can't be read.
pub(crate) fn last_lines(log: &Path, count: usize) -> Vec<String> {
    let tail = read_tail(log).unwrap_or_default();
    let text = String::from_utf8_lossy(&tail);
    let lines: Vec<&str> = text.lines().collect();
    lines[lines.len().saturating_sub(count)..].iter().map(|line| (*line).to_owned()).collect()
}

fn read_tail(log: &Path) -> Result<Vec<u8>> {
    let mut file = File::open(log)?;
    let length = file.metadata()?.len();
    file.seek(SeekFrom::Start(length.saturating_sub(TAIL_BYTES)))?;
    let mut tail = Vec::new();
    file.take(TAIL_BYTES).read_to_end(&mut tail)?;
    Ok(tail)
}
