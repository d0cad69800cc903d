//! A node's process. It is known by its number and its start, as numbers come again; it is of a group of its own, so that
//! it outlives the agent and what it forks ends with it.

use std::fs::{File, OpenOptions};
use std::io::{Read, Result, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::process::Stdio;

use rustix::process::{Pid, Signal, kill_process, kill_process_group};
use serde::{Deserialize, Serialize};
use tokio::process::{Child, Command};

/// A log is cut back when it is longer than this; what was in it is kept once, as `NAME.log.1`.
const LONGEST_LOG: u64 = 8 << 20;

/// Where an instance's files are.
#[derive(Clone, Debug)]
pub(crate) struct Places {
    pub(crate) known: PathBuf,
    pub(crate) socket: PathBuf,
    pub(crate) log: PathBuf,
}

impl Places {
    pub(crate) fn of(state: &Path, name: &str) -> Self {
        let run = state.join("run");
        Self {
            known: run.join(format!("{name}.json")),
            socket: run.join(format!("{name}.sock")),
            log: state.join("log").join(format!("{name}.log")),
        }
    }
}

/// What is written down of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
struct Known {
    pid: i32,
    /// Ticks from the machine's start to the process's.
    began: u64,
}

pub(crate) struct Process {
    known: Known,
    /// None for one that an earlier agent started: its end can be seen, and not how.
    child: Option<Child>,
}

fn began(pid: i32) -> Option<u64> {
    let stat = procfs::process::Process::new(pid).ok()?.stat().ok()?;
    // What has ended and waits for its parent's notice runs no more.
    (!matches!(stat.state, 'Z' | 'X')).then_some(stat.starttime)
}

impl Process {
    /// Starts one, and writes down that it is there.
    pub(crate) fn start(mut command: Command, places: &Places) -> Result<Self> {
        let log = OpenOptions::new().create(true).append(true).open(&places.log)?;
        let child = command
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .process_group(0)
            .kill_on_drop(false)
            .spawn()?;
        let pid = child.id().map_or(0, |id| id as i32);
        let process = Self { known: Known { pid, began: began(pid).unwrap_or(0) }, child: Some(child) };
        // Should this fail, the process is still found by its socket.
        if let Err(error) = process.write_down(&places.known) {
            tracing::warn!("{}: {error}", places.known.display());
        }
        Ok(process)
    }

    fn write_down(&self, path: &Path) -> Result<()> {
        let folder = path.parent().unwrap_or(Path::new("."));
        let mut file = tempfile::NamedTempFile::new_in(folder)?;
        file.write_all(serde_json::to_string(&self.known)?.as_bytes())?;
        file.persist(path)?;
        Ok(())
    }

    /// One that an earlier agent has written down, if it is still there.
    pub(crate) fn find(places: &Places) -> Option<Self> {
        let known: Known = serde_json::from_slice(&std::fs::read(&places.known).ok()?).ok()?;
        (began(known.pid)? == known.began).then_some(Self { known, child: None })
    }

    /// One that says itself that it has this number.
    pub(crate) fn adopt(pid: i32, places: &Places) -> Option<Self> {
        let process = Self { known: Known { pid, began: began(pid)? }, child: None };
        let _ = process.write_down(&places.known);
        Some(process)
    }

    pub(crate) fn pid(&self) -> i32 {
        self.known.pid
    }

    /// How it ended, if it has.
    pub(crate) fn ended(&mut self) -> Option<String> {
        match &mut self.child {
            Some(child) => match child.try_wait() {
                Ok(status) => Some(status?.to_string()),
                Err(error) => Some(error.to_string()),
            },
            None if began(self.known.pid) == Some(self.known.began) => None,
            None => Some("it ended; how is not known, as an earlier agent started it".into()),
        }
    }

    /// Waits for its end, where that can be waited for.
    pub(crate) async fn end(&mut self) {
        match &mut self.child {
            Some(child) => drop(child.wait().await),
            None => std::future::pending().await,
        }
    }

    /// Asks it to end.
    pub(crate) fn terminate(&self) {
        self.signal(kill_process, Signal::TERM);
    }

    /// Ends it, and all that it has forked.
    pub(crate) fn kill(&self) {
        self.signal(kill_process_group, Signal::KILL);
        self.signal(kill_process, Signal::KILL);
    }

    fn signal(&self, send: fn(Pid, Signal) -> rustix::io::Result<()>, signal: Signal) {
        // Never to another process that has got its number meanwhile.
        if began(self.known.pid) == Some(self.known.began)
            && let Some(pid) = Pid::from_raw(self.known.pid)
        {
            let _ = send(pid, signal);
        }
    }
}

/// Cuts a log back that has grown too long. The process goes on writing at its end.
pub(crate) fn cut_back(log: &Path) {
    let long = std::fs::metadata(log).is_ok_and(|file| file.len() > LONGEST_LOG);
    if long {
        let cut = std::fs::copy(log, log.with_extension("log.1"))
            .and_then(|_| OpenOptions::new().write(true).open(log))
            .and_then(|file: File| file.set_len(0));
        if let Err(error) = cut {
            tracing::warn!("{}: {error}", log.display());
        }
    }
}

/// The last lines of a log, as far as its last megabyte goes.
pub(crate) fn last_lines(log: &Path, count: usize) -> Vec<String> {
    let tail = || -> Result<Vec<u8>> {
        let mut file = File::open(log)?;
        let length = file.metadata()?.len();
        file.seek(SeekFrom::Start(length.saturating_sub(1 << 20)))?;
        let mut tail = Vec::new();
        file.take(1 << 20).read_to_end(&mut tail)?;
        Ok(tail)
    };
    let tail = tail().unwrap_or_default();
    let text = String::from_utf8_lossy(&tail);
    let lines: Vec<&str> = text.lines().collect();
    lines[lines.len().saturating_sub(count)..].iter().map(|line| (*line).to_owned()).collect()
}
