//! The list of servers, as discovery words it. One service for each node: endpoints differ, and who was told what is known.

use std::convert::Infallible;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use ivyhatch_lab::ServerState;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::SocketLabError;
use crate::stage::{Body, Nanos, Stage, zone_name};

/// A server as lists show it.
#[derive(Clone, Copy)]
pub(crate) struct Shown {
    pub(crate) state: ServerState,
    pub(crate) started: Option<Nanos>,
    /// The version that changed it.
    rev: u64,
}

/// The list, and what is wrong with it.
pub(crate) struct List {
    rev: u64,
    shown: Vec<Shown>,
    /// Troubles that keep it from answering.
    pub(crate) down: u32,
    /// What whole lists show while they are stale, and how many troubles keep them so.
    pub(crate) stale: Option<(u32, Vec<Shown>)>,
}

impl List {
    pub(crate) fn new(servers: usize) -> Self {
        let shown = vec![Shown { state: ServerState::Serving, started: None, rev: 1 }; servers];
        Self { rev: 1, shown, down: 0, stale: None }
    }

    pub(crate) fn now(&self) -> Vec<Shown> {
        self.shown.clone()
    }
}

/// Lists tell of a server as it is now, after their lag.
pub(crate) fn announce(stage: &Rc<Stage>, server: usize) {
    let (state, started) = {
        let server = stage.servers[server].borrow();
        (server.state, server.started)
    };
    let stage = stage.clone();
    spawn_local(async move {
        sleep(Duration::from_millis(stage.world.discovery.lag_ms)).await;
        let rev = {
            let mut list = stage.list.borrow_mut();
            list.rev += 1;
            let rev = list.rev;
            list.shown[server] = Shown { state, started, rev };
            rev
        };
        stage.listed.send_replace(rev);
    });
}

/// The lines of a list for a node.
pub(crate) fn targets(stage: &Stage, node: usize, shown: &[(usize, Shown)]) -> Vec<Value> {
    let endpoints = stage.endpoints.borrow();
    let line = |(server, shown): &(usize, Shown)| {
        let state = match shown.state {
            ServerState::Serving => "Ready",
            ServerState::Draining => "Terminating",
            ServerState::Gone => "Gone",
        };
        json!({"uid": format!("s-{server}"), "endpoint": endpoints[*server][node].to_string(),
            "az": zone_name(stage.zone(*server)), "model": "m", "pod_group": server, "state": state,
            "capacity_hint": stage.servers[*server].borrow().group.cores,
            "boot_ms": shown.started.map_or(0, |started| stage.unix_ms(started))})
    };
    shown.iter().map(line).collect()
}

/// The whole list, without those that have gone.
pub(crate) fn whole(stage: &Stage) -> Vec<(usize, Shown)> {
    let list = stage.list.borrow();
    let shown = list.stale.as_ref().map_or(&list.shown, |(_, shown)| shown);
    shown.iter().copied().enumerate().filter(|(_, shown)| shown.state != ServerState::Gone).collect()
}

pub(crate) async fn listen_all(stage: &Rc<Stage>) -> Result<(), SocketLabError> {
    for node in 0..stage.nodes.len() {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
        let listener = listener.map_err(SocketLabError::system("discovery's listener"))?;
        let at = listener.local_addr().map_err(SocketLabError::system("discovery's listener"))?;
        stage.nodes[node].borrow_mut().discovery = Some(at);
        let stage = stage.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let stage = stage.clone();
                spawn_local(async move {
                    let answers = |request| {
                        let stage = stage.clone();
                        async move { Ok::<_, Infallible>(answer(&stage, node, &request).await) }
                    };
                    let _ = http1::Builder::new()
                        .serve_connection(TokioIo::new(stream), service_fn(answers))
                        .await;
                });
            }
        });
    }
    Ok(())
}

async fn answer(stage: &Rc<Stage>, node: usize, request: &Request<Incoming>) -> Response<Body> {
    let query = request.uri().query().unwrap_or_default();
    let field = |name: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).and_then(|(_, value)| value.parse::<u64>().ok())
    };
    let hold = Duration::from_millis(field("hold_ms").unwrap_or(0).min(60_000));
    let mut listed = stage.listed.subscribe();
    let from = field("from");
    if let Some(from) = from {
        let _ = timeout(hold, listed.wait_for(|rev| *rev > from)).await;
    }
    if stage.list.borrow().down > 0 {
        return Response::builder().status(503).body(Full::default()).expect("a sound answer");
    }
    let rev = stage.list.borrow().rev;
    let changes = |from: u64| -> Vec<(usize, Shown)> {
        let list = stage.list.borrow();
        list.shown.iter().copied().enumerate().filter(|(_, shown)| shown.rev > from).collect()
    };
    let all = from.is_none_or(|from| from == 0);
    let lines = if all { whole(stage) } else { changes(from.unwrap_or(0)) };
    let told = lines
        .iter()
        .map(|(server, shown)| (*server as u32, shown.state == ServerState::Serving, shown.started));
    let told: Vec<_> = told.collect();
    let (now, mut oracle) = (stage.now(), stage.oracle.borrow_mut());
    match all {
        true => oracle.told_all(node, &told, stage.servers.len() as u32, now),
        false => told.into_iter().for_each(|(server, on, since)| oracle.told(node, server, on, since, now)),
    }
    let body = json!({"rev": rev, "all": all, "targets": targets(stage, node, &lines)}).to_string();
    Response::new(Full::new(body.into()))
}
