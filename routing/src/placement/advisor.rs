//! The implementation of the load balancer's `PlacementAdvisor` by a placement.

use std::cell::RefCell;
use std::rc::Rc;

use ivyhatch_balancer::{BackendId, PlacementAdvisor, RequestId};
use ivyhatch_protocol::Nanos;

use super::service_placement::Placement;

/// A placement shared between the load balancer, which queries it as its advisor, and the router process, which updates it.
#[derive(Clone)]
pub struct SharedPlacement(pub Rc<RefCell<Placement>>);

impl PlacementAdvisor for SharedPlacement {
    fn on_sent(&self, now: Nanos, request: RequestId, backend: BackendId) {
        self.0.borrow_mut().record_send(now, request, backend);
    }

    fn allows(&self, now: Nanos, request: RequestId, backend: BackendId) -> bool {
        self.0.borrow().allows(now, request, backend)
    }

    fn expected_delay(&self, now: Nanos, request: RequestId, backend: BackendId) -> Option<f64> {
        self.0.borrow().expected_delay(now, request, backend)
    }

    fn home_zone_allowed(&self, request: RequestId) -> bool {
        self.0.borrow().allows_home_region(request)
    }
}
