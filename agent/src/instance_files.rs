//! The files of an instance in the agent's state folder.

use std::path::{Path, PathBuf};

/// The paths of an instance's files.
#[derive(Clone, Debug)]
pub(crate) struct InstanceFiles {
    /// The record of its process.
    pub(crate) process_record: PathBuf,
    /// The socket on which its node answers.
    pub(crate) socket: PathBuf,
    /// Its node's output.
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
