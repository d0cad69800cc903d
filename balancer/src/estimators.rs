//! Exponentially weighted estimators.

use crate::api::{Nanos, SECOND};

/// Time constant of [`RateEstimator`]: long enough for the few requests that each of many nodes receives, and
/// short compared to the duration of a fault.
const RATE_TIME_CONSTANT: Nanos = 3 * SECOND;

/// The remaining weight of an observation after `span`.
fn decay(span: Nanos, time_constant: Nanos) -> f64 {
    (-(span as f64) / time_constant as f64).exp()
}

/// An exponentially weighted moving average over irregular samples.
#[derive(Clone, Copy, Default)]
pub(crate) struct Ewma {
    pub(crate) value: f64,
    pub(crate) updated_at: Option<Nanos>,
}

impl Ewma {
    /// Adds a sample. Its weight grows with the time since the last sample, and is at least `min_weight`; the
    /// first sample has weight 1.
    pub(crate) fn update(&mut self, now: Nanos, sample: f64, time_constant: Nanos, min_weight: f64) {
        let weight = self
            .updated_at
            .map_or(1.0, |at| (1.0 - decay(now.saturating_sub(at), time_constant)).max(min_weight));
        self.value += (sample - self.value) * weight;
        self.updated_at = Some(now);
    }

    /// The average, decayed towards 0 since the last sample.
    pub(crate) fn decayed(&self, now: Nanos, time_constant: Nanos) -> f64 {
        self.updated_at.map_or(0.0, |at| self.value * decay(now.saturating_sub(at), time_constant))
    }

    /// The average, decayed towards `prior` since the last sample; `prior` if there was no sample.
    pub(crate) fn decayed_towards(&self, prior: f64, now: Nanos, time_constant: Nanos) -> f64 {
        let Some(at) = self.updated_at else { return prior };
        prior + (self.value - prior) * decay(now.saturating_sub(at), time_constant)
    }

    /// Whether the last sample is younger than `max_age`.
    pub(crate) fn is_fresh(&self, now: Nanos, max_age: Nanos) -> bool {
        self.updated_at.is_some_and(|at| now.saturating_sub(at) < max_age)
    }
}

/// A rate per second, averaged over an exponential window.
#[derive(Clone, Copy, Default)]
pub(crate) struct RateEstimator {
    rate: f64,
    updated_at: Nanos,
}

impl RateEstimator {
    /// Adds an amount that is observed at `now`.
    pub(crate) fn add(&mut self, now: Nanos, amount: f64) {
        self.rate = self.per_second(now) + amount * SECOND as f64 / RATE_TIME_CONSTANT as f64;
        self.updated_at = now;
    }

    /// The rate at `now`.
    pub(crate) fn per_second(&self, now: Nanos) -> f64 {
        self.rate * decay(now.saturating_sub(self.updated_at), RATE_TIME_CONSTANT)
    }
}
