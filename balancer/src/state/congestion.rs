//! The congestion signal over all backends.

use crate::api::{Nanos, SECOND};
use crate::estimators::Ewma;

/// One or two latency targets: congestion builds up within seconds and feeds on what is sent meanwhile.
const CONGESTION_TIME_CONSTANT: Nanos = SECOND;

/// Latency of all backends as a fraction of its target: with little traffic a single backend's responses
/// say little, those of all say enough.
#[derive(Clone, Copy)]
pub(crate) struct CongestionSignal {
    latency_fraction: Ewma,
    samples: u32,
    baseline: f64,
}

impl Default for CongestionSignal {
    fn default() -> Self {
        Self { latency_fraction: Ewma::default(), samples: 0, baseline: 1.0 }
    }
}

impl CongestionSignal {
    /// Samples from which on the average is meaningful, and over which it is made where they come quickly.
    const MIN_SAMPLES: u32 = 30;

    /// Adds a response's latency as a fraction of its target, 1 at most.
    pub(crate) fn record(&mut self, now: Nanos, fraction: f64) {
        let min_weight = 1.0 / f64::from(Self::MIN_SAMPLES);
        self.latency_fraction.update(now, fraction, CONGESTION_TIME_CONSTANT, min_weight);
        self.samples = self.samples.saturating_add(1);
        if self.samples >= Self::MIN_SAMPLES {
            self.baseline = self.baseline.min(self.latency_fraction.value);
        }
    }

    /// The lowest average so far; `None` before enough samples.
    pub(crate) fn baseline(&self) -> Option<f64> {
        (self.samples >= Self::MIN_SAMPLES).then_some(self.baseline)
    }
}
