//! The control role: opens its listeners and its disk, starts its tasks, and ends the process on SIGTERM.
//!
//! The decisions are made by the state machine in `ivyhatch-control`; this module executes them. All tasks run in one thread and share
//! the [`host::Host`].

mod admin_api;
mod call_statistics;
mod coordination_api;
mod directory_api;
mod host;
mod instance_list_reader;
mod load_topology;
mod node_config;
mod peers;
mod pending_responses;
mod status;
mod watch_server;
mod watch_sessions;

use std::net::SocketAddrV4;
use std::rc::Rc;

use ivyhatch_control::server_list::reader::ReadId;
use ivyhatch_control::storage::durable_state::DurableState;
use ivyhatch_control::{Input, WriteToken};
use ivyhatch_protocol::settings::Settings;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::spawn_local;

use crate::RoleError;
use crate::clock::Clock;
use crate::disk::{Disk, OpenedDisk};
use crate::load_exchange::{self, LoadSocket};
use crate::settings_reload::reload_seeds;
use crate::transport::socket;
use crate::{http_server, ticker};
use host::{Host, HostParts};
use load_topology::Topology;

/// The role's listening sockets.
struct Listeners {
    admin: TcpListener,
    directory: TcpListener,
    peers: TcpListener,
    watches: TcpListener,
}

impl Listeners {
    fn bind(settings: &Settings) -> Result<Self, RoleError> {
        let admin = settings.listen_address("control", |listen| listen.control)?;
        let directory = settings.listen_address("directory", |listen| listen.directory)?;
        let peer_address = |offset: u16| SocketAddrV4::new(settings.ip, settings.peer_ports.0 + offset);
        let bind = |address| socket::listen(address).map_err(|source| RoleError::Listen { address, source });
        Ok(Self {
            admin: bind(admin)?,
            directory: bind(directory)?,
            peers: bind(peer_address(0))?,
            watches: bind(peer_address(1))?,
        })
    }
}

/// Runs the control node until SIGTERM, and then until its state is handed over.
///
/// # Errors
/// If the role cannot start.
pub async fn run(settings: Settings) -> Result<(), RoleError> {
    let clock = Clock::start();
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let listeners = Listeners::bind(&settings)?;
    let load_socket = LoadSocket::bind_control(&settings).await;
    let opened = settings.data_dir.as_deref().map(Disk::start).transpose()?;
    let (list_reads, requested_list_reads) = unbounded_channel();
    let (host, durable_tokens) = start_host(settings, clock, opened, list_reads);
    if let Some(tokens) = durable_tokens {
        spawn_local(report_durable_writes(host.clone(), tokens));
    }
    spawn_local(instance_list_reader::run_reads(host.clone(), requested_list_reads));
    spawn_servers(&host, listeners);
    if let Some(socket) = load_socket {
        spawn_local(load_exchange::run_control(socket, clock, Topology::new(host.clone())));
    }
    let tick_host = host.clone();
    spawn_local(ticker::run_ticks(move || {
        tick_host.handle_input(Input::Tick);
        tick_host.reload_seeds_without_quorum();
        tick_host.log_calls_if_due();
    }));
    loop {
        tokio::select! {
            _ = terminate.recv() => host.handle_input(Input::Drain),
            _ = hangup.recv() => if let Some(seeds) = reload_seeds() {
                host.handle_input(Input::Seeds(seeds));
            },
            () = host.shutdown_complete.notified() => break,
        }
    }
    log::info!("event=shutdown_complete role=control");
    Ok(())
}

/// Creates the host from the state that the disk holds. Also returns the receiver of durable writes' tokens if there is a disk.
fn start_host(
    settings: Settings,
    clock: Clock,
    opened: Option<OpenedDisk>,
    list_reads: UnboundedSender<ReadId>,
) -> (Rc<Host>, Option<UnboundedReceiver<WriteToken>>) {
    let mut node_config = node_config::node_config(&settings, opened.is_some());
    let (disk, stored, durable_tokens) = match opened {
        Some(opened) => {
            // If an unusable log file was set aside, this is not the node's first start, whatever the settings say.
            node_config.first_start &= !opened.history_lost;
            (Some(opened.disk), opened.stored, Some(opened.durable_tokens))
        }
        None => (None, DurableState::default(), None),
    };
    log::info!(
        "event=role_started role=control node={} zone={} incarnation={:x}",
        node_config.node,
        settings.zone,
        node_config.incarnation
    );
    let host = Host::new(HostParts { settings, clock, node_config, stored, disk, list_reads });
    (Rc::new(host), durable_tokens)
}

/// Starts the tasks that accept connections of peers, routers, operators, applications and the directory's clients.
fn spawn_servers(host: &Rc<Host>, listeners: Listeners) {
    spawn_local(peers::serve_peers(host.clone(), listeners.peers));
    spawn_local(watch_server::serve_watches(host.clone(), listeners.watches));
    let admin_host = host.clone();
    spawn_local(http_server::serve(listeners.admin, move |request| {
        admin_api::respond(admin_host.clone(), request)
    }));
    let directory_host = host.clone();
    spawn_local(http_server::serve(listeners.directory, move |request| {
        std::future::ready(directory_api::respond(&directory_host, &request))
    }));
}

async fn report_durable_writes(host: Rc<Host>, mut tokens: UnboundedReceiver<WriteToken>) {
    while let Some(token) = tokens.recv().await {
        host.handle_input(Input::Stored(token));
    }
}
