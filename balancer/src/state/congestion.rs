//! The congestion signal over all backends.

use crate::api::{Nanos, SECOND};
use crate::estimators::Ewma;

/// About one or two latency targets: congestion builds up within seconds and grows with the requests that are
/// sent meanwhile.
const CONGESTION_TIME_CONSTANT: Nanos = SECOND;

/// Latency of the responses of all backends as a fraction of the latency target. With little traffic, the
/// responses of a single backend are too few for a signal; those of all backends suffice.
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
    /// Number of samples after which the average is meaningful; also the number of samples that the average
    /// covers at high rates.
    const MIN_SAMPLES: u32 = 30;

    /// Records the latency of a response as a fraction of its target, capped at 1.
    pub(crate) fn record(&mut self, now: Nanos, fraction: f64) {
        let min_weight = 1.0 / f64::from(Self::MIN_SAMPLES);
        self.latency_fraction.update(now, fraction, CONGESTION_TIME_CONSTANT, min_weight);
        self.samples = self.samples.saturating_add(1);
        if self.samples >= Self::MIN_SAMPLES {
            self.baseline = self.baseline.min(self.latency_fraction.value);
        }
    }

    /// The lowest average so far; `None` before [`Self::MIN_SAMPLES`] samples.
    pub(crate) fn baseline(&self) -> Option<f64> {
        (self.samples >= Self::MIN_SAMPLES).then_some(self.baseline)
    }
}
