//! The process of a node. It is identified by its PID and its start time, as PIDs are reused. It has a process group of its own, so
//! that it outlives the agent, and is killed together with its children.

use std::fs::OpenOptions;
use std::io::{Result, Write};
use std::path::Path;
use std::process::Stdio;

use rustix::process::{Pid, Signal, kill_process, kill_process_group};
use serde::{Deserialize, Serialize};
use tokio::process::{Child, Command};

use crate::instance_files::InstanceFiles;

/// The identity of a process, stored as a JSON file so that the next agent can adopt the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
struct ProcessId {
    pid: i32,
    /// Start time of the process, in clock ticks since the machine's boot. The key in the file is that of the first release.
    #[serde(rename = "began")]
    start_ticks: u64,
}

impl ProcessId {
    /// The identity of the running process with this PID; `None` if there is none.
    fn of_running(pid: i32) -> Option<Self> {
        Some(Self { pid, start_ticks: start_ticks(pid)? })
    }

    fn is_running(self) -> bool {
        start_ticks(self.pid) == Some(self.start_ticks)
    }
}

/// The process of a node, either started by this agent or adopted from an earlier one.
pub(crate) struct Process {
    id: ProcessId,
    /// `None` for an adopted process. It is not a child of this agent, so that its exit can be detected but its exit status can't be
    /// read.
    child: Option<Child>,
}

/// The start time of a running process, in clock ticks since boot; `None` if there is no such process, or it has exited and is not
/// reaped yet.
fn start_ticks(pid: i32) -> Option<u64> {
    let stat = procfs::process::Process::new(pid).ok()?.stat().ok()?;
    (!matches!(stat.state, 'Z' | 'X')).then_some(stat.starttime)
}

impl Process {
    /// Starts a process whose output is appended to the instance's log, and stores the identity of the process. A failure to store
    /// the identity is logged only.
    pub(crate) fn start(mut command: Command, files: &InstanceFiles) -> Result<Self> {
        let log = OpenOptions::new().create(true).append(true).open(&files.log)?;
        let child = command
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .process_group(0)
            .kill_on_drop(false)
            .spawn()?;
        let pid = child.id().map_or(0, |id| id as i32);
        let id = ProcessId { pid, start_ticks: start_ticks(pid).unwrap_or(0) };
        let process = Self { id, child: Some(child) };
        // Without the record, the next agent can still adopt the process by the PID that its node reports on the socket.
        if let Err(error) = process.write_record(&files.process_record) {
            tracing::warn!(
                "{}: the process record can't be written: {error}",
                files.process_record.display()
            );
        }
        Ok(process)
    }

    fn write_record(&self, path: &Path) -> Result<()> {
        let folder = path.parent().unwrap_or(Path::new("."));
        let mut file = tempfile::NamedTempFile::new_in(folder)?;
        file.write_all(serde_json::to_string(&self.id)?.as_bytes())?;
        file.persist(path)?;
        Ok(())
    }

    /// Adopts the process whose identity an earlier agent has stored, if that process still runs.
    pub(crate) fn find(files: &InstanceFiles) -> Option<Self> {
        let id: ProcessId = serde_json::from_slice(&std::fs::read(&files.process_record).ok()?).ok()?;
        id.is_running().then_some(Self { id, child: None })
    }

    /// Adopts the process with the PID that its node has reported on the socket, if that process runs.
    pub(crate) fn adopt(pid: i32, files: &InstanceFiles) -> Option<Self> {
        let process = Self { id: ProcessId::of_running(pid)?, child: None };
        // Without the record, the next agent can adopt the process by its node's socket again.
        let _ = process.write_record(&files.process_record);
        Some(process)
    }

    pub(crate) fn pid(&self) -> i32 {
        self.id.pid
    }

    /// How the process exited, in words for operators; `None` while it runs.
    pub(crate) fn exit(&mut self) -> Option<String> {
        match &mut self.child {
            Some(child) => match child.try_wait() {
                Ok(status) => Some(status?.to_string()),
                Err(error) => Some(error.to_string()),
            },
            None if self.id.is_running() => None,
            None => Some("it ended; how is not known, as an earlier agent started it".into()),
        }
    }

    /// Waits for the exit of the process. Never completes for an adopted process, whose exit only [`Self::exit`] detects.
    pub(crate) async fn wait(&mut self) {
        match &mut self.child {
            Some(child) => drop(child.wait().await),
            None => std::future::pending().await,
        }
    }

    /// Asks the process to exit (SIGTERM).
    pub(crate) fn terminate(&self) {
        self.signal(kill_process, Signal::TERM);
    }

    /// Kills the process and its children (SIGKILL to the process group).
    pub(crate) fn kill(&self) {
        self.signal(kill_process_group, Signal::KILL);
        self.signal(kill_process, Signal::KILL);
    }

    /// Sends a signal, unless the process has exited: another process may have the PID by now.
    fn signal(&self, send: fn(Pid, Signal) -> rustix::io::Result<()>, signal: Signal) {
        if self.id.is_running()
            && let Some(pid) = Pid::from_raw(self.id.pid)
        {
            let _ = send(pid, signal);
        }
    }
}
