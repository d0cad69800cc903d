//! What arrivals earn and probes spend.

/// Probes saved up: each arrival earns a part of one. Firm: what was never earned is never spent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Budget {
    per_request: f64,
    saved: f64,
    most: f64,
}

impl Budget {
    /// A budget that begins full. `per_request` probes are earned by an arrival, at most `most` saved up; both are
    /// numbers of probes, finite and not negative.
    pub fn new(per_request: f64, most: f64) -> Self {
        Self { per_request, saved: most, most }
    }

    /// Changes what an arrival earns from now on; what is saved stays.
    pub fn earn_by(&mut self, per_request: f64) {
        if per_request.is_finite() && per_request >= 0.0 {
            self.per_request = per_request;
        }
    }

    /// A request has arrived.
    pub fn arrival(&mut self) {
        self.saved = (self.saved + self.per_request).min(self.most);
    }

    /// Whether a probe can be paid for.
    pub fn affords(&self) -> bool {
        self.saved >= 1.0
    }

    /// Pays for one. False, and nothing spent, where it can't be paid for.
    pub fn spend(&mut self) -> bool {
        let affords = self.affords();
        if affords {
            self.saved -= 1.0;
        }
        affords
    }
}
