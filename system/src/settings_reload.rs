//! Reloads the settings file on SIGHUP, and periodically while the control plane can't be reached, as the file may name other seeds by
//! then. Only the seeds of a reloaded file take effect; all other settings take effect at the next start.

use std::cell::Cell;

use ivyhatch_protocol::ids::NodeId;
use ivyhatch_protocol::settings::Settings;
use ivyhatch_protocol::{Nanos, SECOND};

/// Minimum time between two periodic reloads while the control plane can't be reached.
const RELOAD_INTERVAL: Nanos = 2 * SECOND;

/// Reads the settings file after SIGHUP and returns its seeds. If the file is invalid, logs the error and returns `None`.
pub fn reload_seeds() -> Option<Vec<NodeId>> {
    match Settings::from_environment() {
        Ok(settings) => {
            log::info!("event=settings_reloaded seeds={:?}", settings.seeds);
            Some(settings.seed_nodes())
        }
        Err(error) => {
            log::warn!("event=settings_reload_failed error={:?}", error.to_string());
            None
        }
    }
}

/// Reloads the settings file periodically, without a signal.
#[derive(Default)]
pub struct PeriodicReload {
    last_read_at: Cell<Nanos>,
}

impl PeriodicReload {
    /// Reads the seeds from the settings file. Returns `None` if the last read was less than [`RELOAD_INTERVAL`] ago, or if the file is
    /// invalid, which is not logged here.
    pub fn poll_seeds(&self, now: Nanos) -> Option<Vec<NodeId>> {
        if now < self.last_read_at.get() + RELOAD_INTERVAL {
            return None;
        }
        self.last_read_at.set(now);
        Settings::from_environment().ok().map(|settings| settings.seed_nodes())
    }
}
