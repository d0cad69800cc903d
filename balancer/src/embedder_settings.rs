//! What an embedder may change while the node runs.

use crate::advisor::PlacementAdvisor;
use crate::api::{ClassId, ClassSettings};
use crate::state::{Balancer, ClassView};

impl Balancer {
    /// Asks this advisor from now on.
    pub fn set_advisor(&mut self, advisor: Box<dyn PlacementAdvisor>) {
        self.advisor = Some(advisor);
    }

    /// Sets the number of nodes that share the backends; 0 counts as 1.
    pub fn set_nodes(&mut self, nodes: u32) {
        self.settings.nodes = nodes.max(1);
    }

    /// Sets the bound on saved retry tokens, where all nodes together have a bound of their own. A token is
    /// one retry; a negative bound counts as 0.
    pub fn set_max_retry_tokens(&mut self, tokens: f64) {
        self.max_retry_tokens = Some(tokens.max(0.0));
        self.retry_tokens = self.retry_tokens.min(self.retry_token_limit());
    }

    /// Adds a class; returns its number, which is the next one.
    pub fn add_class(&mut self, class: ClassSettings) -> ClassId {
        let id = ClassId(self.classes.len() as u32);
        self.classes.push(ClassView::new(&class));
        self.settings.classes.push(class);
        self.pending.add_class();
        id
    }
}
