//! The system's processes on real sockets and disks: the control role and the router role.
//!
//! Carries out what the state machines of `ivyhatch-control`, `ivyhatch-routing` and `ivyhatch-balancer` decide. A process runs all of
//! its tasks in one thread on a current-thread runtime; the only other thread writes to the disk, so that a disk that hangs delays
//! nothing else.
//!
//! - `control`: the control role: the replicated configuration, the server list, and the directory
//! - `router`: the router role: clients' requests
//! - `outgoing`, [`transport`]: connections between the processes
//! - `load_exchange`: datagrams by which routers share the load that they have put on servers
//! - `disk`: the control role's write-ahead log
//! - [`instance_list`]: the client of the platform's API
//! - `http_server`: the server of the roles' own HTTP interfaces

pub mod clock;
mod control;
mod disk;
mod http_server;
pub mod instance_list;
mod load_exchange;
mod logging;
mod outgoing;
mod regions;
mod router;
mod settings_reload;
mod ticker;
pub mod transport;

use std::net::SocketAddrV4;
use std::process::ExitCode;

use ivyhatch_protocol::settings::{Settings, SettingsError};
use ivyhatch_wal::WalError;
use tokio::runtime;
use tokio::task::LocalSet;

/// Why a role can't run.
#[derive(Debug, thiserror::Error)]
pub enum RoleError {
    /// The settings file is missing or invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// An address can't be bound.
    #[error(
        "can't listen at {address}: {source}: see who else has that address, and that the settings name this machine's"
    )]
    Listen {
        /// The address.
        address: SocketAddrV4,
        /// The system's error.
        source: std::io::Error,
    },
    /// The system denies a resource: a thread, a descriptor, a signal handler.
    #[error("can't start: {0}: see to the limits of this machine")]
    System(#[from] std::io::Error),
    /// The write-ahead log can't be read or written.
    #[error(transparent)]
    Wal(#[from] WalError),
}

/// Runs a control node in the foreground until SIGTERM, and then until its state is handed over.
pub fn run_control() -> ExitCode {
    run(control::run)
}

/// Runs a router in the foreground until SIGTERM, and then until its requests have ended.
pub fn run_router() -> ExitCode {
    run(router::run)
}

fn run<F: Future<Output = Result<(), RoleError>>>(role: impl FnOnce(Settings) -> F) -> ExitCode {
    logging::install();
    match try_run(role) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("event=role_failed error={:?}", error.to_string());
            ExitCode::FAILURE
        }
    }
}

fn try_run<F: Future<Output = Result<(), RoleError>>>(
    role: impl FnOnce(Settings) -> F,
) -> Result<(), RoleError> {
    let settings = Settings::from_environment()?;
    let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, role(settings))
}
