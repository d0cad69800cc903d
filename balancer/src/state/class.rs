//! The state of a request class.

use crate::api::{ClassSettings, Nanos};
use crate::estimators::RateEstimator;
use crate::policy::tuning::IDLE_LOAD;

/// Initial estimate of an idle backend's latency, as a fraction of the latency target.
pub(crate) const INITIAL_LATENCY_FRACTION: f64 = 1.0 / 16.0;

/// The estimates and measurements of this node for a request class.
#[derive(Clone, Copy, Default)]
pub(crate) struct ClassView {
    /// Latency of an idle backend in nanoseconds: its own work and its waiting for other systems. Load does
    /// not increase the latter.
    pub(crate) idle_latency: f64,
    /// Weight of the samples in `idle_latency`.
    pub(crate) idle_samples: f64,
    /// Mean expected work of a request, in nanoseconds on a standard core.
    pub(crate) mean_work: f64,
    /// Requests per second, without those that were too late on arrival.
    pub(crate) arrivals: RateEstimator,
    /// Requests per second that were served.
    pub(crate) served: RateEstimator,
    /// Value of a unit of the class's work.
    pub(crate) value_density: f64,
    /// Load up to which requests of the class may fill a backend.
    pub(crate) load_limit: f64,
    /// The longest timeout of a client for one of its attempts, in nanoseconds.
    pub(crate) longest_timeout: Nanos,
}

impl ClassView {
    /// The initial state of a class.
    pub(crate) fn new(class: &ClassSettings) -> Self {
        Self {
            idle_latency: class.latency_target as f64 * INITIAL_LATENCY_FRACTION * IDLE_LOAD,
            load_limit: f64::INFINITY,
            ..Self::default()
        }
    }
}
