//! The utilisation of a server: the true value, and the reported value, which lags by one to two report intervals.

use crate::time::Nanos;

/// Interval at which the reported utilisation changes.
const REPORT_INTERVAL: Nanos = 700_000_000;
/// Time constant, in nanoseconds, of the smoothed true utilisation.
const SMOOTHING_TIME_CONSTANT: f64 = 400e6;

/// Measures the fraction of its cores' time that a server uses.
#[derive(Default)]
pub(super) struct UtilisationMeter {
    /// Time up to which `smoothed` and `core_time` account for the running jobs.
    updated_at: Nanos,
    smoothed: f64,
    /// Nanoseconds of core time used since the last measurement.
    core_time: f64,
    measured_at: Nanos,
    /// Utilisation at the last measurement.
    measured: f64,
    /// Utilisation at the measurement before the last one.
    published: f64,
}

impl UtilisationMeter {
    /// The smoothed fraction of busy cores, given that `running` jobs were on the cores since the last update.
    pub(super) fn smoothed(&self, running: usize, cores: u32, now: Nanos) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at) as f64;
        let busy = running as f64 / f64::from(cores);
        self.smoothed + (busy - self.smoothed) * (1.0 - (-elapsed / SMOOTHING_TIME_CONSTANT).exp())
    }

    /// Accounts for the time since the last update, in which `running` jobs were on the cores.
    pub(super) fn advance(&mut self, running: usize, cores: u32, now: Nanos) {
        self.smoothed = self.smoothed(running, cores, now);
        self.core_time += now.saturating_sub(self.updated_at) as f64 * running as f64;
        self.updated_at = now;
    }

    /// Takes a new measurement if [`REPORT_INTERVAL`] has passed, and publishes the previous one.
    pub(super) fn refresh(
        &mut self,
        running: usize,
        cores: u32,
        neighbour_load: f64,
        process_started: Nanos,
        now: Nanos,
    ) {
        if now.saturating_sub(self.measured_at) < REPORT_INTERVAL {
            return;
        }
        self.advance(running, cores, now);
        // As an operating system measures CPU utilisation: the fraction of the cores' time used since the last measurement.
        let measured_from = self.measured_at.max(process_started);
        let available = now.saturating_sub(measured_from) as f64 * f64::from(cores);
        let busy = if available > 0.0 { self.core_time / available } else { 0.0 };
        self.published = self.measured;
        self.measured = (busy + neighbour_load).min(1.0);
        self.measured_at = now;
        self.core_time = 0.0;
    }

    /// The utilisation that the server reports, 0 to 1.
    pub(super) fn published(&self) -> f64 {
        self.published
    }
}
