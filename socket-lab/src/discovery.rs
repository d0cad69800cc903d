//! The discovery service: long polls (watches) for the list of servers. Each node has a service of its own, since the servers'
//! addresses differ by node, and the invariants need to know which node receives each notification.

use std::convert::Infallible;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use ivyhatch_lab::{ListedServer, ServerState};
use serde_json::{Value, json};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::endpoint_list::Endpoint;
use crate::error::SocketLabError;
use crate::run_state::{Body, RunState, zone_name};

/// Limit of the time that a watch is held.
const MAX_HOLD_MS: u64 = 60_000;

/// A request for the list, parsed from the query string.
struct ListRequest {
    /// The revision that the caller has; `None` or 0 requests the full list.
    known_revision: Option<u64>,
    /// How long the response may be held until there is a later revision.
    hold: Duration,
}

impl ListRequest {
    fn parse(query: &str) -> Self {
        let number = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).and_then(|(_, value)| value.parse::<u64>().ok())
        };
        let hold_ms = number("hold_ms").unwrap_or(0).min(MAX_HOLD_MS);
        Self { known_revision: number("from"), hold: Duration::from_millis(hold_ms) }
    }

    /// The revision after which changes are requested; `None` if the full list is requested.
    fn changes_since(&self) -> Option<u64> {
        self.known_revision.filter(|revision| *revision > 0)
    }
}

/// The entries of a list in the discovery protocol's form, with the servers' addresses for `node`.
pub(crate) fn targets(run: &RunState, node: usize, endpoints: &[Endpoint]) -> Vec<Value> {
    let addresses = run.server_addresses.borrow();
    let target = |endpoint: &Endpoint| {
        let server = endpoint.server;
        let state = match endpoint.state {
            ServerState::Serving => "Ready",
            ServerState::Draining => "Terminating",
            ServerState::Gone => "Gone",
        };
        json!({"uid": format!("s-{server}"), "endpoint": addresses[server][node].to_string(),
            "az": zone_name(run.zone_of(server)), "model": "m", "pod_group": server, "state": state,
            "capacity_hint": run.servers[server].borrow().group.cores,
            "boot_ms": endpoint.started.map_or(0, |started| run.clock.unix_ms(started))})
    };
    endpoints.iter().map(target).collect()
}

/// Starts a service for each node.
///
/// # Errors
/// If the operating system provides no socket.
pub(crate) async fn listen_all(run: &Rc<RunState>) -> Result<(), SocketLabError> {
    for node in 0..run.nodes.len() {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
        let listener = listener.map_err(SocketLabError::system("a discovery listener"))?;
        let address = listener.local_addr().map_err(SocketLabError::system("a discovery listener"))?;
        run.nodes[node].borrow_mut().discovery_address = Some(address);
        let run = run.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(serve_connection(run.clone(), node, stream));
            }
        });
    }
    Ok(())
}

async fn serve_connection(run: Rc<RunState>, node: usize, stream: TcpStream) {
    let service = service_fn(|request| {
        let run = run.clone();
        async move { Ok::<_, Infallible>(respond(&run, node, &request).await) }
    });
    // The error is dropped: a broken connection affects its node only.
    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}

async fn respond(run: &Rc<RunState>, node: usize, request: &Request<Incoming>) -> Response<Body> {
    let list_request = ListRequest::parse(request.uri().query().unwrap_or_default());
    let mut revisions = run.list_revision.subscribe();
    if let Some(known) = list_request.known_revision {
        // A timeout needs no handling: the response then has no changes.
        let _ = timeout(list_request.hold, revisions.wait_for(|revision| *revision > known)).await;
    }
    if run.endpoint_list.borrow().outages > 0 {
        let unavailable = Response::builder().status(StatusCode::SERVICE_UNAVAILABLE).body(Full::default());
        return unavailable.expect("a status makes a valid response");
    }
    let revision = run.endpoint_list.borrow().revision();
    let changes_since = list_request.changes_since();
    let endpoints = match changes_since {
        Some(since) => run.endpoint_list.borrow().changes_since(since),
        None => run.endpoint_list.borrow().full(),
    };
    let is_full = changes_since.is_none();
    record_notification(run, node, &endpoints, is_full);
    let targets = targets(run, node, &endpoints);
    let body = json!({"rev": revision, "all": is_full, "targets": targets}).to_string();
    Response::new(Full::new(body.into()))
}

fn record_notification(run: &RunState, node: usize, endpoints: &[Endpoint], is_full: bool) {
    let listed: Vec<ListedServer> = endpoints.iter().map(Endpoint::as_listed).collect();
    let now = run.clock.now();
    let mut invariants = run.invariants.borrow_mut();
    if is_full {
        invariants.full_list_received(node, &listed, run.servers.len(), now);
    } else {
        listed.into_iter().for_each(|listed| invariants.server_listed(node, listed, now));
    }
}
