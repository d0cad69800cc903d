//! The role that serves control and the directory: carries out what a control node decides.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use hyper::header::IF_MATCH;
use hyper::{Method, StatusCode};
use ivyhatch_control::server_list::ReadId;
use ivyhatch_control::stored::Stored;
use ivyhatch_control::{ControlPlane, Identity, Input, Output, RequestId, SessionId, Token};
use ivyhatch_protocol::ids::{NodeId, fnv1a_hash, hash_mix};
use ivyhatch_protocol::peer::{AdminRequest, AdminResponse, PeerMessage};
use ivyhatch_protocol::settings::Settings;
use ivyhatch_protocol::watch::{Server, WatchRequest, WatchResponse};
use ivyhatch_protocol::{MILLISECOND, Nanos, SECOND};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::task::{JoinHandle, spawn_local, yield_now};
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};

use crate::RoleError;
use crate::bulk::BulkFrames;
use crate::clock::Clock;
use crate::cloud::{Cloud, CloudError};
use crate::disk::Disk;
use crate::http::{self, Call};
use crate::link::{self, Writer};
use crate::status;

/// Pause between two ticks.
const TICK: Duration = Duration::from_millis(100);
/// Wait before a link that has ended is opened anew.
const LINK_AGAIN: Duration = Duration::from_millis(100);
/// A control node that says nothing for so long has its connection closed: what comes later on it may be old.
const PEER_SILENT: Duration = Duration::from_millis(1300);
/// A follower has its connection closed after this.
const FOLLOWER_SILENT: Duration = Duration::from_secs(4);
/// Pause between two readings of the platform's list. Calls are priced, and a drain's time runs from the moment that the list
/// shows it; a sixth of that time, and no more than a tenth of the calls that the platform takes.
const LIST_LEAST: f64 = 400.0;
/// Time for which clients keep an answer of the directory, in seconds: a router that is lost stays in it for so long.
const TTL_S: f64 = 2.0;

/// An operator's request that was not answered for so long gets a 503.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(2);
/// A node without contact to a quorum reads its settings anew after this.
const REREAD_INTERVAL: Nanos = 2 * SECOND;
/// A process that was told to end does so this long before it would be killed.
const GRACE_MARGIN: Duration = Duration::from_millis(1500);

struct Host {
    plane: RefCell<ControlPlane>,
    clock: Clock,
    peers: RefCell<BTreeMap<NodeId, Writer>>,
    dialling: RefCell<BTreeMap<NodeId, JoinHandle<()>>>,
    sessions: RefCell<BTreeMap<SessionId, Writer>>,
    bulk: RefCell<BulkFrames>,
    requests: RefCell<BTreeMap<RequestId, oneshot::Sender<AdminResponse>>>,
    next: RefCell<u64>,
    disk: Option<Disk>,
    list: mpsc::UnboundedSender<ReadId>,
    left: Notify,
    /// When the settings were read last.
    reread_at: Cell<Nanos>,
    settings: Settings,
}

/// Withdraws an operator's request whose connection has ended before it was answered.
struct CancelOnDrop {
    host: Rc<Host>,
    request: RequestId,
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        let unanswered = self.host.requests.borrow_mut().remove(&self.request).is_some();
        if unanswered {
            self.host.hear(Input::AdminCancelled(self.request));
        }
    }
}

/// Runs the role until the process is told to end.
pub async fn run(settings: Settings) -> Result<(), RoleError> {
    let clock = Clock::start();
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let control_at = settings.listen_address("control", |listen| listen.control)?;
    let directory_at = settings.listen_address("directory", |listen| listen.directory)?;
    let inner = |offset: u16| SocketAddrV4::new(settings.ip, settings.peer_ports.0 + offset);
    let bind = |at: SocketAddrV4| link::listen(at).map_err(|source| RoleError::Listen { at, source });
    let (control, directory) = (bind(control_at)?, bind(directory_at)?);
    let (peers, followers) = (bind(inner(0))?, bind(inner(1))?);
    let (disk, stored, stored_up_to, history_lost) = match &settings.data_dir {
        Some(folder) => {
            let opened = Disk::start(folder)?;
            (Some(opened.disk), opened.stored, Some(opened.written), opened.history_lost)
        }
        None => (None, Stored::default(), None, false),
    };
    let (list, wanted) = mpsc::unbounded_channel();
    let mut identity = identity(&settings, disk.is_some());
    // Whoever had a file has a past, whatever the settings say.
    identity.first_start &= !history_lost;
    log::info!(
        "event=starts role=control node={} zone={} incarnation={:x}",
        identity.node,
        settings.zone,
        identity.incarnation
    );
    let host = Rc::new(Host {
        plane: RefCell::new(ControlPlane::new(identity, stored, clock.now())),
        clock,
        peers: RefCell::default(),
        dialling: RefCell::default(),
        sessions: RefCell::default(),
        bulk: RefCell::default(),
        requests: RefCell::default(),
        next: RefCell::new(0),
        disk,
        list,
        left: Notify::new(),
        reread_at: Cell::new(0),
        settings,
    });
    if let Some(told) = stored_up_to {
        spawn_local(host.clone().heed_disk(told));
    }
    spawn_local(host.clone().read_lists(wanted));
    spawn_local(host.clone().take_peers(peers));
    spawn_local(host.clone().take_followers(followers));
    let caller = host.clone();
    spawn_local(http::serve(control, move |call| caller.clone().control(call)));
    let caller = host.clone();
    spawn_local(http::serve(directory, move |call| {
        let answer = caller.resolve(&call);
        async move { answer }
    }));
    let ticking = host.clone();
    spawn_local(async move {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            ticking.hear(Input::Tick);
            ticking.reread_without_contact();
        }
    });
    loop {
        tokio::select! {
            _ = terminate.recv() => host.hear(Input::Leave),
            _ = hangup.recv() => host.reread(),
            () = host.left.notified() => break,
        }
    }
    log::info!("event=ends role=control");
    Ok(())
}

fn identity(settings: &Settings, has_disk: bool) -> Identity {
    // No two lives may share a number. The address, the process, the time and a place in memory differ between them.
    let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    let place = Box::new(0_u8);
    let drawn = std::hash::BuildHasher::hash_one(&std::collections::hash_map::RandomState::new(), unix);
    let life = hash_mix(
        drawn ^ fnv1a_hash(format!("{}{:?}{:p}{unix:?}", settings.ip, std::process::id(), place).as_bytes()),
    );
    let bounds = &settings.bounds;
    let pace = (bounds.drain_timeout_ms / 6.0)
        .max(LIST_LEAST)
        .max(10_000.0 / settings.cloud_api.rate_per_s.max(0.1));
    Identity {
        node: settings.ip.into(),
        zone: settings.zone.clone(),
        incarnation: life,
        has_disk,
        first_start: settings.first_start,
        seeds: settings.seed_nodes(),
        zones: settings.zones.keys().cloned().collect::<BTreeSet<_>>(),
        list_every: pace as u64 * MILLISECOND,
        grace: grace(settings),
    }
}

fn grace(settings: &Settings) -> Nanos {
    let grace = Duration::try_from_secs_f64(settings.bounds.shutdown_grace_s).unwrap_or_default();
    grace.saturating_sub(GRACE_MARGIN).as_nanos() as u64
}

impl Host {
    fn hear(self: &Rc<Self>, input: Input) {
        let mut outputs = Vec::new();
        self.plane.borrow_mut().handle(self.clock.now(), input, &mut outputs);
        for output in outputs {
            self.carry_out(output);
        }
    }

    fn carry_out(self: &Rc<Self>, output: Output) {
        match output {
            Output::Send(to, message) => {
                let sent = self.peers.borrow().get(&to).map(|writer| writer.send(&message));
                if sent == Some(false) {
                    self.peers.borrow_mut().remove(&to);
                }
            }
            Output::Links(to) => self.dial(&to),
            Output::Store(token, records) => match &self.disk {
                Some(disk) => disk.write(token, records),
                None => {
                    log::error!("event=no_disk remedy=give_the_role_machines_with_a_disk");
                }
            },
            Output::Respond(id, answer) => {
                // Who has gone meanwhile needs none.
                let _ = self.requests.borrow_mut().remove(&id).map(|waits| waits.send(answer));
            }
            Output::Follower(id, message) => {
                let sent = self.sessions.borrow().get(&id).map(|writer| self.tell_follower(writer, &message));
                if sent == Some(false) {
                    self.sessions.borrow_mut().remove(&id);
                }
            }
            Output::Close(id) => drop(self.sessions.borrow_mut().remove(&id)),
            Output::ReadServerList(read) => drop(self.list.send(read)),
            Output::Left => self.left.notify_one(),
            Output::Log(event, pairs) => log::info!("event={event} {pairs}"),
        }
    }

    /// The configuration is bulk; all of it, so that its changes stay in their order.
    fn tell_follower(&self, writer: &Writer, message: &WatchResponse) -> bool {
        match message {
            WatchResponse::Snapshot { .. } | WatchResponse::Change { .. } => {
                writer.send_bulk(&self.bulk.borrow_mut().of(message))
            }
            _ => writer.send(message),
        }
    }

    fn number(&self) -> u64 {
        let mut next = self.next.borrow_mut();
        *next += 1;
        *next
    }

    fn dial(self: &Rc<Self>, to: &[NodeId]) {
        let mut dialling = self.dialling.borrow_mut();
        dialling.retain(|node, task| {
            let wanted = to.contains(node);
            if !wanted {
                task.abort();
                self.peers.borrow_mut().remove(node);
            }
            wanted
        });
        for node in to {
            dialling.entry(*node).or_insert_with(|| spawn_local(self.clone().keep_link(*node)));
        }
    }

    async fn keep_link(self: Rc<Self>, node: NodeId) {
        let at = SocketAddrV4::new(node.ip(), self.settings.peer_ports.0);
        let mut tries = 0;
        loop {
            if let Ok(mut stream) = link::connect(self.settings.ip, at, tries).await {
                tries = 0;
                let (writer, mut queue) = Writer::new();
                self.peers.borrow_mut().insert(node, writer);
                self.hear(Input::Connected(node));
                let (mut reading, mut writing) = stream.split();
                let mut scrap = [0; 64];
                // The other side says nothing here; that it ends shows all the same.
                tokio::select! {
                    _ = queue.write_to(&mut writing) => {}
                    _ = reading.read(&mut scrap) => {}
                }
                self.peers.borrow_mut().remove(&node);
            } else {
                tries += 1;
            }
            sleep(LINK_AGAIN).await;
        }
    }

    async fn take_peers(self: Rc<Self>, listener: TcpListener) {
        loop {
            let Ok((mut stream, from)) = listener.accept().await else {
                sleep(LINK_AGAIN).await;
                continue;
            };
            let std::net::IpAddr::V4(from) = from.ip() else { continue };
            let host = self.clone();
            spawn_local(async move {
                let node = NodeId::from(from);
                let take = |message: PeerMessage| host.hear(Input::Peer(node, message));
                if let Err(error @ link::LinkError::Frame(_)) =
                    link::read(&mut stream, PEER_SILENT, take).await
                {
                    log::warn!("event=refused_peer from={from} error={:?}", error.to_string());
                }
            });
        }
    }

    async fn take_followers(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => drop(spawn_local(self.clone().session(stream))),
                Err(_) => sleep(LINK_AGAIN).await,
            }
        }
    }

    async fn session(self: Rc<Self>, mut stream: TcpStream) {
        link::tune(&stream);
        let id = self.number();
        let (writer, mut queue) = Writer::new();
        self.sessions.borrow_mut().insert(id, writer);
        let (mut reading, mut writing) = stream.split();
        let take = |message: WatchRequest| self.hear(Input::Follower(id, message));
        let ended = tokio::select! {
            ended = link::read(&mut reading, FOLLOWER_SILENT, take) => ended,
            ended = queue.write_to(&mut writing) => ended.map_err(link::LinkError::from),
        };
        if let Err(error @ link::LinkError::Frame(_)) = ended {
            log::warn!("event=refused_follower error={:?}", error.to_string());
        }
        self.sessions.borrow_mut().remove(&id);
        self.hear(Input::Closed(id));
    }

    async fn heed_disk(self: Rc<Self>, mut told: mpsc::UnboundedReceiver<Token>) {
        while let Some(token) = told.recv().await {
            self.hear(Input::Stored(token));
        }
    }

    /// Reads the platform's list whenever it is wanted. One that is wanted anew is read from its first page, on a connection of its
    /// own: nothing of an earlier reading is taken for a part of it.
    async fn read_lists(self: Rc<Self>, mut wanted: mpsc::UnboundedReceiver<ReadId>) {
        let mut cloud = Cloud::new(self.settings.ip, self.settings.cloud_api.address);
        let mut next = wanted.recv().await;
        while let Some(read) = next {
            tokio::select! {
                biased;
                newer = wanted.recv() => next = newer,
                list = cloud.read() => {
                    self.take_list(read, list);
                    next = wanted.recv().await;
                }
            }
        }
    }

    fn take_list(self: &Rc<Self>, read: ReadId, list: Result<Vec<Server>, CloudError>) {
        match list {
            Ok(servers) => self.hear(Input::ServerList(read, servers)),
            Err(error) => {
                log::warn!("event=list_unread error={:?}", error.to_string());
                self.hear(Input::ServerListFailed(read));
            }
        }
    }

    /// A settings file may change without a signal: a node that finds nobody looks whether it names others now.
    fn reread_without_contact(self: &Rc<Self>) {
        let now = self.clock.now();
        if self.plane.borrow().has_quorum() || now < self.reread_at.get() + REREAD_INTERVAL {
            return;
        }
        self.reread_at.set(now);
        if let Ok(settings) = Settings::from_environment() {
            self.hear(Input::Seeds(settings.seed_nodes()));
        }
    }

    /// Takes the seeds of a settings file that has changed.
    fn reread(self: &Rc<Self>) {
        match Settings::from_environment() {
            Ok(settings) => {
                log::info!("event=settings_read_anew seeds={:?}", settings.seeds);
                self.hear(Input::Seeds(settings.seed_nodes()));
            }
            Err(error) => log::warn!("event=old_settings_stay error={:?}", error.to_string()),
        }
    }

    fn resolve(&self, call: &Call) -> http::Answer {
        let segments: Vec<&str> = call.segments.iter().map(String::as_str).collect();
        match (&call.method, segments.as_slice()) {
            (&Method::GET, ["-", "resolve"]) => {
                let zone = call.query("zone").unwrap_or("");
                let region = call.query("region").filter(|region| !region.is_empty());
                let region = region.unwrap_or_else(|| self.settings.region_of(zone));
                let addresses = self.plane.borrow().directory(region);
                if addresses.is_empty() {
                    return http::again("no router is known here yet: ask another control node");
                }
                let ttl = TTL_S.min(self.settings.bounds.max_directory_ttl_s);
                http::json(
                    StatusCode::OK,
                    serde_json::json!({"addresses": addresses, "ttl_s": ttl}).to_string(),
                )
            }
            _ => http::problem(StatusCode::NOT_FOUND, "the directory answers GET /-/resolve"),
        }
    }

    async fn control(self: Rc<Self>, call: Call) -> http::Answer {
        let segments: Vec<&str> = call.segments.iter().map(String::as_str).collect();
        let request = match (&call.method, segments.as_slice()) {
            (&Method::GET, ["-", "status"]) => {
                let report = self.plane.borrow().report();
                return http::json(StatusCode::OK, status::text(&report));
            }
            (&Method::GET, ["-", "config"]) => AdminRequest::Read,
            (&Method::PUT | &Method::PATCH, ["-", "config"]) => {
                let base = http::header(&call.headers, &IF_MATCH).map(|text| text.trim_matches('"').parse());
                let Some(Ok(base)) = base else {
                    let text = "If-Match is missing or no number: name the version that this builds on, 0 for the first";
                    return http::problem(StatusCode::BAD_REQUEST, text);
                };
                let body = call.body.to_vec();
                if call.method == Method::PUT {
                    AdminRequest::Put { base, body }
                } else {
                    AdminRequest::Patch { base, body }
                }
            }
            (&Method::POST | &Method::DELETE, ["-", "evacuations", zone]) => {
                if !self.plane.borrow().knows_zone(zone) {
                    return http::problem(
                        StatusCode::NOT_FOUND,
                        "no such zone: name one of the settings' zones",
                    );
                }
                AdminRequest::Evacuate {
                    zone: (*zone).to_owned(),
                    active: call.method == Method::POST,
                    change_count: 0,
                }
            }
            _ => return http::problem(StatusCode::NOT_FOUND, "no such call: see docs/operators/system.md"),
        };
        // A caller that has hung up while this process stood still is seen to have gone before its request is begun.
        yield_now().await;
        yield_now().await;
        let (sender, response) = oneshot::channel();
        let id = self.number();
        self.requests.borrow_mut().insert(id, sender);
        let _cancel = CancelOnDrop { host: self.clone(), request: id };
        self.hear(Input::Admin(id, request));
        let response = timeout(ADMIN_TIMEOUT, response).await;
        worded(response.ok().and_then(Result::ok))
    }
}

fn worded(answer: Option<AdminResponse>) -> http::Answer {
    match answer {
        Some(AdminResponse::Applied { revision }) => {
            http::json(StatusCode::OK, serde_json::json!({ "revision": revision }).to_string())
        }
        Some(AdminResponse::Document(text)) => http::json(StatusCode::OK, text),
        Some(AdminResponse::NotConfigured) => {
            http::again("nothing has been configured yet: PUT /-/config with If-Match: 0")
        }
        Some(AdminResponse::Conflict { revision }) => {
            let text = format!("version {revision} is current: read it, and build on that");
            http::problem(StatusCode::PRECONDITION_FAILED, &text)
        }
        Some(AdminResponse::Invalid(text)) => http::problem(StatusCode::BAD_REQUEST, &text),
        Some(AdminResponse::Unavailable(text)) => http::again(&text),
        None => http::again("the control node did not decide in time: send it again unchanged"),
    }
}
