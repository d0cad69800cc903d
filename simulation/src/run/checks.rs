//! Passes the state of nodes and routers to the oracle, periodically and at the end of a run, and decides when the core is stable.
//! The core is the set of control nodes in the member slots.

use ivyhatch_protocol::Nanos;

use super::{CONTACT_AFTER, Simulation};
use crate::oracle::{FinalState, RouterView};

use super::machine::Machine;
use super::routers::Router;

impl Simulation<'_> {
    pub(super) fn check_deadlines(&mut self) {
        let stable_since = self.stable_since();
        let now = self.now;
        let in_contact = |router: &Router| stable_since.is_some() && router.is_undisturbed(now);
        let views: Vec<RouterView> = self
            .routers
            .iter()
            .enumerate()
            .map(|(number, router)| router.view(number, in_contact(router)))
            .collect();
        self.oracle.check_deadlines(&views, stable_since);
    }

    pub(super) fn check_final_state(&mut self) {
        let remaining = || self.machines[..self.next_machine].iter().filter(|machine| !machine.is_removed);
        let applied_by_nodes = remaining().map(Machine::applied_state);
        let applied_by_routers = self.routers.iter().map(Router::applied_state);
        let state = FinalState {
            partition_sequences: remaining().map(Machine::partition_sequences).collect(),
            applied: applied_by_nodes.chain(applied_by_routers).collect(),
            server_list_is_read: self.machines.iter().any(Machine::reads_server_list),
        };
        self.oracle.check_final_state(&state);
        self.oracle.check_calls();
    }

    /// The time since which the core has been stable; `None` while it is not stable.
    fn stable_since(&self) -> Option<Nanos> {
        let since = self.last_core_event + CONTACT_AFTER;
        (self.slowing_faults == 0 && self.now >= since && self.core_is_connected()).then_some(since)
    }

    /// Whether some majority of the members is serving and fully connected in both directions.
    fn core_is_connected(&self) -> bool {
        let members = self.plan.members;
        let is_connected_majority = |subset: u32| {
            let chosen: Vec<usize> =
                (0..members).filter(|slot| subset >> slot & 1 == 1).map(|slot| self.slots[slot]).collect();
            chosen.len() > members / 2
                && chosen.iter().all(|machine| self.machines[*machine].is_serving())
                && chosen.iter().all(|from| chosen.iter().all(|to| !self.links.is_partitioned(*from, *to)))
        };
        (0..1_u32 << members).any(is_connected_majority)
    }
}
