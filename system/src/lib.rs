//! The processes of the system on real sockets and disks: the control role and the router role.
//!
//! Executes the decisions of the state machines in `ivyhatch-control`, `ivyhatch-routing` and `ivyhatch-balancer`. A process runs all of
//! its tasks in one thread on a current-thread runtime. The only other thread writes to the disk, so that a disk that hangs delays no
//! other task.
//!
//! - `control`: the control role: the replicated configuration, the server list, and the directory
//! - `router`: the router role: forwards client requests to servers
//! - `outgoing`, [`transport`]: connections between the processes
//! - `load_exchange`: datagrams by which routers share the load that they have placed on servers
//! - `disk`: the control role's write-ahead log
//! - [`instance_list`]: the client of the platform API that lists the server instances
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

/// Why a role can't start.
#[derive(Debug, thiserror::Error)]
pub enum RoleError {
    /// The settings file is missing or invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A listening address can't be bound.
    #[error(
        "can't listen at {address}: {source}: check that no other process uses the address, and that the \
         settings name an address of this machine"
    )]
    Listen {
        /// The address in the settings.
        address: SocketAddrV4,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The operating system denies a resource, such as a thread, a descriptor or a signal handler.
    #[error("can't start: {0}: check the resource limits of this machine")]
    System(#[from] std::io::Error),
    /// The write-ahead log can't be read or written.
    #[error(transparent)]
    Wal(#[from] WalError),
}

/// Runs a control node in the foreground until SIGTERM, and then until its state is handed over.
pub fn run_control() -> ExitCode {
    run(control::run)
}

/// Runs a router in the foreground until SIGTERM, and then until its requests have ended or the shutdown grace period is nearly over.
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
