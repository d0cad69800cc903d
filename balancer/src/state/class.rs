//! A request class as this node sees it.

use crate::api::{ClassSettings, Nanos};
use crate::estimators::RateEstimator;
use crate::policy::tuning::IDLE_LOAD;

/// Latency of an idle backend as a fraction of its target, before anything is known.
pub(crate) const INITIAL_LATENCY_FRACTION: f64 = 1.0 / 16.0;

/// A class as this node sees it.
#[derive(Clone, Copy, Default)]
pub(crate) struct ClassView {
    /// Latency of an idle backend in nanoseconds: its work and what it waits for elsewhere. Load adds
    /// nothing to the latter.
    pub(crate) idle_latency: f64,
    /// Weight of the samples in `idle_latency`.
    pub(crate) idle_samples: f64,
    /// Mean expected work of a request, in nanoseconds on a standard core.
    pub(crate) mean_work: f64,
    /// Requests a second that came in with time left.
    pub(crate) arrivals: RateEstimator,
    /// Requests a second that were served.
    pub(crate) served: RateEstimator,
    /// What a unit of its work adds to the goal.
    pub(crate) value_density: f64,
    /// Load up to which its requests may fill a backend.
    pub(crate) load_limit: f64,
    /// The longest that a client has waited for one of its attempts, in nanoseconds.
    pub(crate) longest_timeout: Nanos,
}

impl ClassView {
    /// A class of which only the settings are known.
    pub(crate) fn new(class: &ClassSettings) -> Self {
        Self {
            idle_latency: class.latency_target as f64 * INITIAL_LATENCY_FRACTION * IDLE_LOAD,
            load_limit: f64::INFINITY,
            ..Self::default()
        }
    }
}
