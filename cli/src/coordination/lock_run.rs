//! `ivyhatch lock run`: a command that runs while a lock is held.
//!
//! The holder's time is counted from when it sent its last good call. A command whose lock can't be renewed gets SIGTERM while there is time
//! left, and SIGKILL when there is none: another holder may have the lock from then on.

use std::process::ExitCode;
use std::time::Duration;

use hyper::{Method, StatusCode};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;
use tokio::process::{Child, Command};
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{Instant, sleep, sleep_until};

use super::CALL_TIME_LIMIT;
use super::client::{CallError, ControlClient};
use crate::exit::{FAILURE, REJECTED};

/// The fencing token of the lock, for the command.
const FENCE_VARIABLE: &str = "FENCE";
/// A lock that another holds is asked for again after this.
const ACQUIRE_RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// A lock is renewed when this part of its time is over ...
const RENEW_AFTER_FRACTION: f64 = 0.33;
/// ... and the command gets SIGTERM when this part is over without a renewal.
const TERMINATE_AFTER_FRACTION: f64 = 0.75;

/// The arguments of `ivyhatch lock run`.
#[derive(Clone, Debug)]
pub struct LockRun {
    pub hold_ms: u64,
    pub holder: Option<String>,
    pub wait_s: u64,
    pub name: String,
    pub command: Vec<String>,
}

/// A lock that this process holds.
struct HeldLock {
    path: String,
    holder: String,
    fence: u64,
    hold_time: Duration,
    /// When the last good call was sent.
    hold_started: Instant,
}

impl HeldLock {
    /// The moment when a part of the time is over.
    fn instant_at(&self, fraction: f64) -> Instant {
        self.hold_started + self.hold_time.mul_f64(fraction)
    }

    async fn renew(&mut self, client: &mut ControlClient) -> Result<(), CallError> {
        let sent_at = Instant::now();
        let body =
            json!({"holder": self.holder, "fence": self.fence, "hold_ms": self.hold_time.as_millis() as u64});
        let remaining = self.instant_at(1.0).saturating_duration_since(sent_at);
        client.call_with_retries(Method::PUT, &self.path, Some(&body), remaining).await?;
        self.hold_started = sent_at;
        Ok(())
    }

    async fn release(&self, client: &mut ControlClient) {
        let body = json!({"holder": self.holder, "fence": self.fence});
        // Where nobody answers, the lock is free when its time is over.
        let _ = client.call_with_retries(Method::DELETE, &self.path, Some(&body), self.hold_time).await;
    }
}

/// Takes the lock, runs the command, and frees the lock.
///
/// # Errors
/// Where the lock is not given.
pub async fn run(mut client: ControlClient, arguments: LockRun) -> Result<ExitCode, CallError> {
    let mut lock = acquire(&mut client, &arguments).await?;
    let mut command = Command::new(&arguments.command[0]);
    command.args(&arguments.command[1..]).env(FENCE_VARIABLE, lock.fence.to_string()).kill_on_drop(true);
    let mut child = match command.spawn() {
        Ok(child) => child,
        Err(error) => {
            lock.release(&mut client).await;
            let text = format!("{}: {error}", arguments.command[0]);
            return Ok(crate::exit::report_unusable(text));
        }
    };
    let code = supervise(&mut client, &mut lock, &mut child).await;
    lock.release(&mut client).await;
    Ok(code)
}

async fn acquire(client: &mut ControlClient, arguments: &LockRun) -> Result<HeldLock, CallError> {
    let holder = arguments
        .holder
        .clone()
        .unwrap_or_else(|| format!("run-{}-{}", std::process::id(), rand::random::<u32>()));
    let path = format!("locks/{}", arguments.name);
    let body = json!({"holder": holder, "hold_ms": arguments.hold_ms});
    let wait_end = Instant::now() + Duration::from_secs(arguments.wait_s);
    loop {
        let sent_at = Instant::now();
        let hold_time = Duration::from_millis(arguments.hold_ms);
        match client.call_with_retries(Method::POST, &path, Some(&body), CALL_TIME_LIMIT).await {
            Ok(response) if sent_at.elapsed() < hold_time => {
                let fence = response["fence"].as_u64().unwrap_or_default();
                return Ok(HeldLock { path, holder, fence, hold_time, hold_started: sent_at });
            }
            // It came too late to be of use.
            Ok(_) => {}
            Err(CallError::Rejected { status: StatusCode::CONFLICT, .. }) if Instant::now() < wait_end => {
                sleep(ACQUIRE_RETRY_INTERVAL).await;
            }
            Err(error) => return Err(error),
        }
    }
}

/// Renews the lock until the command has ended; ends the command where the lock is lost, and on SIGINT and SIGTERM.
async fn supervise(client: &mut ControlClient, lock: &mut HeldLock, child: &mut Child) -> ExitCode {
    let (Ok(mut interrupt), Ok(mut terminate)) =
        (signal(SignalKind::interrupt()), signal(SignalKind::terminate()))
    else {
        return crate::exit::report_unusable("can't handle signals");
    };
    let mut is_lock_lost = false;
    loop {
        let wake_at = if is_lock_lost { lock.instant_at(1.0) } else { lock.instant_at(RENEW_AFTER_FRACTION) };
        tokio::select! {
            status = child.wait() => return exit_code(status.ok().and_then(|status| status.code()), is_lock_lost),
            _ = interrupt.recv() => send_sigterm(child),
            _ = terminate.recv() => send_sigterm(child),
            () = sleep_until(wake_at) => {
                if is_lock_lost {
                    // Its time is over: another may hold the lock.
                    let _ = child.kill().await;
                    continue;
                }
                let terminate_at = lock.instant_at(TERMINATE_AFTER_FRACTION);
                let renewed = tokio::select! {
                    renewed = lock.renew(client) => renewed.is_ok(),
                    () = sleep_until(terminate_at) => false,
                };
                if !renewed {
                    is_lock_lost = true;
                    eprintln!("ivyhatch: the lock can't be renewed: the command is ended");
                    send_sigterm(child);
                }
            }
        }
    }
}

fn send_sigterm(child: &Child) {
    let pid = child.id().and_then(|id| Pid::from_raw(id as i32));
    if let Some(pid) = pid {
        // A process that has ended meanwhile needs no signal.
        let _ = kill_process(pid, Signal::TERM);
    }
}

/// The command's own code; 4 where the lock was lost.
fn exit_code(code: Option<i32>, is_lock_lost: bool) -> ExitCode {
    if is_lock_lost {
        return ExitCode::from(REJECTED);
    }
    ExitCode::from(code.and_then(|code| u8::try_from(code).ok()).unwrap_or(FAILURE))
}
