//! Start of an agent: creates its folders, opens its store, and starts the supervision of the instances and the socket.

use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use ivyhatch_admin_protocol::{ConnectionLimits, listen, serve};
use ivyhatch_config::AgentSettings;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use tokio::sync::Semaphore;
use tokio::task::{LocalSet, spawn_local};

use crate::lifecycle::{DesiredState, LifecycleSettings, Nanos};
use crate::store::Store;

use super::api::Api;
use super::error::AgentError;
use super::options::AgentOptions;
use super::supervised_instance::SupervisedInstance;
use super::supervisor::Supervisor;

const NANOS_PER_MS: Nanos = 1_000_000;
/// The number of connections is not limited: a command over a large fleet opens one for each instance, all at once.
const CONNECTION_LIMITS: ConnectionLimits = ConnectionLimits {
    max_line_bytes: 1 << 20,
    idle_timeout: Duration::from_secs(30),
    max_connections: Semaphore::MAX_PERMITS,
};

/// Runs an agent until the future is dropped. The nodes' processes outlive the agent, and the next agent adopts them.
///
/// # Errors
/// If the state folder, the store or the socket can't be used, or another agent uses them.
pub async fn run(options: AgentOptions) -> Result<(), AgentError> {
    LocalSet::new().run_until(run_local(options)).await
}

async fn run_local(options: AgentOptions) -> Result<(), AgentError> {
    let state_folder = options.config.agent.state.clone();
    for folder in ["run", "log"] {
        let folder = state_folder.join(folder);
        std::fs::create_dir_all(&folder).map_err(AgentError::at(&folder))?;
    }
    // The store also serves as the lock of the state folder: two agents on one folder would start every node twice.
    let store = Store::open(&state_folder.join("asked.redb"))?;
    let desired = store.desired()?;
    let listener = listen(&options.socket).map_err(AgentError::at(&options.socket))?;
    let settings = lifecycle_settings(&options.config.agent);
    let mut seeds = ChaCha8Rng::seed_from_u64(jitter_seed());
    let supervised = options.config.instances.iter().map(|config| {
        let default = if config.enabled { DesiredState::Running } else { DesiredState::Stopped };
        let entry = desired.instances.get(&config.name);
        let desired_state = entry.map_or(default, |entry| entry.desired_state);
        let supervised =
            SupervisedInstance::new(config.clone(), &state_folder, settings, desired_state, seeds.random());
        (config.name.clone(), Rc::new(supervised))
    });
    let instances = supervised.collect();
    let supervisor = Rc::new(Supervisor::new(options, instances));
    for name in desired.instances.keys().filter(|name| !supervisor.instances.contains_key(*name)) {
        tracing::warn!(
            instance = name,
            "the store has a desired state for an instance that is not in the configuration; it is ignored"
        );
    }
    for instance in supervisor.instances.values() {
        spawn_local(supervisor.clone().supervise(instance.clone()));
    }
    let socket = supervisor.options.socket.display();
    tracing::info!("agent supervises {} instances; socket {socket}", supervisor.instances.len());
    let api = Api::new(supervisor, store);
    serve(listener, CONNECTION_LIMITS, move |request| api.handle(request)).await;
    Ok(())
}

fn lifecycle_settings(agent: &AgentSettings) -> LifecycleSettings {
    LifecycleSettings {
        ready_timeout: agent.ready_ms * NANOS_PER_MS,
        drain_timeout: agent.drain_ms * NANOS_PER_MS,
        stop_timeout: agent.stop_ms * NANOS_PER_MS,
        silence_timeout: agent.silent_ms * NANOS_PER_MS,
        initial_backoff: agent.first_wait_ms * NANOS_PER_MS,
        max_backoff: agent.longest_wait_ms * NANOS_PER_MS,
        crash_loop_threshold: agent.crashes as usize,
        crash_loop_window: agent.crashes_ms * NANOS_PER_MS,
    }
}

/// Seed for the jitter of the back-offs. Agents must have different seeds; the seed need not be reproducible.
fn jitter_seed() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |now| now.as_nanos() as u64);
    now ^ (u64::from(std::process::id()) << 32)
}
