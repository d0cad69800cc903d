//! `ivyhatch lock run`: runs a command while a lock is held.
//!
//! This process counts the hold time of the lock from when it sent its last successful call to acquire or renew the lock. If the lock can't
//! be renewed, the command gets SIGTERM before the end of the hold time, and SIGKILL at its end, because another holder may have the lock
//! from then on.

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

/// Environment variable that passes the lock's fencing token to the command.
const FENCE_VARIABLE: &str = "FENCE";
/// Delay between two attempts to acquire a lock that another holder has.
const ACQUIRE_RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Fraction of the hold time after which the lock is renewed.
const RENEW_AFTER_FRACTION: f64 = 0.33;
/// Fraction of the hold time after which the command gets SIGTERM if the lock has not been renewed.
const TERMINATE_AFTER_FRACTION: f64 = 0.75;

/// The arguments of `ivyhatch lock run`.
#[derive(Clone, Debug)]
pub struct LockRun {
    /// Hold time after each renewal, in milliseconds.
    pub hold_ms: u64,
    /// Name of the holder; `None` for a name that only this process uses.
    pub holder: Option<String>,
    /// How long to wait for a lock that another holder has, in seconds.
    pub wait_s: u64,
    /// Name of the lock.
    pub name: String,
    /// The program to run and its arguments; never empty.
    pub command: Vec<String>,
}

/// A lock that this process holds.
struct HeldLock {
    /// Path of the lock's calls, below `/-/`.
    path: String,
    holder: String,
    /// The fencing token.
    fence: u64,
    hold_time: Duration,
    /// When the last successful call to acquire or renew the lock was sent.
    hold_started: Instant,
}

impl HeldLock {
    /// When this fraction of the hold time is over.
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
        // If no control node responds, the lock expires at the end of its hold time.
        let _ = client.call_with_retries(Method::DELETE, &self.path, Some(&body), self.hold_time).await;
    }
}

/// Acquires the lock, runs the command and releases the lock.
///
/// # Errors
/// [`CallError`] if the lock is not acquired.
pub async fn run(mut client: ControlClient, arguments: LockRun) -> Result<ExitCode, CallError> {
    let mut lock = acquire(&mut client, &arguments).await?;
    let mut command = Command::new(&arguments.command[0]);
    command.args(&arguments.command[1..]).env(FENCE_VARIABLE, lock.fence.to_string()).kill_on_drop(true);
    let mut child = match command.spawn() {
        Ok(child) => child,
        Err(error) => {
            lock.release(&mut client).await;
            let message = format!("cannot start {}: {error}", arguments.command[0]);
            return Ok(crate::exit::report_unusable(message));
        }
    };
    let code = supervise(&mut client, &mut lock, &mut child).await;
    lock.release(&mut client).await;
    Ok(code)
}

/// Acquires the lock. Retries for `wait_s` seconds while another holder has it.
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
            // The response came after the end of the hold time, so the lock may have expired: acquire it again.
            Ok(_) => {}
            Err(CallError::Rejected { status: StatusCode::CONFLICT, .. }) if Instant::now() < wait_end => {
                sleep(ACQUIRE_RETRY_INTERVAL).await;
            }
            Err(error) => return Err(error),
        }
    }
}

/// Renews the lock until the command has ended, and returns the exit code. Ends the command if the lock is lost, and on SIGINT and SIGTERM.
async fn supervise(client: &mut ControlClient, lock: &mut HeldLock, child: &mut Child) -> ExitCode {
    let (Ok(mut interrupt), Ok(mut terminate)) =
        (signal(SignalKind::interrupt()), signal(SignalKind::terminate()))
    else {
        return crate::exit::report_unusable("cannot install the handlers of SIGINT and SIGTERM");
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
                    // The hold time is over: another holder may have the lock.
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
                    eprintln!("ivyhatch: the lock could not be renewed in time; sending SIGTERM to the command");
                    send_sigterm(child);
                }
            }
        }
    }
}

fn send_sigterm(child: &Child) {
    let pid = child.id().and_then(|id| Pid::from_raw(id as i32));
    if let Some(pid) = pid {
        // Fails if the process has already ended, when no signal is needed.
        let _ = kill_process(pid, Signal::TERM);
    }
}

/// [`REJECTED`] if the lock was lost, else the command's own exit code; [`FAILURE`] if the command has none, as after a signal.
fn exit_code(code: Option<i32>, is_lock_lost: bool) -> ExitCode {
    if is_lock_lost {
        return ExitCode::from(REJECTED);
    }
    ExitCode::from(code.and_then(|code| u8::try_from(code).ok()).unwrap_or(FAILURE))
}
