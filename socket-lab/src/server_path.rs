//! The network path between a node and a server.

use std::rc::Rc;
use std::time::Duration;

use ivyhatch_lab::ServerState;

use crate::run_state::RunState;

/// The network path between a node and a server, as used by the server's listener for this node.
#[derive(Clone)]
pub(crate) struct Path {
    pub(crate) run: Rc<RunState>,
    pub(crate) server: usize,
    pub(crate) node: usize,
}

impl Path {
    pub(crate) fn is_partitioned(&self) -> bool {
        self.run.is_partitioned(self.node, self.server)
    }

    /// The one-way latency of one message.
    pub(crate) fn latency(&self) -> Duration {
        self.run.message_latency(self.node, self.server)
    }

    /// Whether the server's process exists.
    pub(crate) fn has_process(&self) -> bool {
        self.run.servers[self.server].borrow().state != ServerState::Gone
    }
}
