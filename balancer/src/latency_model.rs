//! The model of response latency by class and load, and the deviation of each backend from it.

use crate::api::{BackendId, Nanos, Outcome};
use crate::policy::tuning::{
    LATENCY_PRIOR_SAMPLES, LATENCY_RISE_SAMPLES, LATENCY_RISE_WEIGHT, MAX_LATENCY_RATIO, MAX_LATENCY_SAMPLES,
    MIN_LATENCY_RATIO_WEIGHT, MIN_LATENCY_SAMPLES, MIN_LOAD_SAMPLE_WEIGHT, SLOWNESS_TIME_CONSTANT,
};
use crate::state::{Backend, Balancer, Health};

/// The data of an ended attempt that the model learns from.
pub(crate) struct LatencySample {
    pub(crate) backend: BackendId,
    pub(crate) class: usize,
    /// The expected work of the request, in nanoseconds on a standard core.
    pub(crate) expected_work: f64,
    pub(crate) load_at_send: f64,
    pub(crate) outcome: Outcome,
    pub(crate) elapsed: Nanos,
}

impl Backend {
    /// Records a latency as a multiple of the expected one.
    fn record_latency_ratio(&mut self, now: Nanos, ratio: f64) {
        self.latency_ratio.update(now, ratio, SLOWNESS_TIME_CONSTANT, MIN_LATENCY_RATIO_WEIGHT);
    }

    fn clamped_latency_ratio(&self, ratio: f64) -> f64 {
        ratio.min(MAX_LATENCY_RATIO * self.latency_ratio.value.max(1.0))
    }
}

impl Balancer {
    /// The expected latency in nanoseconds at this load, for a backend of the usual speed: constant while
    /// cores are free, then proportional to the load.
    pub(crate) fn expected_latency(&self, class: usize, load: f64) -> f64 {
        self.classes[class].idle_latency.hypot(self.latency_per_load * load)
    }

    /// The load at which a response takes `latency` nanoseconds.
    pub(crate) fn load_for_latency(&self, class: usize, latency: f64) -> f64 {
        let idle = self.classes[class].idle_latency;
        (latency * latency - idle * idle).max(0.0).sqrt() / self.latency_per_load.max(1.0)
    }

    /// Updates latency, served work and congestion after the end of an attempt, and counts the attempt as no
    /// longer in flight.
    pub(crate) fn learn_from_attempt(&mut self, sample: &LatencySample) {
        let expected = self.expected_latency(sample.class, sample.load_at_send).max(1.0);
        let ratio = sample.elapsed as f64 / expected;
        self.record_congestion(sample);
        let Some(backend) = self.backends.get_mut(&sample.backend) else { return };
        backend.in_flight = backend.in_flight.saturating_sub(1);
        if backend.health != Health::Healthy {
            let zone = backend.member.zone;
            self.invalidate_zone_utilisation(zone);
        }
        match sample.outcome {
            Outcome::Served => self.learn_from_response(sample, ratio),
            Outcome::TimedOut => self.record_late_attempt(sample.backend, ratio),
            _ => {}
        }
    }

    fn record_congestion(&mut self, sample: &LatencySample) {
        let target = self.settings.classes[sample.class].latency_target;
        let fraction = sample.elapsed as f64 / target as f64;
        match sample.outcome {
            Outcome::Served => self.congestion.record(self.now, fraction.min(1.0)),
            // Not served within the timeout, or rejected because even the backend's queue was full.
            Outcome::TimedOut | Outcome::Rejected => self.congestion.record(self.now, 1.0),
            _ => {}
        }
    }

    fn learn_from_response(&mut self, sample: &LatencySample, ratio: f64) {
        // Compared to an estimate of too few samples, every backend would look slow for seconds.
        let is_model_known = self.update_latency_model(sample.class, sample.load_at_send, ratio);
        let Some(backend) = self.backends.get_mut(&sample.backend) else { return };
        if is_model_known {
            let clamped = backend.clamped_latency_ratio(ratio);
            backend.record_latency_ratio(self.now, clamped);
        }
        backend.served_work.add(self.now, sample.expected_work);
        backend.unreachable = false;
        if let Some(zone) = self.zones.get_mut(backend.member.zone.0 as usize) {
            let elapsed = sample.elapsed as f64;
            zone.min_latency = Some(zone.min_latency.map_or(elapsed, |least| least.min(elapsed)));
        }
    }

    /// Corrects the class's idle latency if the backend was idle at the send, and otherwise the latency per
    /// request of load, weighted by its share of the expected latency: samples at a single load cannot
    /// distinguish the two. `ratio` is the latency of the sample relative to the expected one. Returns
    /// whether the corrected estimate already had `MIN_LATENCY_SAMPLES` samples.
    fn update_latency_model(&mut self, class: usize, load: f64, ratio: f64) -> bool {
        let load_weight = self.load_sample_weight(class, load, ratio);
        let view = &mut self.classes[class];
        let (latency, samples, sample_weight) = if load > 1.0 {
            (&mut self.latency_per_load, &mut self.load_samples, load_weight)
        } else {
            (&mut view.idle_latency, &mut view.idle_samples, 1.0)
        };
        let is_known = *samples >= MIN_LATENCY_SAMPLES;
        *samples = (*samples + sample_weight).min(MAX_LATENCY_SAMPLES);
        // Rises slowly, so that the latency under congestion is not learned as the normal one.
        let rises_slowly = ratio > 1.0 && *samples > LATENCY_RISE_SAMPLES;
        let rise_weight = if rises_slowly { LATENCY_RISE_WEIGHT } else { 1.0 };
        let deviation = ratio.min(MAX_LATENCY_RATIO) - 1.0;
        *latency *= 1.0 + deviation * sample_weight * rise_weight / (*samples + LATENCY_PRIOR_SAMPLES);
        is_known
    }

    /// Weight of a sample of the latency per request of load, by the share of the latency that is due to
    /// load. If that share is small, a quick response is no evidence that the latency per request should be
    /// lower: such responses outnumber all others, and the estimate would fall for as long as the node runs.
    fn load_sample_weight(&self, class: usize, load: f64, ratio: f64) -> f64 {
        let share = self.latency_per_load * load / self.expected_latency(class, load).max(1.0);
        match share * share {
            weight if weight >= MIN_LOAD_SAMPLE_WEIGHT => weight,
            _ if ratio > 1.0 => MIN_LOAD_SAMPLE_WEIGHT,
            _ => 0.0,
        }
    }

    /// Records an attempt without a response, which is at least as slow as the time waited. `ratio` is that
    /// time relative to the expected latency.
    pub(crate) fn record_late_attempt(&mut self, id: BackendId, ratio: f64) {
        let Some(backend) = self.backends.get_mut(&id) else { return };
        let clamped = backend.clamped_latency_ratio(ratio);
        if clamped > backend.latency_ratio.value {
            backend.record_latency_ratio(self.now, clamped);
        }
    }
}

#[cfg(test)]
#[path = "latency_model_tests.rs"]
mod tests;
