//! The errors of a run on sockets.

use std::io;

/// Why a world can't be run on sockets.
#[derive(Debug, thiserror::Error)]
pub enum SocketLabError {
    /// The operating system provided no socket, file or process.
    #[error("cannot open or start {what}: {error}")]
    System {
        /// What could not be opened or started: a listener, a file or a program.
        what: String,
        /// The error of the operating system.
        error: io::Error,
    },
    /// A node's process ended before it listened, or did not listen in time.
    #[error("node {node} ended or timed out before it was listening; its log: {log}")]
    Node {
        /// The node's number.
        node: usize,
        /// The log that the node wrote until then.
        log: String,
    },
    /// The world needs more listeners than the limit of one process: one for each pair of a server and a node.
    #[error(
        "{servers} servers x {nodes} nodes need too many listeners: at most {limit} listeners on sockets"
    )]
    TooManyListeners {
        /// Number of servers of the world.
        servers: usize,
        /// Number of nodes of the world.
        nodes: u32,
        /// Limit of the product of `servers` and `nodes`.
        limit: usize,
    },
}

impl SocketLabError {
    /// Returns a function that converts an error of the operating system, for use with `map_err`.
    pub(crate) fn system(what: impl Into<String>) -> impl FnOnce(io::Error) -> Self {
        let what = what.into();
        move |error| Self::System { what, error }
    }
}
