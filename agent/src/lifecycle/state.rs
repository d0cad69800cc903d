//! The states of an instance: the desired state, and the current phase.

use serde::{Deserialize, Serialize};

/// The state that operators have asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DesiredState {
    /// The instance's process serves requests.
    Running,
    /// The instance's process runs and accepts no new requests.
    Drained,
    /// The instance has no process.
    Stopped,
}

/// The phase of an instance's lifecycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// No process, and none is to be started.
    Stopped,
    /// A process has been started and does not serve yet.
    Starting,
    /// The process serves requests.
    Ready,
    /// The process accepts no new requests; those in flight may or may not have completed.
    Draining,
    /// The process was asked to exit and has not exited yet.
    Stopping,
    /// No process; the instance is restarted after a back-off.
    BackingOff,
    /// No process; the instance is in a crash loop, and is started only by a new command.
    Crashed,
    /// The process has stopped reporting its state.
    Unresponsive,
}
