//! The role that serves control and the directory: carries out what a control node decides.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use hyper::header::IF_MATCH;
use hyper::{Method, StatusCode};
use ivyhatch_control::stored::Stored;
use ivyhatch_control::{Action, Event, Identity, Node, OrderId, SessionId, Token};
use ivyhatch_protocol::MILLISECOND;
use ivyhatch_protocol::feed::{FromFollower, Server, ToFollower};
use ivyhatch_protocol::ids::{NodeId, hash, mix};
use ivyhatch_protocol::peer::{Answer, Order, Peer};
use ivyhatch_protocol::settings::Settings;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, oneshot};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};

use crate::RoleError;
use crate::bulk::BulkFrames;
use crate::clock::Clock;
use crate::cloud::{Cloud, CloudError};
use crate::disk::Disk;
use crate::http::{self, Call};
use crate::link::{self, Writer};

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

struct Host {
    node: RefCell<Node>,
    clock: Clock,
    peers: RefCell<BTreeMap<NodeId, Writer>>,
    dialling: RefCell<BTreeMap<NodeId, JoinHandle<()>>>,
    sessions: RefCell<BTreeMap<SessionId, Writer>>,
    bulk: RefCell<BulkFrames>,
    orders: RefCell<BTreeMap<OrderId, oneshot::Sender<Answer>>>,
    next: RefCell<u64>,
    disk: Option<Disk>,
    list: mpsc::UnboundedSender<()>,
    settings: Settings,
}

/// Runs the role until the process is told to end.
pub async fn run(settings: Settings) -> Result<(), RoleError> {
    let clock = Clock::start();
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let control_at = settings.address("control", |listen| listen.control)?;
    let directory_at = settings.address("directory", |listen| listen.directory)?;
    let inner = |offset: u16| SocketAddrV4::new(settings.ip, settings.inner_ports.0 + offset);
    let bind = |at: SocketAddrV4| link::listen(at).map_err(|source| RoleError::Listen { at, source });
    let (control, directory) = (bind(control_at)?, bind(directory_at)?);
    let (peers, followers) = (bind(inner(0))?, bind(inner(1))?);
    let (disk, stored, stored_up_to) = match &settings.data_dir {
        Some(folder) => {
            let (disk, stored, told) = Disk::start(folder)?;
            (Some(disk), stored, Some(told))
        }
        None => (None, Stored::default(), None),
    };
    let (list, wanted) = mpsc::unbounded_channel();
    let identity = identity(&settings, disk.is_some());
    log::info!(
        "event=starts role=control node={} zone={} life={:x}",
        identity.me,
        settings.zone,
        identity.life
    );
    let host = Rc::new(Host {
        node: RefCell::new(Node::new(identity, stored, clock.now())),
        clock,
        peers: RefCell::default(),
        dialling: RefCell::default(),
        sessions: RefCell::default(),
        bulk: RefCell::default(),
        orders: RefCell::default(),
        next: RefCell::new(0),
        disk,
        list,
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
            ticking.hear(Event::Tick);
        }
    });
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => host.reread(),
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
    let life =
        mix(drawn ^ hash(format!("{}{:?}{:p}{unix:?}", settings.ip, std::process::id(), place).as_bytes()));
    let bounds = &settings.bounds;
    let pace = (bounds.drain_ms / 6.0).max(LIST_LEAST).max(10_000.0 / settings.cloud_api.rate_per_s.max(0.1));
    Identity {
        me: settings.ip.into(),
        life,
        has_disk,
        first_start: settings.first_start,
        seeds: settings.seeds.iter().map(|seed| NodeId::from(*seed.ip())).collect(),
        zones: settings.zones.keys().cloned().collect::<BTreeSet<_>>(),
        tolerate: settings.tolerate.machines,
        list_every: pace as u64 * MILLISECOND,
    }
}

impl Host {
    fn hear(self: &Rc<Self>, event: Event) {
        let mut actions = Vec::new();
        self.node.borrow_mut().handle(self.clock.now(), event, &mut actions);
        for action in actions {
            self.act(action);
        }
    }

    fn act(self: &Rc<Self>, action: Action) {
        match action {
            Action::Tell(to, message) => {
                let sent = self.peers.borrow().get(&to).map(|writer| writer.send(&message));
                if sent == Some(false) {
                    self.peers.borrow_mut().remove(&to);
                }
            }
            Action::Links(to) => self.dial(&to),
            Action::Store(token, records) => match &self.disk {
                Some(disk) => disk.write(token, records),
                None => {
                    log::error!("event=no_disk remedy=give_the_role_machines_with_a_disk");
                }
            },
            Action::Answer(id, answer) => {
                // Who has gone meanwhile needs none.
                let _ = self.orders.borrow_mut().remove(&id).map(|waits| waits.send(answer));
            }
            Action::Follower(id, message) => {
                let sent = self.sessions.borrow().get(&id).map(|writer| self.tell_follower(writer, &message));
                if sent == Some(false) {
                    self.sessions.borrow_mut().remove(&id);
                }
            }
            Action::Close(id) => drop(self.sessions.borrow_mut().remove(&id)),
            Action::ReadList => drop(self.list.send(())),
            Action::Log(event, pairs) => log::info!("event={event} {pairs}"),
        }
    }

    /// The configuration is bulk; all of it, so that its changes stay in their order.
    fn tell_follower(&self, writer: &Writer, message: &ToFollower) -> bool {
        match message {
            ToFollower::Whole { .. } | ToFollower::Change { .. } => {
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
        let at = SocketAddrV4::new(node.ip(), self.settings.inner_ports.0);
        let mut tries = 0;
        loop {
            if let Ok(mut stream) = link::connect(self.settings.ip, at, tries).await {
                tries = 0;
                let (writer, mut queue) = Writer::new();
                self.peers.borrow_mut().insert(node, writer);
                self.hear(Event::Linked(node));
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
                let take = |message: Peer| host.hear(Event::Peer(node, message));
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
        let take = |message: FromFollower| self.hear(Event::Follower(id, message));
        let ended = tokio::select! {
            ended = link::read(&mut reading, FOLLOWER_SILENT, take) => ended,
            ended = queue.write_to(&mut writing) => ended.map_err(link::LinkError::from),
        };
        if let Err(error @ link::LinkError::Frame(_)) = ended {
            log::warn!("event=refused_follower error={:?}", error.to_string());
        }
        self.sessions.borrow_mut().remove(&id);
        self.hear(Event::Closed(id));
    }

    async fn heed_disk(self: Rc<Self>, mut told: mpsc::UnboundedReceiver<Token>) {
        while let Some(token) = told.recv().await {
            self.hear(Event::Stored(token));
        }
    }

    async fn read_lists(self: Rc<Self>, mut wanted: mpsc::UnboundedReceiver<()>) {
        let mut cloud = Cloud::new(self.settings.ip, self.settings.cloud_api.address);
        while wanted.recv().await.is_some() {
            let read: Result<Vec<Server>, CloudError> = cloud.read().await;
            match read {
                Ok(servers) => self.hear(Event::Listed(servers)),
                Err(error) => {
                    log::warn!("event=list_unread error={:?}", error.to_string());
                    self.hear(Event::ListFailed);
                }
            }
        }
    }

    /// Takes the seeds of a settings file that has changed.
    fn reread(self: &Rc<Self>) {
        match Settings::from_environment() {
            Ok(settings) => {
                let seeds = settings.seeds.iter().map(|seed| NodeId::from(*seed.ip())).collect();
                log::info!("event=settings_read_anew seeds={seeds:?}");
                self.hear(Event::Seeds(seeds));
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
                let addresses = self.node.borrow().directory(region);
                if addresses.is_empty() {
                    return http::again("no router is known here yet: ask another control node");
                }
                let ttl = TTL_S.min(self.settings.bounds.ttl_max_s);
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
        let order = match (&call.method, segments.as_slice()) {
            (&Method::GET, ["-", "config"]) => Order::Read,
            (&Method::PUT | &Method::PATCH, ["-", "config"]) => {
                let base = http::header(&call.headers, &IF_MATCH).map(|text| text.trim_matches('"').parse());
                let Some(Ok(base)) = base else {
                    let text = "If-Match is missing or no number: name the version that this builds on, 0 for the first";
                    return http::problem(StatusCode::BAD_REQUEST, text);
                };
                let body = call.body.to_vec();
                if call.method == Method::PUT {
                    Order::Put { base, body }
                } else {
                    Order::Patch { base, body }
                }
            }
            (&Method::POST | &Method::DELETE, ["-", "evacuations", zone]) => {
                if !self.node.borrow().knows_zone(zone) {
                    return http::problem(
                        StatusCode::NOT_FOUND,
                        "no such zone: name one of the settings' zones",
                    );
                }
                Order::Evacuate { zone: (*zone).to_owned(), active: call.method == Method::POST }
            }
            _ => return http::problem(StatusCode::NOT_FOUND, "no such call: see docs/operators/system.md"),
        };
        let (sender, answer) = oneshot::channel();
        let id = self.number();
        self.orders.borrow_mut().insert(id, sender);
        self.hear(Event::Ordered(id, order));
        let answer = timeout(Duration::from_secs(2), answer).await;
        self.orders.borrow_mut().remove(&id);
        worded(answer.ok().and_then(Result::ok))
    }
}

fn worded(answer: Option<Answer>) -> http::Answer {
    match answer {
        Some(Answer::Taken { revision }) => {
            http::json(StatusCode::OK, serde_json::json!({ "revision": revision }).to_string())
        }
        Some(Answer::Document(text)) => http::json(StatusCode::OK, text),
        Some(Answer::Nothing) => {
            http::again("nothing has been configured yet: PUT /-/config with If-Match: 0")
        }
        Some(Answer::Conflict { revision }) => {
            let text = format!("version {revision} is current: read it, and build on that");
            http::problem(StatusCode::PRECONDITION_FAILED, &text)
        }
        Some(Answer::Invalid(text)) => http::problem(StatusCode::BAD_REQUEST, &text),
        Some(Answer::Unsure(text)) => http::again(&text),
        None => http::again("the control node did not decide in time: send it again unchanged"),
    }
}
