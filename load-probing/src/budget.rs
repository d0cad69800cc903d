//! The budget: arrivals earn probes, and probes are spent.

/// Saved probes, of which each arrival earns a fraction. Firm: what was never earned is never spent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Budget {
    probes_per_request: f64,
    saved: f64,
    max_saved: f64,
}

impl Budget {
    /// A budget that starts full. Both arguments are numbers of probes, finite and not negative.
    pub(crate) fn new(probes_per_request: f64, max_saved: f64) -> Self {
        Self { probes_per_request, saved: max_saved, max_saved }
    }

    /// Changes what an arrival earns from now on; what is saved stays.
    pub(crate) fn set_probes_per_request(&mut self, probes_per_request: f64) {
        if probes_per_request.is_finite() && probes_per_request >= 0.0 {
            self.probes_per_request = probes_per_request;
        }
    }

    /// A request has arrived.
    pub(crate) fn record_arrival(&mut self) {
        self.saved = (self.saved + self.probes_per_request).min(self.max_saved);
    }

    /// Whether a probe can be paid for.
    pub(crate) fn affords_probe(&self) -> bool {
        self.saved >= 1.0
    }

    /// Pays for one probe. Returns false, with nothing spent, where it cannot be paid for.
    pub(crate) fn spend(&mut self) -> bool {
        let affords_probe = self.affords_probe();
        if affords_probe {
            self.saved -= 1.0;
        }
        affords_probe
    }
}
