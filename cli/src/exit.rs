//! The exit codes of `ivyhatch`, and the message that goes with code 3.

use std::fmt::Display;
use std::process::ExitCode;

/// A rule was broken or a run failed.
pub const FAILURE: u8 = 1;

/// The arguments are wrong; clap uses the same code.
pub const WRONG_USAGE: u8 = 2;

/// A file or a resource that the command needs cannot be used.
pub const UNUSABLE: u8 = 3;

/// The command was rejected for some instance and failed for none, or no instance matches; or a call was decided against.
pub const REJECTED: u8 = 4;

/// The outcome at some instance, or of a call, is unknown, and nothing failed or was rejected.
pub const UNKNOWN: u8 = 5;

/// Ctrl-C ended the command: 128 and the number of SIGINT, as shells report it.
pub const INTERRUPTED: u8 = 130;

/// Prints the error to standard error and returns [`UNUSABLE`].
pub fn report_unusable(error: impl Display) -> ExitCode {
    eprintln!("ivyhatch: {error}");
    ExitCode::from(UNUSABLE)
}

/// Prints a wrong argument to standard error and returns [`WRONG_USAGE`].
pub fn report_wrong_usage(message: impl Display) -> ExitCode {
    eprintln!("ivyhatch: {message}");
    ExitCode::from(WRONG_USAGE)
}

/// [`FAILURE`] if anything failed, success otherwise.
pub fn code_for_failures(count: usize) -> ExitCode {
    if count > 0 { ExitCode::from(FAILURE) } else { ExitCode::SUCCESS }
}
