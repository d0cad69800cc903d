//! Percentile-bootstrap confidence intervals of a mean (Efron and Tibshirani, An Introduction to the Bootstrap, chapter 13).

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use serde::Serialize;

/// Number of resamples of a bootstrap.
const RESAMPLES: usize = 2000;
/// Smaller samples get no interval: the bootstrap is not meaningful for so few values.
const MIN_SAMPLE_SIZE: usize = 5;
/// The quantiles of the resampled means that bound the interval.
const LOW_QUANTILE: f64 = 0.025;
const HIGH_QUANTILE: f64 = 0.975;

/// A 95 % confidence interval.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Interval {
    /// The lower bound.
    pub low: f64,
    /// The upper bound.
    pub high: f64,
}

impl Interval {
    /// Whether both bounds are on the same side of 0.
    pub fn excludes_zero(self) -> bool {
        self.low > 0.0 || self.high < 0.0
    }
}

/// The mean of a sample; 0 for an empty sample.
pub(crate) fn mean(sample: &[f64]) -> f64 {
    sample.iter().sum::<f64>() / sample.len().max(1) as f64
}

/// The confidence interval of a sample's mean; `None` for samples of fewer than 5 values. The resampling is seeded from `purpose`, so
/// that equal samples with the same purpose have equal intervals.
pub(crate) fn confidence_interval(sample: &[f64], purpose: &str) -> Option<Interval> {
    if sample.len() < MIN_SAMPLE_SIZE {
        return None;
    }
    let mut random = ChaCha8Rng::from_seed(*blake3::hash(purpose.as_bytes()).as_bytes());
    let mut draw = || sample[random.random_range(0..sample.len())];
    let mut means: Vec<f64> = (0..RESAMPLES)
        .map(|_| (0..sample.len()).map(|_| draw()).sum::<f64>() / sample.len() as f64)
        .collect();
    means.sort_by(f64::total_cmp);
    let quantile = |quantile: f64| means[((RESAMPLES - 1) as f64 * quantile).round() as usize];
    Some(Interval { low: quantile(LOW_QUANTILE), high: quantile(HIGH_QUANTILE) })
}
