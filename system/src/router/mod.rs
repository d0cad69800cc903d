//! The router role: accepts client requests and forwards them to servers.
//!
//! The decisions are made in `ivyhatch-balancer` and `ivyhatch-routing`; the modules below execute them, all in one thread:
//!
//! - [`client_handler`]: reads requests and writes responses
//! - [`dispatch`]: holds the request table and the balancers of all services
//! - [`upstream`]: sends attempts over connections to servers
//! - [`watch_session`]: receives the configuration and the server list from control nodes
//! - [`readiness`]: reports whether clients may be sent to this router

mod attempt;
mod client_handler;
mod client_response;
mod dispatch;
mod headers;
mod readiness;
mod rejection;
mod response_body;
mod upstream;
mod watch_session;

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use ivyhatch_node::client_listener::{self, DrainPhase};
use ivyhatch_node::connection_limits::{ConnectionLimiter, ConnectionTimeouts};
use ivyhatch_protocol::settings::Settings;
use ivyhatch_protocol::watch::{Router, RouterState};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use crate::clock::Clock;
use crate::load_exchange::{self, LoadSocket};
use crate::transport::socket;
use crate::{RoleError, http_server};
use client_handler::ClientHandler;
use dispatch::Dispatcher;
use upstream::Upstream;
use watch_session::WatchSession;

/// Time from SIGTERM until idle connections are closed. Requests are accepted until then, as clients cache the directory's responses for
/// some seconds. After [`CLOSING_DURATION`] more, 2.8 s after SIGTERM, no new connections are accepted. This must happen within three
/// seconds, as a request that arrives later still has to be answered completely, and its stream may outlast the process. The remaining
/// 200 ms cover signal delivery and scheduling delay of a busy process.
const DRAIN_DURATION: Duration = Duration::from_millis(2700);
/// How long new connections are accepted after idle connections are closed: a client's connect may be in flight at that moment.
const CLOSING_DURATION: Duration = Duration::from_millis(100);
/// Requests in progress must end this long before the process is killed at the end of the shutdown grace period.
const KILL_MARGIN: Duration = Duration::from_millis(600);
/// Lower bound of the configured `shutdown_grace_s`, the time between SIGTERM and SIGKILL, in seconds.
const MIN_GRACE_S: f64 = 1.0;
/// File descriptors reserved for the process's own sockets and files; the rest is split between clients and servers.
const RESERVED_DESCRIPTORS: usize = 300;
/// Lower bound of the file descriptors available for client and server connections together.
const MIN_DESCRIPTORS: usize = 64;
/// The longest request head that is read; the limit in the configuration is lower or equal.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// The role's listening sockets.
struct Listeners {
    clients: TcpListener,
    client_address: SocketAddrV4,
    readiness: TcpListener,
}

impl Listeners {
    fn bind(settings: &Settings) -> Result<Self, RoleError> {
        let client_address = settings.listen_address("front", |listen| listen.client)?;
        let readiness_address = settings.listen_address("readiness", |listen| listen.readiness)?;
        let bind = |address| socket::listen(address).map_err(|source| RoleError::Listen { address, source });
        Ok(Self { clients: bind(client_address)?, client_address, readiness: bind(readiness_address)? })
    }
}

/// Runs the router until SIGTERM, and then until its requests have ended or the shutdown grace period is nearly over.
///
/// # Errors
/// If the role cannot start.
pub async fn run(settings: Settings) -> Result<(), RoleError> {
    let clock = Clock::start();
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let listeners = Listeners::bind(&settings)?;
    let load_socket = LoadSocket::bind_router(&settings).await;
    let descriptors = settings.limits.max_fds.saturating_sub(RESERVED_DESCRIPTORS).max(MIN_DESCRIPTORS);
    let router = Router {
        node: settings.ip.into(),
        client_address: listeners.client_address.to_string(),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        state: RouterState::Starting,
    };
    log::info!("event=role_started role=router node={} zone={}", settings.ip, settings.zone);
    let upstream = Rc::new(Upstream::new(clock, descriptors / 2));
    spawn_local(upstream.clone().sweep());
    let connections = ConnectionLimiter::new(descriptors / 2, ConnectionTimeouts::default());
    let dispatcher = Dispatcher::new(&settings, clock, upstream, connections.clone());
    let timers = dispatcher.clone();
    spawn_local(async move { timers.run_timers().await });
    let watch_session = WatchSession::start(&settings, clock, router, dispatcher.clone());
    if let Some(socket) = load_socket {
        spawn_local(share_loads(socket, watch_session.clone(), dispatcher.clone()));
    }
    let (phase, phases) = watch::channel(DrainPhase::Serving);
    spawn_readiness(listeners.readiness, &dispatcher, &phases);
    let handler = ClientHandler::new(dispatcher.clone(), connections.clone());
    let server = client_listener::serve(listeners.clients, connections, phases, MAX_HEAD_BYTES, handler);
    let server = spawn_local(server);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => watch_session.reload_settings(),
        }
    }
    let grace = Duration::from_secs_f64(settings.bounds.shutdown_grace_s.max(MIN_GRACE_S));
    let end_by = Instant::now() + grace - KILL_MARGIN;
    shut_down(&dispatcher, &watch_session, &phase, server, end_by).await;
    Ok(())
}

/// Exchanges with the other routers the load that each has placed on model servers; never returns.
async fn share_loads(socket: LoadSocket, watch_session: WatchSession, dispatcher: Dispatcher) {
    load_exchange::run_router(
        socket,
        || watch_session.nearest_control_node(),
        || dispatcher.local_loads(),
        |loads| dispatcher.record_other_routers_loads(loads),
    )
    .await;
}

fn spawn_readiness(listener: TcpListener, dispatcher: &Dispatcher, phase: &watch::Receiver<DrainPhase>) {
    let (dispatcher, phase) = (dispatcher.clone(), phase.clone());
    spawn_local(http_server::serve(listener, move |request| {
        std::future::ready(readiness::respond(&request, &dispatcher, &phase))
    }));
}

/// Leaves the directory, drains client connections, and returns when all requests have ended, or at `end_by` if some have not.
async fn shut_down(
    dispatcher: &Dispatcher,
    watch_session: &WatchSession,
    phase: &watch::Sender<DrainPhase>,
    server: JoinHandle<()>,
    end_by: Instant,
) {
    log::info!("event=shutdown_begun role=router open={}", dispatcher.requests_in_progress());
    phase.send_replace(DrainPhase::Draining);
    watch_session.set_state(RouterState::Draining);
    sleep(DRAIN_DURATION).await;
    phase.send_replace(DrainPhase::ClosingIdle);
    sleep(CLOSING_DURATION).await;
    phase.send_replace(DrainPhase::Closed);
    let _ = timeout_at(end_by, server).await;
    if dispatcher.requests_in_progress() > 0 {
        sleep_until(end_by).await;
    }
    log::info!("event=shutdown_complete role=router open={}", dispatcher.requests_in_progress());
}
