#![forbid(unsafe_code)]
#![warn(missing_docs)]
//! ivyhatch-node, a load-balancing node: the decisions of `ivyhatch-balancer` on real sockets. This file reads the
//! configuration, starts the parts, heeds signals and ends the program.

mod control;
mod discovery;
mod driver;
pub mod front;
mod pace;
mod prober;
pub mod seats;
mod server;
pub mod sparing;
pub mod tap;
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

use driver::{Clock, Node};
use front::Phase;
use upstream::Upstream;

/// After SIGTERM connections go on coming for a while, up to here.
const STILL_TAKES: Duration = Duration::from_millis(500);
/// Connections that cross the closing of idle ones are taken up to here after that.
const LAST_ONES: Duration = Duration::from_millis(100);
const BACKLOG: u32 = 1024;
/// Three standard streams, the runtime's three and two for signals, the listener, a client that waits for its seat, discovery (two
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

/// Where a node's configuration comes from, and how it logs.
pub struct Start {
    /// Gives the configuration, as `EDGE_CONFIG`'s file has it; called at the start and at each SIGHUP. The error is one line.
    pub configuration: Configuration,
    /// The least level that is written.
    pub level: tracing::Level,
    /// Whether lines are JSON objects.
    pub json: bool,
    /// Stands on every line; none for none.
    pub instance: Option<String>,
    /// Where the control socket listens; none for none.
    pub control: Option<PathBuf>,
}

/// Why the node can't start.
#[derive(Debug, thiserror::Error)]
enum StartError {
    #[error("{0}")]
    Unread(String),
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
    run_as(Start {
        configuration: Box::new(from_environment),
        level: tracing::Level::INFO,
        json: false,
        instance: None,
        control: None,
    })
}

/// Sends this process's log to standard error, as text or as JSON objects. Called once.
pub fn log(level: tracing::Level, json: bool) {
    let log = tracing_subscriber::fmt().with_max_level(level).with_writer(std::io::stderr);
    match json {
        true => log.json().init(),
        false => log.with_ansi(false).init(),
    }
}

/// Runs a node in the foreground until SIGTERM or SIGINT. Called once, from the program's first thread.
pub fn run_as(start: Start) -> ExitCode {
    log(start.level, start.json);
    // All of the node runs in this thread, so that the span is around all that it says.
    let span = start.instance.as_ref().map(|instance| tracing::error_span!("node", instance).entered());
    let ended = serve_all(start.configuration, start.control);
    drop(span);
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ivyhatch-node: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Gives a configuration's text.
pub type Configuration = Box<dyn Fn() -> Result<Vec<u8>, String>>;

fn serve_all(configuration: Configuration, control: Option<PathBuf>) -> Result<(), StartError> {
    let config = parse(configuration())?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, serve(config, configuration, control))
}

fn from_environment() -> Result<Vec<u8>, String> {
    let path = std::env::var("EDGE_CONFIG").map_err(|_| "EDGE_CONFIG is not set".to_owned())?;
    std::fs::read(&path).map_err(|error| format!("configuration {path}: {error}"))
}

fn parse(text: Result<Vec<u8>, String>) -> Result<Config, StartError> {
    Ok(serde_json::from_slice(&text.map_err(StartError::Unread)?)?)
}

async fn serve(
    config: Config,
    configuration: Configuration,
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
    let (phase, phases) = watch::channel(Phase::Serving);
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
    phase.send_replace(Phase::Stopping);
    node.stop_probing();
    sleep(STILL_TAKES).await;
    phase.send_replace(Phase::Closing);
    sleep(LAST_ONES).await;
    phase.send_replace(Phase::Closed);
    // Every connection ends by itself: a request that is half here when the last one has been taken may still come whole, have all
    // of its time, and its client some more to take the answer in.
    let _ = timeout(seats::WHOLE_WITHIN + deadline + seats::TAKEN_WITHIN, served).await;
    if let Some(at) = control_at {
        let _ = std::fs::remove_file(at);
    }
    Ok(())
}

/// Reads the configuration anew at each SIGHUP. Discovery's address is taken from it at once; all else counts
/// from the next start. With a file that can't be used everything stays as it is.
async fn heed_reloads(mut hangup: Signal, address: watch::Sender<SocketAddr>, configuration: Configuration) {
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

fn reread(configuration: &Configuration) -> Result<SocketAddr, StartError> {
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
