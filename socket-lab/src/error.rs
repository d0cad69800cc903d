//! Why a world can't run on sockets.

use std::io;

/// An error of a run on sockets.
#[derive(Debug, thiserror::Error)]
pub enum SocketLabError {
    /// The system gave no socket, file or process.
    #[error("{what}: {error}")]
    System {
        /// What it was for.
        what: String,
        /// The system's error.
        error: io::Error,
    },
    /// A node's process ended before it listened, or did not listen in time.
    #[error("node {node} ended before it served: {log}")]
    Node {
        /// The node's number.
        node: usize,
        /// Its log so far.
        log: String,
    },
    /// The world needs more listeners than one process should hold.
    #[error("{servers} servers x {nodes} nodes: at most {limit} listeners on sockets")]
    TooManyListeners {
        /// Servers of the world.
        servers: usize,
        /// Nodes of the world.
        nodes: u32,
        /// Limit of the product of both.
        limit: usize,
    },
}

impl SocketLabError {
    /// Converts a system's error, for use with `map_err`.
    pub(crate) fn system(what: impl Into<String>) -> impl FnOnce(io::Error) -> Self {
        let what = what.into();
        move |error| Self::System { what, error }
    }
}
