//! The budget of probes.

/// A token bucket: each request adds a fraction of a token, and each probe takes a whole one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProbeBudget {
    probes_per_request: f64,
    saved_probes: f64,
    max_saved_probes: f64,
}

impl ProbeBudget {
    /// Creates a full budget. Both arguments must be finite and not negative.
    pub fn new(probes_per_request: f64, max_saved_probes: f64) -> Self {
        Self { probes_per_request, saved_probes: max_saved_probes, max_saved_probes }
    }

    /// Changes the tokens that a request adds from now on. A value that is negative or not finite is ignored.
    pub fn set_probes_per_request(&mut self, probes_per_request: f64) {
        if probes_per_request.is_finite() && probes_per_request >= 0.0 {
            self.probes_per_request = probes_per_request;
        }
    }

    /// Adds the tokens of one request, up to the maximum.
    pub fn on_request(&mut self) {
        self.saved_probes = (self.saved_probes + self.probes_per_request).min(self.max_saved_probes);
    }

    /// Whether there is a token for a probe.
    pub fn has_probe(&self) -> bool {
        self.saved_probes >= 1.0
    }

    /// Takes the token of one probe. Returns false, and takes nothing, if there is none.
    pub fn take_probe(&mut self) -> bool {
        let has_probe = self.has_probe();
        if has_probe {
            self.saved_probes -= 1.0;
        }
        has_probe
    }
}
