//! The role that takes clients' requests: carries out what the design and `ivyhatch-routing` decide.

mod answer;
mod clients;
mod dispatch;
mod sessions;
mod upstream;

use std::rc::Rc;
use std::time::Duration;

use hyper::{Method, StatusCode};
use ivyhatch_node::front::{self, Phase};
use ivyhatch_node::seats::{Seats, Times};
use ivyhatch_protocol::settings::Settings;
use ivyhatch_protocol::watch::{Router, RouterState};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use crate::clock::Clock;
use crate::{RoleError, http, link};
use clients::Clients;
use dispatch::Dispatcher;
use sessions::Sessions;
use upstream::Upstream;

/// After SIGTERM connections go on coming for so long: clients keep the directory's answers for some seconds.
const STILL_TAKES: Duration = Duration::from_millis(3000);
/// Connections that cross the closing of idle ones are taken up to here after that.
const LAST_ONES: Duration = Duration::from_millis(100);
/// The last answers have to be out this long before the process is killed.
const BEFORE_KILL: Duration = Duration::from_millis(600);
/// Descriptors that are kept for the process's own needs, and for files.
const OWN_DESCRIPTORS: usize = 300;
/// The longest head that is read; the configuration's limit is lower or equal.
const LONGEST_HEAD: usize = 32 * 1024;

/// Runs the role until the process is told to end.
pub async fn run(settings: Settings) -> Result<(), RoleError> {
    let clock = Clock::start();
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let front_at = settings.listen_address("front", |listen| listen.client)?;
    let ready_at = settings.listen_address("readiness", |listen| listen.readiness)?;
    let bind = |at| link::listen(at).map_err(|source| RoleError::Listen { at, source });
    let (clients, readiness) = (bind(front_at)?, bind(ready_at)?);
    let descriptors = settings.limits.max_fds.saturating_sub(OWN_DESCRIPTORS).max(64);
    let router = Router {
        node: settings.ip.into(),
        client_address: front_at.to_string(),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        state: RouterState::Starting,
    };
    log::info!("event=starts role=router node={} zone={}", settings.ip, settings.zone);
    let upstream = Rc::new(Upstream::new(clock, descriptors / 2));
    spawn_local(upstream.clone().sweep());
    let seats = Seats::new(descriptors / 2, Times::default());
    let dispatcher = Dispatcher::new(&settings, clock, upstream, seats.clone());
    let timers = dispatcher.clone();
    spawn_local(async move { timers.run_timers().await });
    let sessions = Sessions::start(&settings, clock, router, dispatcher.clone());
    let (phase, phases) = watch::channel(Phase::Serving);
    let ready = (dispatcher.clone(), phases.clone());
    spawn_local(http::serve(readiness, move |call| {
        let answer = readiness_of(&call, &ready.0, &ready.1);
        async move { answer }
    }));
    let answers = Clients::new(dispatcher.clone(), seats.clone());
    let served = spawn_local(front::run(clients, seats, phases, LONGEST_HEAD, answers));
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => sessions.reread(),
        }
    }
    let killed = Instant::now() + Duration::from_secs_f64(settings.bounds.shutdown_grace_s.max(1.0));
    log::info!("event=ends role=router open={}", dispatcher.open());
    phase.send_replace(Phase::Stopping);
    sessions.state(RouterState::Draining);
    sleep(STILL_TAKES).await;
    phase.send_replace(Phase::Closing);
    sleep(LAST_ONES).await;
    phase.send_replace(Phase::Closed);
    let _ = timeout_at(killed - BEFORE_KILL, served).await;
    if dispatcher.open() > 0 {
        sleep_until(killed - BEFORE_KILL).await;
    }
    log::info!("event=ended role=router open={}", dispatcher.open());
    Ok(())
}

fn readiness_of(call: &http::Call, dispatcher: &Dispatcher, phase: &watch::Receiver<Phase>) -> http::Answer {
    let segments: Vec<&str> = call.segments.iter().map(String::as_str).collect();
    match (&call.method, segments.as_slice()) {
        (&Method::GET, ["-", "readyz"]) if *phase.borrow() != Phase::Serving => {
            http::again("this router ends")
        }
        (&Method::GET, ["-", "readyz"]) if !dispatcher.is_ready() => {
            http::again("no configuration or no list of servers is known here yet")
        }
        (&Method::GET, ["-", "readyz"]) => http::json(StatusCode::OK, "{}".to_owned()),
        _ => http::problem(StatusCode::NOT_FOUND, "this address answers GET /-/readyz"),
    }
}
