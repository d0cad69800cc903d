#![forbid(unsafe_code)]
//! `ivyhatch`: the command line. Exit codes: 0 all well, 1 a rule was broken or a play failed, 2 wrong use, 3 a file that can't
//! be used.

mod experiment;
mod hunt;
mod lab;

use std::io::IsTerminal;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};

#[derive(Parser)]
#[command(name = "ivyhatch", version, about = "Load balancing for match servers, and its lab")]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays a model of the fleet in virtual time.
    Lab(lab::Lab),
}

fn main() -> ExitCode {
    match Cli::parse().command {
        Command::Lab(lab) => lab::run(lab),
    }
}

fn unusable(text: &str) -> ExitCode {
    eprintln!("ivyhatch: {text}");
    ExitCode::from(3)
}

/// A progress bar on standard error; hidden where nobody watches, or where `quiet`.
fn bar(length: u64, quiet: bool, template: &str) -> ProgressBar {
    if quiet || !std::io::stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    let style = ProgressStyle::with_template(template).expect("a sound template");
    ProgressBar::new(length).with_style(style)
}

/// As many as there are cores.
fn threads() -> usize {
    std::thread::available_parallelism().map_or(1, std::num::NonZero::get)
}
