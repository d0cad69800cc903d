//! Periodic checks of the deadlines by which routers must have acknowledged changes in effect and operators must have responses.

use ivyhatch_protocol::{MILLISECOND, Nanos, SECOND};

use super::{Invariant, Oracle};

/// Deadline of a definite response to an operator while the core is stable; `ack_ms` in the deployment files.
const RESPONSE_DEADLINE: Nanos = 5 * SECOND;
/// Time from an evacuation's acknowledgement until routers in contact must have it in effect; `evacuate_ms` in the deployment files.
const EVACUATION_DEADLINE: Nanos = 5 * SECOND;
/// Time from a configuration's acknowledgement until routers in contact must have it in effect; `config_ms` in the deployment files.
const CONFIGURATION_DEADLINE: Nanos = 2_500 * MILLISECOND;

/// What a router has in effect.
#[derive(Debug)]
pub struct RouterView {
    /// The router's number in the plan.
    pub number: usize,
    /// The configuration revision in effect; 0 if the router has none.
    pub revision: u64,
    /// Whether each zone is evacuated, indexed by zone number.
    pub evacuated_zones: Vec<bool>,
    /// Whether the router is in contact with the core, so that the deadlines apply to it.
    pub in_contact: bool,
}

impl Oracle {
    /// Checks the deadlines at the current virtual time. `stable_since` is `None` while the core is not stable; response deadlines
    /// are then not checked.
    pub fn check_deadlines(&mut self, routers: &[RouterView], stable_since: Option<Nanos>) {
        for router in routers.iter().filter(|router| router.in_contact) {
            self.check_configuration_deadline(router);
            self.check_evacuation_deadlines(router);
        }
        if let Some(stable_since) = stable_since {
            self.check_response_deadlines(stable_since);
        }
    }

    /// [`Invariant::ConfigurationDeadline`].
    fn check_configuration_deadline(&mut self, router: &RouterView) {
        let overdue = self.newest_revision.filter(|newest| {
            self.now > newest.acknowledged_at + CONFIGURATION_DEADLINE && router.revision < newest.revision
        });
        if let Some(newest) = overdue {
            let text = format!(
                "router {}: has revision {}, expected {}",
                router.number, router.revision, newest.revision
            );
            self.report(Invariant::ConfigurationDeadline, text);
        }
    }

    /// [`Invariant::EvacuationDeadline`].
    fn check_evacuation_deadlines(&mut self, router: &RouterView) {
        let overdue = self.evacuations.iter().find(|(zone, acknowledged)| {
            self.now > acknowledged.acknowledged_at + EVACUATION_DEADLINE
                && router.evacuated_zones.get(**zone) != Some(&acknowledged.active)
        });
        if let Some((zone, acknowledged)) = overdue {
            let text =
                format!("router {}: zone {zone}: expected evacuated: {}", router.number, acknowledged.active);
            self.report(Invariant::EvacuationDeadline, text);
        }
    }

    /// [`Invariant::ResponseDeadline`].
    fn check_response_deadlines(&mut self, stable_since: Nanos) {
        let overdue = self.operations.values().find(|operation| {
            operation.is_pending && self.now > operation.started_at.max(stable_since) + RESPONSE_DEADLINE
        });
        if let Some(operation) = overdue {
            let waiting_ms = (self.now - operation.started_at) / MILLISECOND;
            let text = format!("{:?} has had no response for {waiting_ms} ms", operation.kind);
            self.report(Invariant::ResponseDeadline, text);
        }
    }
}
