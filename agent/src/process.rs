//! A node's process. It is identified by its number and its start time, as numbers are reused. It has a process group of its own,
//! so that it outlives the agent, and its children end with it.

use std::fs::OpenOptions;
use std::io::{Result, Write};
use std::path::Path;
use std::process::Stdio;

use rustix::process::{Pid, Signal, kill_process, kill_process_group};
use serde::{Deserialize, Serialize};
use tokio::process::{Child, Command};

use crate::instance_files::InstanceFiles;

/// What identifies a process, as it is stored for the next agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
struct ProcessId {
    pid: i32,
    /// Clock ticks from the machine's boot to the start of the process; the file's name of it is that of the first release.
    #[serde(rename = "began")]
    start_ticks: u64,
}

impl ProcessId {
    /// The running process with this number.
    fn of_running(pid: i32) -> Option<Self> {
        Some(Self { pid, start_ticks: start_ticks(pid)? })
    }

    fn is_running(self) -> bool {
        start_ticks(self.pid) == Some(self.start_ticks)
    }
}

/// A process that has been started or found.
pub(crate) struct Process {
    id: ProcessId,
    /// None for the process of an earlier agent: its exit can be noticed, but not its status.
    child: Option<Child>,
}

/// The start time of a running process; none for one that has exited and is not reaped yet.
fn start_ticks(pid: i32) -> Option<u64> {
    let stat = procfs::process::Process::new(pid).ok()?.stat().ok()?;
    (!matches!(stat.state, 'Z' | 'X')).then_some(stat.starttime)
}

impl Process {
    /// Starts a process with its output appended to the instance's log, and stores its identity.
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
        // Without the record, the process is still found by its node's socket.
        if let Err(error) = process.write_record(&files.process_record) {
            tracing::warn!("{}: {error}", files.process_record.display());
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

    /// The process that an earlier agent has stored, if it still runs.
    pub(crate) fn find(files: &InstanceFiles) -> Option<Self> {
        let id: ProcessId = serde_json::from_slice(&std::fs::read(&files.process_record).ok()?).ok()?;
        id.is_running().then_some(Self { id, child: None })
    }

    /// The process with the number that it has reported itself, if it runs.
    pub(crate) fn adopt(pid: i32, files: &InstanceFiles) -> Option<Self> {
        let process = Self { id: ProcessId::of_running(pid)?, child: None };
        // Without the record, it is found by its node's socket once more.
        let _ = process.write_record(&files.process_record);
        Some(process)
    }

    pub(crate) fn pid(&self) -> i32 {
        self.id.pid
    }

    /// How it exited, if it has.
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

    /// Waits for its exit; for ever where it is no child of this agent.
    pub(crate) async fn wait(&mut self) {
        match &mut self.child {
            Some(child) => drop(child.wait().await),
            None => std::future::pending().await,
        }
    }

    /// Asks it to exit.
    pub(crate) fn terminate(&self) {
        self.signal(kill_process, Signal::TERM);
    }

    /// Ends it, with its children.
    pub(crate) fn kill(&self) {
        self.signal(kill_process_group, Signal::KILL);
        self.signal(kill_process, Signal::KILL);
    }

    /// Sends a signal, but never to another process that has got the number meanwhile.
    fn signal(&self, send: fn(Pid, Signal) -> rustix::io::Result<()>, signal: Signal) {
        if self.id.is_running()
            && let Some(pid) = Pid::from_raw(self.id.pid)
        {
            let _ = send(pid, signal);
        }
    }
}
