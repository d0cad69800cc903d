//! Reloading of the settings file: on SIGHUP, and unasked while the control plane can't be reached, as the file may name other seeds by
//! then. Only the seeds are taken from a reloaded file; all else counts from the next start.

use std::cell::Cell;

use ivyhatch_protocol::ids::NodeId;
use ivyhatch_protocol::settings::Settings;
use ivyhatch_protocol::{Nanos, SECOND};

/// A process without contact to the control plane reads the file no more often than this.
const RELOAD_INTERVAL: Nanos = 2 * SECOND;

/// Reads the file after SIGHUP and returns its seeds. None, and a line in the log, where the file can't be used.
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

/// Reads the file from time to time, without a signal.
#[derive(Default)]
pub struct PeriodicReload {
    last_read_at: Cell<Nanos>,
}

impl PeriodicReload {
    /// The file's seeds, at most once in [`RELOAD_INTERVAL`]. Silent where the file can't be used.
    pub fn poll_seeds(&self, now: Nanos) -> Option<Vec<NodeId>> {
        if now < self.last_read_at.get() + RELOAD_INTERVAL {
            return None;
        }
        self.last_read_at.set(now);
        Settings::from_environment().ok().map(|settings| settings.seed_nodes())
    }
}
