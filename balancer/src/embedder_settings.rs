//! Settings that an embedder may change while the node runs.

use crate::advisor::PlacementAdvisor;
use crate::api::{ClassId, ClassSettings};
use crate::retry_budget::{RetryBudget, SharedBudget, SharedRetryBudget};
use crate::state::{Balancer, ClassView};

impl Balancer {
    /// Sets the advisor that is asked from now on.
    pub fn set_advisor(&mut self, advisor: Box<dyn PlacementAdvisor>) {
        self.advisor = Some(advisor);
    }

    /// Sets the number of nodes that share the backends, including this one; 0 counts as 1.
    pub fn set_nodes(&mut self, nodes: u32) {
        self.settings.nodes = nodes.max(1);
    }

    /// Sets this node's part of a retry budget that all nodes share, which replaces the node's own budget. If
    /// called again, amounts already earned and spent of the shared budget are kept.
    pub fn share_retry_budget(&mut self, settings: SharedRetryBudget) {
        match &mut self.retry_budget {
            RetryBudget::Shared(budget) => budget.set(settings),
            RetryBudget::Own(_) => self.retry_budget = RetryBudget::Shared(SharedBudget::new(settings)),
        }
    }

    /// Adds a class and returns its number, which is the next unused one.
    pub fn add_class(&mut self, class: ClassSettings) -> ClassId {
        let id = ClassId(self.classes.len() as u32);
        self.classes.push(ClassView::new(&class));
        self.settings.classes.push(class);
        self.pending.add_class();
        id
    }
}
