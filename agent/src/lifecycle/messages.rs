//! Inputs and outputs of an instance's state machine.

use super::state::DesiredState;

/// An input of the state machine: a command of an operator, an event of the process, or the passing of time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// An operator has set the desired state.
    DesiredStateSet(DesiredState),
    /// An operator has requested a restart. An instance in a crash loop is started by it as well.
    RestartRequested,
    /// The process has been started.
    Started,
    /// The process could not be started, for this reason.
    StartFailed(String),
    /// The running process of an earlier agent has been adopted.
    Adopted {
        /// Whether the process has reported that it serves or drains.
        is_ready: bool,
        /// Whether the process drains: it accepts no new requests.
        is_draining: bool,
    },
    /// The process reports that it serves or drains. It may have missed `Drain` or `Undrain` while it hung, so the output is repeated if
    /// the report does not match the phase.
    Reported {
        /// Whether the process drains: it accepts no new requests.
        is_draining: bool,
    },
    /// The process reports that it drains and has no request in flight.
    Drained,
    /// The process has exited; the text is its exit status in words.
    Exited(String),
    /// Time has passed. Due at the next deadline; earlier ticks are harmless.
    Tick,
}

/// An output of the state machine: an action that the caller has to carry out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Start a process, and report `Started` or `StartFailed`.
    Start,
    /// Ask the process to accept no new requests.
    Drain,
    /// Ask the process to accept requests again.
    Undrain,
    /// Ask the process to exit (SIGTERM).
    Terminate,
    /// Kill the process (SIGKILL).
    Kill,
}
