//! The system's processes: carries out what `ivyhatch-control` and `ivyhatch-routing` decide, on sockets, disks and the steady
//! clock. One thread does all but the writing to disk, which has its own, so that a disk that hangs holds nothing else up.

pub mod bulk;
pub mod clock;
pub mod cloud;
mod control;
mod disk;
mod http;
pub mod link;
mod logging;
mod router;
mod status;

use std::process::ExitCode;

use ivyhatch_protocol::settings::{Settings, SettingsError};

/// Why a role can't run.
#[derive(Debug, thiserror::Error)]
pub enum RoleError {
    /// The settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// An address can't be had.
    #[error(
        "can't listen at {at}: {source}: see who else has that address, and that the settings name this machine's"
    )]
    Listen {
        /// Where.
        at: std::net::SocketAddrV4,
        /// Why.
        source: std::io::Error,
    },
    /// The system gives too little.
    #[error("can't start: {0}: see to the limits of this machine")]
    System(#[from] std::io::Error),
    /// The records of the control state.
    #[error(transparent)]
    Records(#[from] ivyhatch_wal::WalError),
}

/// Runs a control node in the foreground until it is told to end.
pub fn run_control() -> ExitCode {
    run(control::run)
}

/// Runs a router in the foreground until it is told to end.
pub fn run_router() -> ExitCode {
    run(router::run)
}

fn run<F: Future<Output = Result<(), RoleError>>>(role: impl FnOnce(Settings) -> F) -> ExitCode {
    logging::start();
    let ended = Settings::from_environment().map_err(RoleError::from).and_then(|settings| {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        tokio::task::LocalSet::new().block_on(&runtime, role(settings))
    });
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("event=failed error={:?}", error.to_string());
            ExitCode::FAILURE
        }
    }
}
