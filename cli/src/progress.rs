//! Progress bars, and the default number of threads.

use std::io::{IsTerminal, stderr};
use std::num::NonZero;
use std::thread::available_parallelism;

use indicatif::{ProgressBar, ProgressStyle};

/// A progress bar on standard error; hidden if standard error is not a terminal or `quiet` is set.
pub fn progress_bar(length: u64, quiet: bool, template: &str) -> ProgressBar {
    if quiet || !stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    let style = ProgressStyle::with_template(template).expect("the template is a valid constant");
    ProgressBar::new(length).with_style(style)
}

/// One thread for each available core; one thread if the number of cores is unknown.
pub fn default_threads() -> usize {
    available_parallelism().map_or(1, NonZero::get)
}
