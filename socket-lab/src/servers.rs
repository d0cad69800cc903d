//! Servers: the lab's model behind real sockets. A server listens once for each node, so that each way has its delay and its
//! cuts, and what a node sends is known to be that node's.

use std::convert::Infallible;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use ivyhatch_lab::{Admission, Job, ServerState};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until};

use crate::SocketLabError;
use crate::stage::{Body, Nanos, START, Stage};

const BACKLOG: u32 = 512;

pub(crate) async fn listen_all(stage: &Rc<Stage>) -> Result<(), SocketLabError> {
    for server in 0..stage.servers.len() {
        for node in 0..stage.nodes.len() {
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
            let listener = listener.map_err(SocketLabError::system("a server's listener"))?;
            let at = listener.local_addr().map_err(SocketLabError::system("a server's listener"))?;
            stage.endpoints.borrow_mut()[server].push(at);
            spawn_local(serve(stage.clone(), server, node, listener));
        }
    }
    Ok(())
}

/// Takes connections while the server is there and the way is open; as long as it is not, nothing listens (a machine
/// that is there but runs nothing refuses), or nothing comes up (over a cut).
async fn serve(stage: Rc<Stage>, server: usize, node: usize, listener: TcpListener) {
    let mut cuts = stage.cut.subscribe();
    let mut life = stage.lives[server].subscribe();
    let Ok(at) = listener.local_addr() else { return };
    let mut listener = Some(listener);
    loop {
        let gone = stage.servers[server].borrow().state == ServerState::Gone;
        if gone {
            // Closed, so that the system refuses for it.
            listener = None;
        } else if listener.is_none() {
            listener = bind_again(at);
        }
        let Some(open) = &listener else {
            tokio::select! {
                _ = life.changed() => {}
                () = sleep(Duration::from_millis(20)), if !gone => {}
            }
            continue;
        };
        if stage.is_cut(node, server) {
            let _stuffed = stuff(open).await;
            while stage.is_cut(node, server) && stage.servers[server].borrow().state != ServerState::Gone {
                tokio::select! {
                    _ = cuts.changed() => {}
                    _ = life.changed() => {}
                }
            }
            let _ = SockRef::from(open).listen(BACKLOG as i32);
            continue;
        }
        tokio::select! {
            taken = open.accept() => if let Ok((stream, _)) = taken {
                spawn_local(connection(stage.clone(), server, node, stream));
            },
            _ = cuts.changed() => {}
            _ = life.changed() => {}
        }
    }
}

fn bind_again(at: std::net::SocketAddr) -> Option<TcpListener> {
    let socket = TcpSocket::new_v4().ok()?;
    socket.set_reuseaddr(true).ok()?;
    socket.bind(at).ok()?;
    socket.listen(BACKLOG).ok()
}

/// Fills a listener's queue, so that no connection comes up on it: the system drops what knocks, as a cut does. The
/// connections that fill it must be kept as long as that should last.
async fn stuff(listener: &TcpListener) -> Vec<TcpStream> {
    let mut kept = Vec::new();
    let Ok(at) = listener.local_addr() else { return kept };
    if SockRef::from(listener).listen(0).is_err() {
        return kept;
    }
    for _ in 0..4 {
        let up = tokio::time::timeout(Duration::from_millis(20), TcpStream::connect(at)).await;
        let Ok(Ok(stream)) = up else { break };
        kept.push(stream);
    }
    kept
}

async fn connection(stage: Rc<Stage>, server: usize, node: usize, stream: TcpStream) {
    // When the process dies its connections are reset, not closed in peace.
    let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    let _ = stream.set_nodelay(true);
    let mut life = stage.lives[server].subscribe();
    let room = stage.servers[server].borrow_mut().connect();
    let fresh = std::cell::Cell::new(true);
    let attends = |request| {
        let (stage, fresh) = (stage.clone(), fresh.replace(false));
        async move {
            if !room {
                return Ok(rejected());
            }
            if fresh {
                handshake(&stage, server, node).await;
            }
            Ok::<_, Infallible>(attend(&stage, server, node, request).await)
        }
    };
    let http = http1::Builder::new().serve_connection(TokioIo::new(stream), service_fn(attends));
    tokio::select! {
        _ = http => {}
        _ = life.changed() => {}
    }
    if room {
        let mut server = stage.servers[server].borrow_mut();
        server.connections = server.connections.saturating_sub(1);
    }
}

/// A new connection costs its first request one way there and back, and the server work.
async fn handshake(stage: &Rc<Stage>, server: usize, node: usize) {
    sleep(2 * stage.way(node, server)).await;
    let work = stage.servers[server].borrow().group.handshake_ms * 1e6;
    if work > 0.0 {
        drop(give(stage, server, work, Given::Probe));
    }
}

fn plain(status: u16, body: impl Into<Bytes>) -> Response<Body> {
    Response::builder().status(status).body(Full::new(body.into())).expect("a sound answer")
}

fn rejected() -> Response<Body> {
    let answer = Response::builder().status(503).header("X-Rejected", "1").body(Full::default());
    answer.expect("a sound answer")
}

enum Given {
    Request { informed: bool },
    Probe,
}

/// A job at a server, withdrawn when this is dropped before it is done.
struct AtWork {
    stage: Rc<Stage>,
    server: usize,
    job: u64,
    done: oneshot::Receiver<()>,
}

impl Drop for AtWork {
    fn drop(&mut self) {
        if self.stage.jobs.borrow_mut().remove(&self.job).is_some() {
            let next = self.stage.servers[self.server].borrow_mut().cancel(self.job, self.stage.now());
            goes_on(&self.stage, self.server, next);
        }
    }
}

/// Gives a server work. None where it is sent away unseen.
fn give(stage: &Rc<Stage>, server: usize, work: f64, what: Given) -> Option<AtWork> {
    let (id, now) = (stage.number(), stage.now());
    let (tell, done) = oneshot::channel();
    let taken = match what {
        Given::Request { informed } => {
            stage.servers[server].borrow_mut().take(Job { id, work }, informed, now)
        }
        Given::Probe => stage.servers[server].borrow_mut().probe(id, now),
    };
    match taken {
        Admission::Full => return None,
        Admission::Falls { rushed } => {
            if rushed {
                stage.oracle.borrow_mut().rushed(server as u32, now);
            }
            crate::troubles::dies(stage, server);
            return None;
        }
        Admission::Begins(end) => goes_on(stage, server, Some((id, end))),
        Admission::Waits => {}
    }
    stage.jobs.borrow_mut().insert(id, tell);
    Some(AtWork { stage: stage.clone(), server, job: id, done })
}

/// A core works on a job until then, and takes the next.
fn goes_on(stage: &Rc<Stage>, server: usize, next: Option<(u64, Nanos)>) {
    let Some((job, end)) = next else { return };
    let stage = stage.clone();
    spawn_local(async move {
        sleep_until(stage.instant(end.saturating_sub(START))).await;
        let (had, next) = stage.servers[server].borrow_mut().finish(job, stage.now());
        if had && let Some(tell) = stage.jobs.borrow_mut().remove(&job) {
            let _ = tell.send(());
        }
        goes_on(&stage, server, next);
    });
}

fn report(stage: &Stage, server: usize) -> String {
    let noise = stage.noise.borrow_mut().unit();
    let util = stage.servers[server].borrow_mut().figure(noise, stage.now());
    format!("{{\"util\":{util:.4}}}")
}

/// Over a cut nothing arrives, and the connection stays open and silent for good.
async fn silent_if_cut(stage: &Stage, server: usize, node: usize) {
    if stage.is_cut(node, server) {
        std::future::pending::<()>().await;
    }
}

async fn attend(stage: &Rc<Stage>, server: usize, node: usize, request: Request<Incoming>) -> Response<Body> {
    let (parts, body) = request.into_parts();
    if body.collect().await.is_err() {
        return plain(400, "");
    }
    silent_if_cut(stage, server, node).await;
    let id = parts.headers.get("X-Call-Id").and_then(|id| id.to_str().ok()).map(str::to_owned);
    // An attempt is made when its node sends it, whatever the way does to it.
    let asked = id.as_ref().and_then(|id| {
        let mut asked = stage.asked.borrow_mut();
        let asked = asked.get_mut(id)?;
        asked.attempts += 1;
        Some((*asked, asked.attempts - 1))
    });
    if let Some((asked, _)) = asked {
        let mut attempts = stage.attempts.get();
        attempts.total += 1;
        attempts.cross_zone += u64::from(stage.zone(node) != stage.zone(server));
        stage.attempts.set(attempts);
        stage.oracle.borrow_mut().sent(node, asked.number, server as u32, stage.now());
    }
    sleep(stage.way(node, server)).await;
    silent_if_cut(stage, server, node).await;
    if stage.servers[server].borrow().hangs {
        std::future::pending::<()>().await;
    }
    let answer = match (parts.uri.path(), asked) {
        ("/stats" | "/health/live", _) => probe(stage, server).await,
        (_, Some((asked, attempt))) => work(stage, server, node, asked, attempt).await,
        (_, None) => plain(if id.is_some() { 400 } else { 404 }, ""),
    };
    silent_if_cut(stage, server, node).await;
    sleep(stage.way(node, server)).await;
    answer
}

async fn probe(stage: &Rc<Stage>, server: usize) -> Response<Body> {
    stage.probes.set(stage.probes.get() + 1);
    if stage.servers[server].borrow().deaf {
        std::future::pending::<()>().await;
    }
    let figure = report(stage, server);
    if let Some(mut at_work) = give(stage, server, 0.0, Given::Probe) {
        let _ = (&mut at_work.done).await;
    }
    plain(200, figure)
}

async fn work(
    stage: &Rc<Stage>,
    server: usize,
    node: usize,
    asked: crate::stage::Asked,
    attempt: u32,
) -> Response<Body> {
    let started = stage.servers[server].borrow().started;
    let informed = stage.oracle.borrow().knows(node, server as u32, started);
    let Some(mut at_work) = give(stage, server, asked.work, Given::Request { informed }) else {
        stage.oracle.borrow_mut().ended(node, asked.number, attempt, true, stage.now());
        return rejected();
    };
    if (&mut at_work.done).await.is_err() {
        // Its process has died; the connection goes with it.
        std::future::pending::<()>().await;
    }
    sleep(Duration::from_nanos(asked.elsewhere)).await;
    let part = {
        let server = stage.servers[server].borrow();
        server.errors + server.group.error_ratio
    };
    let fails = part > 0.0 && stage.errors.borrow_mut().unit() < part;
    let mut answer = if fails { plain(500, "error") } else { plain(200, format!("served by {server}")) };
    if stage.world.reports_on_answers
        && let Ok(figure) = report(stage, server).parse()
    {
        answer.headers_mut().insert("X-Load-Report", figure);
    }
    answer
}
