//! The states of an instance: the desired one, and the phase that it is in.

use serde::{Deserialize, Serialize};

/// What an operator wants of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DesiredState {
    /// It serves.
    Running,
    /// Its process runs and accepts no new requests.
    Drained,
    /// It has no process.
    Stopped,
}

/// The phase of an instance's lifecycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// No process, and none desired.
    Stopped,
    /// A process that does not serve yet.
    Starting,
    /// It serves.
    Ready,
    /// It accepts no new requests, and may have completed the open ones.
    Draining,
    /// It was asked to exit.
    Stopping,
    /// No process; it is started again after a back-off.
    BackingOff,
    /// No process; it is in a crash loop, and is started again only on request.
    Crashed,
    /// A process that does not report its state any more.
    Unresponsive,
}
