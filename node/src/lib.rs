#![forbid(unsafe_code)]
#![warn(missing_docs)]
//! ivyhatch-node, a load-balancing node: the decisions of `ivyhatch-balancer` on real sockets. This file reads the
//! configuration, starts the parts, heeds signals and ends the program.

pub mod client_listener;
pub mod connection_limits;
mod control;
mod discovery;
mod discovery_schedule;
mod driver;
pub mod hop_by_hop;
mod log_rate_limit;
mod prober;
mod read_ahead;
mod response_byte_observer;
mod server;
mod stream_observer;
mod tcp_options;
mod upstream;

use std::cell::Cell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use serde::Deserialize;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

use client_listener::DrainPhase;
use driver::{Clock, Node};
use upstream::Upstream;

/// After SIGTERM connections go on coming for a while, up to here.
const STILL_TAKES: Duration = Duration::from_millis(500);
/// Connections that cross the closing of idle ones are taken up to here after that.
const LAST_ONES: Duration = Duration::from_millis(100);
const BACKLOG: u32 = 1024;
/// Three standard streams, the runtime's three and two for signals, the listener, a client that waits for its connection, discovery (two
/// while it moves), the configuration as it is read anew; and some to spare.
const OWN_DESCRIPTORS: usize = 16;

/// What the node is told at its start.
#[derive(Deserialize)]
struct Config {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    limits: Limits,
    known: Option<discovery::List>,
    settings: serde_json::Value,
}

#[derive(Deserialize)]
struct Limits {
    sockets: usize,
}

/// Where a node's configuration comes from, how it logs and where it is administered.
pub struct RunOptions {
    /// Reads the configuration.
    pub configuration: ConfigurationSource,
    /// The least severe level that is logged.
    pub log_level: tracing::Level,
    /// The form of log lines.
    pub log_format: LogFormat,
    /// The instance name that every log line carries, if any.
    pub instance: Option<String>,
    /// The path of the control socket, if there is to be one.
    pub control_socket: Option<PathBuf>,
}

/// The form of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Plain text.
    Text,
    /// One JSON object a line.
    Json,
}

/// Reads the configuration's text, in the form of the file that `EDGE_CONFIG` names; called at the start and at each SIGHUP.
pub type ConfigurationSource = Box<dyn Fn() -> Result<Vec<u8>, ConfigurationUnavailable>>;

/// The configuration could not be read.
#[derive(Debug, thiserror::Error)]
#[error("{reason}")]
pub struct ConfigurationUnavailable {
    /// One line for the log: which file or setting, and why.
    pub reason: String,
}

/// Why the node can't start.
#[derive(Debug, thiserror::Error)]
enum StartError {
    #[error("{0}")]
    Unread(#[from] ConfigurationUnavailable),
    #[error("configuration: {0}")]
    Malformed(#[from] serde_json::Error),
    #[error("configuration: seed {0:?} is not a hexadecimal number of 64 bits")]
    Seed(String),
    #[error("configuration: limits.sockets: {0} descriptors are too few")]
    Sockets(usize),
    #[error("configuration: {0}")]
    Settings(String),
    #[error("can't listen at {at}: {source}")]
    Listen { at: SocketAddr, source: std::io::Error },
    #[error("can't control at {at}: {source}")]
    Control { at: PathBuf, source: std::io::Error },
    #[error("can't start: {0}")]
    System(#[from] std::io::Error),
}

/// Runs a node in the foreground, as its configuration says that `EDGE_CONFIG` names, until SIGTERM or SIGINT. Called once,
/// from the program's first thread.
pub fn run() -> ExitCode {
    run_with(RunOptions {
        configuration: Box::new(from_environment),
        log_level: tracing::Level::INFO,
        log_format: LogFormat::Text,
        instance: None,
        control_socket: None,
    })
}

/// Sends this process's log to standard error. Called once.
pub fn init_logging(level: tracing::Level, format: LogFormat) {
    let log = tracing_subscriber::fmt().with_max_level(level).with_writer(std::io::stderr);
    match format {
        LogFormat::Json => log.json().init(),
        LogFormat::Text => log.with_ansi(false).init(),
    }
}

/// Runs a node in the foreground until SIGTERM or SIGINT. Called once, from the program's first thread.
pub fn run_with(options: RunOptions) -> ExitCode {
    init_logging(options.log_level, options.log_format);
    // All of the node runs in this thread, so that the span is on all of its log lines.
    let span = options.instance.as_ref().map(|instance| tracing::error_span!("node", instance).entered());
    let ended = serve_all(options.configuration, options.control_socket);
    drop(span);
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ivyhatch-node: {error}");
            ExitCode::FAILURE
        }
    }
}

fn serve_all(configuration: ConfigurationSource, control: Option<PathBuf>) -> Result<(), StartError> {
    let config = parse(configuration())?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, serve(config, configuration, control))
}

fn from_environment() -> Result<Vec<u8>, ConfigurationUnavailable> {
    let unavailable = |reason| ConfigurationUnavailable { reason };
    let path = std::env::var("EDGE_CONFIG").map_err(|_| unavailable("EDGE_CONFIG is not set".to_owned()))?;
    std::fs::read(&path).map_err(|error| unavailable(format!("configuration {path}: {error}")))
}

fn parse(text: Result<Vec<u8>, ConfigurationUnavailable>) -> Result<Config, StartError> {
    Ok(serde_json::from_slice(&text?)?)
}

async fn serve(
    config: Config,
    configuration: ConfigurationSource,
    control: Option<PathBuf>,
) -> Result<(), StartError> {
    // Heeded before anything else: unheeded, it would end the program.
    let hangup = signal(SignalKind::hangup())?;
    let site = ivyhatch_node_settings::read(&config.settings).map_err(StartError::Settings)?;
    let seed = u64::from_str_radix(&config.seed, 16).map_err(|_| StartError::Seed(config.seed.clone()))?;
    // Beside the node's own, half the descriptors are for clients and three eighths for backends, of which a ninth are connections
    // that have been given up and are not closed yet; the rest is for probes, and slack.
    let sockets = config.limits.sockets;
    if sockets < 2 * OWN_DESCRIPTORS {
        return Err(StartError::Sockets(sockets));
    }
    let sockets = sockets - OWN_DESCRIPTORS;
    let (clients, backends) = (sockets / 2, sockets / 3);
    let clock = Clock::start();
    let told = what_is_told(&site.settings);
    // Probes have a few of their own: they come out of the slack, never out of what requests need.
    let upstream = Upstream::new(site.links, clock, backends, sockets / 32);
    let (pool, prober) = upstream.parts();
    spawn_local(Upstream::sweep(pool, prober));
    let node = Node::new(site.settings, site.words, seed, clock, Rc::new(upstream))
        .map_err(|error| StartError::Settings(error.to_string()))?;
    let watch = discovery::Watch::new(node.clone(), config.discovery, config.known, seed);
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let listener =
        listen(config.listen).map_err(|source| StartError::Listen { at: config.listen, source })?;
    let at = listener.local_addr()?;
    let (phase, phases) = watch::channel(DrainPhase::Serving);
    let control_at = control;
    let control = Rc::new(control::Control {
        name: config.name.clone(),
        at,
        node: node.clone(),
        phase: phase.clone(),
        ends: Cell::new(false),
        still_takes: STILL_TAKES,
        drains: Cell::new(0),
        began: tokio::time::Instant::now(),
    });
    if let Some(at) = &control_at {
        let told = |source| StartError::Control { at: at.clone(), source };
        spawn_local(control::run(ivyhatch_admin_protocol::listen(at).map_err(told)?, control.clone()));
    }
    tracing::info!("{} serves at {at}", config.name);
    tracing::info!("{told}");
    let (address, told) = tokio::sync::watch::channel(config.discovery);
    spawn_local(watch.run(told));
    spawn_local(heed_reloads(hangup, address, configuration));
    let timers = node.clone();
    spawn_local(async move { timers.run_timers().await });
    let deadline = node.longest_deadline();
    let served = spawn_local(server::run(listener, node.clone(), clients, phases));
    asked_to_stop(&mut terminate, &mut interrupt).await;
    control.ends.set(true);
    tracing::info!("{} stops", config.name);
    phase.send_replace(DrainPhase::Draining);
    node.stop_probing();
    sleep(STILL_TAKES).await;
    phase.send_replace(DrainPhase::ClosingIdle);
    sleep(LAST_ONES).await;
    phase.send_replace(DrainPhase::Closed);
    // Every connection ends by itself: a request that is half here when the last one has been taken may still come whole, have all
    // of its time, and its client some more to take the answer in.
    let _ = timeout(
        connection_limits::REQUEST_READ_TIMEOUT + deadline + connection_limits::RESPONSE_WRITE_TIMEOUT,
        served,
    )
    .await;
    if let Some(at) = control_at {
        let _ = std::fs::remove_file(at);
    }
    Ok(())
}

/// Reads the configuration anew at each SIGHUP. Discovery's address is taken from it at once; all else counts
/// from the next start. With a file that can't be used everything stays as it is.
async fn heed_reloads(
    mut hangup: Signal,
    address: watch::Sender<SocketAddr>,
    configuration: ConfigurationSource,
) {
    while hangup.recv().await.is_some() {
        match reread(&configuration) {
            Ok(discovery) => {
                tracing::info!("configuration read anew; discovery is at {discovery}");
                address.send_if_modified(|at| std::mem::replace(at, discovery) != discovery);
            }
            Err(error) => tracing::warn!("the old configuration stays: {error}"),
        }
    }
}

fn reread(configuration: &ConfigurationSource) -> Result<SocketAddr, StartError> {
    let config = parse(configuration())?;
    ivyhatch_node_settings::read(&config.settings).map_err(StartError::Settings)?;
    Ok(config.discovery)
}

/// What the settings say that the log's other lines are read by.
fn what_is_told(settings: &ivyhatch_balancer::Settings) -> String {
    let ms = |nanos: ivyhatch_balancer::Nanos| nanos / 1_000_000;
    let classes: Vec<String> = settings
        .classes
        .iter()
        .map(|class| {
            format!("worth {} within {} of {} ms", class.value, ms(class.latency_target), ms(class.deadline))
        })
        .collect();
    let rules = settings.rules;
    format!(
        "zone {} of {}, one of {} nodes; classes: {}; warm after {} ms, asks within {} ms",
        settings.home.0,
        settings.zones,
        settings.nodes,
        classes.join(", "),
        ms(rules.warm_up_time),
        ms(rules.max_poll_interval)
    )
}

fn listen(at: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if at.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    // A restart must not wait for the last life's connections to leave the system's tables.
    socket.set_reuseaddr(true)?;
    socket.bind(at)?;
    socket.listen(BACKLOG)
}

async fn asked_to_stop(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
