//! The lab's worlds in real time. The servers are the lab's model behind real sockets, discovery and clients speak HTTP/1.1,
//! and the nodes are processes. All on loopback, on ports that the system gives out, in one thread. What the lab's oracle
//! is told is what passes on the sockets.
//!
//! | file | concern |
//! | --- | --- |
//! | `stage` | what all share: the clock, the books, the oracle, the state of the world |
//! | `servers` | servers: a listener for each node, so that each way has its delay |
//! | `discovery` | the list, one service for each node |
//! | `nodes` | the nodes' processes |
//! | `clients` | clients and their connections |
//! | `troubles` | what goes wrong, and when |
//! | `usage` | what the nodes' processes take of the system |
//!
//! Beside the worlds, `scripted` has peers that a test leads by the hand.

mod clients;
mod discovery;
mod nodes;
pub mod scripted;
mod servers;
mod snapshot;
mod stage;
mod troubles;
mod usage;

use std::ffi::OsString;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use ivyhatch_lab::{Arrivals, Report, World};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

pub use snapshot::{AttemptCounts, Snapshot, ZoneSnapshot};
use stage::Stage;

/// Why a world can't be played on sockets.
#[derive(Debug, thiserror::Error)]
pub enum SocketLabError {
    /// The system gave no socket, file or process.
    #[error("{what}: {error}")]
    System {
        /// For what.
        what: String,
        /// What it said.
        error: std::io::Error,
    },
    /// A node's process ended, or never listened.
    #[error("node {node} ended before it served: {log}")]
    Node {
        /// Which.
        node: usize,
        /// What it said.
        log: String,
    },
    /// The world has what sockets can't show.
    #[error("{0}")]
    World(String),
}

impl SocketLabError {
    pub(crate) fn system(what: impl Into<String>) -> impl FnOnce(std::io::Error) -> Self {
        let what = what.into();
        move |error| Self::System { what, error }
    }
}

/// The command that runs a node: the program, and its arguments.
#[derive(Clone, Debug)]
pub struct NodeCommand {
    /// The program.
    pub program: PathBuf,
    /// Its arguments.
    pub arguments: Vec<OsString>,
}

/// More listeners than this are more than one process should hold.
const MOST_LISTENERS: usize = 600;

/// Plays a world once, in real time; `watch` sees how it stands about twice a second, and what goes wrong as it does.
/// All that was started has ended when this returns, or is dropped.
///
/// # Errors
/// Where the world is too large for sockets, or the system gives none, or a node does not start.
pub async fn run(
    world: &World,
    seed: u64,
    node: &NodeCommand,
    watch: impl Fn(&Snapshot) + 'static,
) -> Result<Report, SocketLabError> {
    let servers: usize = world.servers.iter().map(|group| group.count as usize).sum();
    if servers * world.nodes as usize > MOST_LISTENERS {
        let text = format!(
            "{servers} servers x {} nodes: at most {MOST_LISTENERS} listeners on sockets",
            world.nodes
        );
        return Err(SocketLabError::World(text));
    }
    let world = Rc::new(world.clone());
    LocalSet::new().run_until(play_local(world, seed, node, watch)).await
}

async fn play_local(
    world: Rc<World>,
    seed: u64,
    command: &NodeCommand,
    watch: impl Fn(&Snapshot) + 'static,
) -> Result<Report, SocketLabError> {
    let stage = Stage::new(world.clone(), seed);
    servers::listen_all(&stage).await?;
    discovery::listen_all(&stage).await?;
    nodes::start_all(&stage, command).await?;
    stage.begin();
    let watcher = {
        let stage = stage.clone();
        spawn_local(async move {
            loop {
                watch(&stage.snapshot());
                sleep(Duration::from_millis(500)).await;
            }
        })
    };
    let troubles = spawn_local(troubles::run(stage.clone(), command.clone()));
    let usage = spawn_local(usage::watch(stage.clone()));
    clients::all(&stage, &mut Arrivals::new(&world, seed)).await;
    watcher.abort();
    usage.abort();
    troubles.abort();
    nodes::end_all(&stage).await;
    Ok(stage.finish(seed))
}
