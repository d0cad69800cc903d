//! Exit codes of `ivyhatch`, and functions that report an error and return its code.

use std::fmt::Display;
use std::process::ExitCode;

/// An invariant was violated, a run failed, or a command failed at an instance.
pub const FAILURE: u8 = 1;

/// The arguments are not valid; clap exits with the same code.
pub const WRONG_USAGE: u8 = 2;

/// A file or a resource that the command needs cannot be used.
pub const UNUSABLE: u8 = 3;

/// A command was rejected for at least one instance and failed at none, no instance matches its selectors, a control node rejected a
/// call, or a lock was lost.
pub const REJECTED: u8 = 4;

/// The outcome at an instance or of a call is unknown, and nothing failed or was rejected.
pub const UNKNOWN: u8 = 5;

/// Ctrl-C ended the command. As in shells, the code is 128 plus the number of SIGINT, 2.
pub const INTERRUPTED: u8 = 130;

/// Prints an error to standard error and returns [`UNUSABLE`].
pub fn report_unusable(error: impl Display) -> ExitCode {
    eprintln!("ivyhatch: {error}");
    ExitCode::from(UNUSABLE)
}

/// Prints a message about an argument that is not valid to standard error, and returns [`WRONG_USAGE`].
pub fn report_wrong_usage(message: impl Display) -> ExitCode {
    eprintln!("ivyhatch: {message}");
    ExitCode::from(WRONG_USAGE)
}

/// [`FAILURE`] if the number of failures or violations is above 0, success otherwise.
pub fn code_for_failures(count: usize) -> ExitCode {
    if count > 0 { ExitCode::from(FAILURE) } else { ExitCode::SUCCESS }
}
