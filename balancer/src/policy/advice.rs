//! Queries to the placement advisor, with the balancer's own estimates where no advisor is set.

use crate::api::{BackendId, RequestId};
use crate::state::{Backend, Balancer, Request};

impl Balancer {
    pub(super) fn advisor_allows(&self, request: &Request, backend: &Backend) -> bool {
        let to = backend.member.backend;
        self.advisor.as_ref().is_none_or(|advisor| advisor.allows(self.now, request.id, to))
    }

    pub(super) fn notify_advisor(&self, request: RequestId, to: BackendId) {
        if let Some(advisor) = &self.advisor {
            advisor.on_sent(self.now, request, to);
        }
    }

    pub(super) fn home_zone_allowed(&self, id: RequestId) -> bool {
        self.advisor.as_ref().is_none_or(|advisor| advisor.home_zone_allowed(id))
    }

    /// Whether the advisor gives an expected delay for this request at this backend. If so, the advisor also
    /// decides on the backend's capacity.
    pub(super) fn has_advised_delay(&self, request: &Request, backend: &Backend) -> bool {
        self.advised_delay(request, backend).is_some()
    }

    /// Expected time of a response from this backend, in nanoseconds.
    pub(super) fn expected_delay(&self, request: &Request, backend: &Backend) -> f64 {
        self.advised_delay(request, backend).unwrap_or_else(|| {
            let slowness = backend.slowness(self.now, &self.settings.rules);
            slowness * self.expected_latency(request.class, backend.load(self.nodes_per_zone()))
        })
    }

    fn advised_delay(&self, request: &Request, backend: &Backend) -> Option<f64> {
        self.advisor.as_ref()?.expected_delay(self.now, request.id, backend.member.backend)
    }
}
