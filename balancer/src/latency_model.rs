//! The model of response latency by class and load, and each backend's deviation from it.

use crate::api::{BackendId, Nanos, Outcome};
use crate::policy::tuning::{
    LATENCY_PRIOR_SAMPLES, LATENCY_RISE_SAMPLES, LATENCY_RISE_WEIGHT, MAX_LATENCY_RATIO, MAX_LATENCY_SAMPLES,
    MIN_LATENCY_RATIO_WEIGHT, MIN_LATENCY_SAMPLES, MIN_LOAD_SAMPLE_WEIGHT, SLOWNESS_TIME_CONSTANT,
};
use crate::state::{Backend, Balancer, Health};

/// The end of an attempt, as far as the model learns from it.
pub(crate) struct LatencySample {
    pub(crate) backend: BackendId,
    pub(crate) class: usize,
    /// In nanoseconds on a standard core.
    pub(crate) expected_work: f64,
    pub(crate) load_at_send: f64,
    pub(crate) outcome: Outcome,
    pub(crate) elapsed: Nanos,
}

impl Backend {
    /// Records a latency as a multiple of the expected one; a single sample counts a few times the average
    /// at most.
    fn record_latency_ratio(&mut self, now: Nanos, ratio: f64) {
        self.latency_ratio.update(now, ratio, SLOWNESS_TIME_CONSTANT, MIN_LATENCY_RATIO_WEIGHT);
    }

    fn clamped_latency_ratio(&self, ratio: f64) -> f64 {
        ratio.min(MAX_LATENCY_RATIO * self.latency_ratio.value.max(1.0))
    }
}

impl Balancer {
    /// The expected latency in nanoseconds at this load, from a backend of the usual speed: flat as long as
    /// cores are free, then in proportion to the load.
    pub(crate) fn expected_latency(&self, class: usize, load: f64) -> f64 {
        self.classes[class].idle_latency.hypot(self.latency_per_load * load)
    }

    /// The load at which a response takes `latency` nanoseconds.
    pub(crate) fn load_for_latency(&self, class: usize, latency: f64) -> f64 {
        let idle = self.classes[class].idle_latency;
        (latency * latency - idle * idle).max(0.0).sqrt() / self.latency_per_load.max(1.0)
    }

    /// Learns latency, served work and congestion from the end of an attempt, which is in flight no more.
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
            // Not in the time that there was; or no place even at the end of the queue.
            Outcome::TimedOut | Outcome::Rejected => self.congestion.record(self.now, 1.0),
            _ => {}
        }
    }

    fn learn_from_response(&mut self, sample: &LatencySample, ratio: f64) {
        // Against a latency that is not known yet every backend would look slow, for seconds.
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

    /// Corrects the class's idle latency by a sample that found its backend idle, or else the latency for
    /// each request by its part in what was expected: one load alone cannot distinguish them. `ratio` is
    /// the sample's latency against the expected one. Returns whether what was corrected was well known
    /// before.
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
        // Rises slowly, so that congestion does not come to pass for the normal state.
        let rises_slowly = ratio > 1.0 && *samples > LATENCY_RISE_SAMPLES;
        let rise_weight = if rises_slowly { LATENCY_RISE_WEIGHT } else { 1.0 };
        let deviation = ratio.min(MAX_LATENCY_RATIO) - 1.0;
        *latency *= 1.0 + deviation * sample_weight * rise_weight / (*samples + LATENCY_PRIOR_SAMPLES);
        is_known
    }

    /// How much of a latency was due to the load, as the weight of a sample of it. Where load hardly shows,
    /// a quick response is no sign that it should show less: such responses outnumber all others, and the
    /// latency for each request would sink for as long as the day lasts.
    fn load_sample_weight(&self, class: usize, load: f64, ratio: f64) -> f64 {
        let share = self.latency_per_load * load / self.expected_latency(class, load).max(1.0);
        match share * share {
            weight if weight >= MIN_LOAD_SAMPLE_WEIGHT => weight,
            _ if ratio > 1.0 => MIN_LOAD_SAMPLE_WEIGHT,
            _ => 0.0,
        }
    }

    /// An attempt without a response is at least as slow as the time waited; `ratio` is that against the
    /// expected latency.
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
