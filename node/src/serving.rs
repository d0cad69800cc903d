//! Starts the components of the node, serves until SIGTERM or SIGINT, and shuts down gracefully.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use ivyhatch_balancer::{Nanos, Settings};
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{sleep, timeout};

use crate::client_listener::DrainPhase;
use crate::config::{Config, ConfigurationSource};
use crate::connection_limits::{REQUEST_READ_TIMEOUT, RESPONSE_WRITE_TIMEOUT};
use crate::control_socket::ControlSocket;
use crate::descriptor_budget::DescriptorBudget;
use crate::discovery::{self, DiscoveryWatch};
use crate::driver::{Clock, Node};
use crate::server;
use crate::start_error::StartError;
use crate::upstream::BackendTransport;

/// How long idle connections are kept after SIGTERM or the start of a drain: clients may still be sending requests on them.
const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(500);
/// How long new connections are still accepted after the idle ones were closed: clients may have connected in the meantime.
const LAST_ACCEPT_PERIOD: Duration = Duration::from_millis(100);
const LISTEN_BACKLOG: u32 = 1024;
const NANOS_PER_MILLISECOND: Nanos = 1_000_000;

/// Serves until SIGTERM or SIGINT.
///
/// # Errors
/// [`StartError`] if the node can't start.
pub async fn serve(
    config: Config,
    configuration: ConfigurationSource,
    control_path: Option<PathBuf>,
) -> Result<(), StartError> {
    // The SIGHUP handler is installed before anything else: the signal's default action ends the process.
    let hangup = signal(SignalKind::hangup())?;
    let node_settings = config.node_settings()?;
    let seed = config.seed()?;
    let descriptors = DescriptorBudget::divide(config.limits.sockets)?;
    let clock = Clock::start();
    let settings_summary = summarise(&node_settings.balancer);
    let schedule = discovery::schedule_for(&node_settings.balancer, seed);
    let transport = BackendTransport::new(node_settings.connections, clock, descriptors.backends);
    spawn_local(transport.clone().close_stale_connections());
    let node = Node::new(node_settings.balancer, node_settings.names, seed, clock, Rc::new(transport))?;
    let discovery_watch = DiscoveryWatch::new(node.clone(), config.discovery, config.known, schedule);
    let stop = StopSignals::new()?;
    let listener =
        listen(config.listen).map_err(|source| StartError::Listen { at: config.listen, source })?;
    let at = listener.local_addr()?;
    let (phase, phases) = watch::channel(DrainPhase::Serving);
    let control = ControlSocket::new(config.name.clone(), at, node.clone(), phase.clone(), IDLE_CLOSE_DELAY);
    if let Some(path) = &control_path {
        let bind_error = |source| StartError::Control { at: path.clone(), source };
        let listener = ivyhatch_admin_protocol::listen(path).map_err(bind_error)?;
        spawn_local(control.clone().run(listener));
    }
    tracing::info!("{} listening on {at}", config.name);
    tracing::info!("{settings_summary}");
    let (discovery_address, discovery_addresses) = watch::channel(config.discovery);
    spawn_local(discovery_watch.run(discovery_addresses));
    spawn_local(reload_on_hangup(hangup, discovery_address, configuration));
    let timers = node.clone();
    spawn_local(async move { timers.run_timers().await });
    let server = spawn_local(server::serve(listener, node.clone(), descriptors.clients, phases));
    stop.received().await;
    control.start_shutdown();
    tracing::info!("{} shutting down", config.name);
    shut_down(&node, &phase, server).await;
    if let Some(path) = control_path {
        let _ = std::fs::remove_file(path);
    }
    Ok(())
}

/// Drains the node and waits until all connections have closed, or until the last response must have been written.
async fn shut_down(node: &Node, phase: &watch::Sender<DrainPhase>, server: JoinHandle<()>) {
    phase.send_replace(DrainPhase::Draining);
    node.stop_probing();
    sleep(IDLE_CLOSE_DELAY).await;
    phase.send_replace(DrainPhase::ClosingIdle);
    sleep(LAST_ACCEPT_PERIOD).await;
    phase.send_replace(DrainPhase::Closed);
    // Every connection closes by itself within this time: a request that had arrived in part by the last accept may still be
    // completed and use its whole deadline, and its client has some more time to read the response (docs/incidents/narrow-moments.md).
    let last_response = REQUEST_READ_TIMEOUT + node.longest_deadline() + RESPONSE_WRITE_TIMEOUT;
    let _ = timeout(last_response, server).await;
}

/// Reloads the configuration at each SIGHUP. Discovery's address takes effect at once, all other settings at the next start. An
/// invalid configuration is logged and changes nothing.
async fn reload_on_hangup(
    mut hangup: Signal,
    discovery_address: watch::Sender<SocketAddr>,
    configuration: ConfigurationSource,
) {
    while hangup.recv().await.is_some() {
        match reload(&configuration) {
            Ok(discovery) => {
                tracing::info!("configuration reloaded; discovery is at {discovery}");
                discovery_address.send_if_modified(|at| std::mem::replace(at, discovery) != discovery);
            }
            Err(error) => tracing::warn!("configuration reload failed, keeping the old one: {error}"),
        }
    }
}

/// Reads the configuration, checks its settings and returns discovery's address.
fn reload(configuration: &ConfigurationSource) -> Result<SocketAddr, StartError> {
    let config = Config::read(configuration)?;
    config.node_settings()?;
    Ok(config.discovery)
}

/// A line for the log with the settings that are needed to interpret its other lines.
fn summarise(settings: &Settings) -> String {
    let ms = |nanos: Nanos| nanos / NANOS_PER_MILLISECOND;
    let classes: Vec<String> = settings
        .classes
        .iter()
        .map(|class| {
            let (target, deadline) = (ms(class.latency_target), ms(class.deadline));
            format!("value {}, latency target {target} ms, deadline {deadline} ms", class.value)
        })
        .collect();
    let rules = settings.rules;
    format!(
        "zone {} of {}, one of {} nodes; classes: {}; slow start {} ms, polls discovery every {} ms",
        settings.home.0,
        settings.zones,
        settings.nodes,
        classes.join(" | "),
        ms(rules.warm_up_time),
        ms(rules.max_poll_interval)
    )
}

fn listen(at: SocketAddr) -> io::Result<TcpListener> {
    let socket = if at.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    // A restarted node must be able to bind while connections of the previous process are in TIME_WAIT.
    socket.set_reuseaddr(true)?;
    socket.bind(at)?;
    socket.listen(LISTEN_BACKLOG)
}

/// The signals that end the process.
struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    fn new() -> io::Result<Self> {
        Ok(Self { terminate: signal(SignalKind::terminate())?, interrupt: signal(SignalKind::interrupt())? })
    }

    /// Resolves at the first SIGTERM or SIGINT.
    async fn received(mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
