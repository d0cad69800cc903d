//! Progress bars, and how many threads a command uses.

use std::io::{IsTerminal, stderr};
use std::num::NonZero;
use std::thread::available_parallelism;

use indicatif::{ProgressBar, ProgressStyle};

/// A progress bar on standard error; hidden if that is not a terminal or `quiet` is set.
pub fn progress_bar(length: u64, quiet: bool, template: &str) -> ProgressBar {
    if quiet || !stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    let style = ProgressStyle::with_template(template).expect("templates are constants and valid");
    ProgressBar::new(length).with_style(style)
}

/// One thread for each available core; one if their number is unknown.
pub fn default_threads() -> usize {
    available_parallelism().map_or(1, NonZero::get)
}
