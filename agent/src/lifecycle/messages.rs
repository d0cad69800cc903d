//! What goes into an instance's state machine and what comes out.

use super::state::DesiredState;

/// What happens to an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// An operator has set the desired state.
    DesiredStateSet(DesiredState),
    /// An operator wants a new process, also of an instance in a crash loop.
    RestartRequested,
    /// The process has been started.
    Started,
    /// The process could not be started: why.
    StartFailed(String),
    /// The process of an earlier agent was found.
    Adopted {
        /// It has reported that it serves.
        is_ready: bool,
        /// It accepts no new requests.
        is_draining: bool,
    },
    /// The process reports that it serves. It may have missed a request to drain while it hung: it is asked again where its report
    /// does not agree with the phase.
    Reported {
        /// It accepts no new requests.
        is_draining: bool,
    },
    /// The process reports that it drains and that no request is open.
    Drained,
    /// The process has exited: how.
    Exited(String),
    /// Time has passed; due at the latest at the next deadline.
    Tick,
}

/// What the caller has to do.
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
    /// End the process (SIGKILL).
    Kill,
}
