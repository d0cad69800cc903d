//! Paths of an instance's files in the agent's state folder.

use std::path::{Path, PathBuf};

/// The paths of an instance's files.
#[derive(Clone, Debug)]
pub(crate) struct InstanceFiles {
    /// The record that identifies the instance's process, for the next agent to adopt it.
    pub(crate) process_record: PathBuf,
    /// The control socket on which the instance's node answers the agent.
    pub(crate) socket: PathBuf,
    /// The log with the node's standard output and standard error.
    pub(crate) log: PathBuf,
}

impl InstanceFiles {
    pub(crate) fn new(state_folder: &Path, instance: &str) -> Self {
        let run = state_folder.join("run");
        Self {
            process_record: run.join(format!("{instance}.json")),
            socket: run.join(format!("{instance}.sock")),
            log: state_folder.join("log").join(format!("{instance}.log")),
        }
    }
}
