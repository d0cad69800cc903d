//! Runs the lab's worlds in real time: model servers behind real sockets, a discovery service and clients over HTTP/1.1, and
//! nodes as processes. All sockets are on loopback, on free ports, and all parts but the nodes run in one thread. The
//! invariants are checked against the messages on the sockets.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `run_state`, `clock`, `network` | the state, clock, latency and partitions that all parts share |
//! | `servers`, `server_path`, `server_requests`, `jobs`, `server_processes` | the model servers on sockets |
//! | `endpoint_list`, `discovery` | the list of servers, and the discovery service that nodes poll |
//! | `node_config`, `node_processes` | the nodes' configuration and processes |
//! | `clients` | the clients and their connections |
//! | `faults` | applies the world's faults, each at its time |
//! | `resource_usage` | the resources that the nodes' processes use |
//! | `snapshot` | the state of a run as shown to an observer |
//!
//! In addition, [`scripted`] has peers whose messages a test determines byte by byte.

mod clients;
mod clock;
mod discovery;
mod endpoint_list;
#[cfg(test)]
mod endpoint_list_tests;
mod error;
mod faults;
mod jobs;
mod network;
mod node_config;
mod node_processes;
mod resource_usage;
mod run_state;
pub mod scripted;
mod server_path;
mod server_processes;
mod server_requests;
mod servers;
mod snapshot;

use std::rc::Rc;
use std::time::Duration;

use ivyhatch_lab::{Arrivals, Report, World};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

use run_state::RunState;

pub use error::SocketLabError;
pub use node_processes::NodeCommand;
pub use snapshot::{AttemptCounts, Snapshot, ZoneSnapshot};

/// Limit of the model servers' listeners in one process.
const MAX_LISTENERS: usize = 600;
/// Time between two snapshots.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(500);

/// Runs a world once, in real time. `observe` gets a snapshot about twice a second. All processes and tasks have ended when
/// the future completes or is dropped.
///
/// # Errors
/// [`SocketLabError`] if the world needs too many listeners, the operating system provides no socket, file or process, or a
/// node does not start.
pub async fn run(
    world: &World,
    seed: u64,
    command: &NodeCommand,
    observe: impl Fn(&Snapshot) + 'static,
) -> Result<Report, SocketLabError> {
    let servers: usize = world.servers.iter().map(|group| group.count as usize).sum();
    if servers * world.nodes as usize > MAX_LISTENERS {
        return Err(SocketLabError::TooManyListeners { servers, nodes: world.nodes, limit: MAX_LISTENERS });
    }
    let world = Rc::new(world.clone());
    LocalSet::new().run_until(run_local(world, seed, command, observe)).await
}

async fn run_local(
    world: Rc<World>,
    seed: u64,
    command: &NodeCommand,
    observe: impl Fn(&Snapshot) + 'static,
) -> Result<Report, SocketLabError> {
    let run = RunState::new(world.clone(), seed);
    servers::listen_all(&run).await?;
    discovery::listen_all(&run).await?;
    node_processes::start_all(&run, command).await?;
    run.clock.start();
    let observer = spawn_local(observe_periodically(run.clone(), observe));
    let faults = spawn_local(faults::run_faults(run.clone(), command.clone()));
    let resource_usage = spawn_local(resource_usage::watch(run.clone()));
    clients::run_all(&run, &mut Arrivals::new(&world, seed)).await;
    observer.abort();
    resource_usage.abort();
    faults.abort();
    node_processes::kill_all(&run).await;
    Ok(run.finish(seed))
}

async fn observe_periodically(run: Rc<RunState>, observe: impl Fn(&Snapshot)) {
    loop {
        observe(&run.snapshot());
        sleep(SNAPSHOT_INTERVAL).await;
    }
}
