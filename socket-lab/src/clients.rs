//! Clients: they ask a node over kept connections, wait as long as they will, and come again where that does no harm.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use ivyhatch_lab::{ANSWER_SLACK, Arrivals, ClientRequest, RECONNECT_DELAY};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, timeout};

use crate::stage::{Body, Nanos, Stage, note};

const MS: Nanos = 1_000_000;
/// What comes later than the slack allows is waited for a little, to be seen as late.
const WAITS_ON: Duration = Duration::from_millis(200);

enum End {
    Served,
    Refused(Nanos),
    Failed,
    /// The node died, or was not there.
    Broken,
    Left,
}

/// All clients: those that come by themselves, and the closed ones, which ask again as soon as they have their answer.
pub(crate) async fn all(stage: &Rc<Stage>, arrivals: &mut Arrivals<'_>) {
    let (returns, mut returning) = mpsc::unbounded_channel();
    let end = (stage.world.seconds * 1e9) as Nanos;
    for zone in stage.world.clients.closed_zones(stage.world.zones) {
        let (wait, returns) = ((stage.choices.borrow_mut().unit() * 100e6) as Nanos, returns.clone());
        spawn_local(async move {
            sleep(Duration::from_nanos(wait)).await;
            let _ = returns.send(zone);
        });
    }
    // What is spawned holds the other ends: when the last one is done, nobody returns any more.
    let mut returns = Some(returns);
    let mut coming = arrivals.next();
    loop {
        if coming.is_none() && stage.now() - crate::stage::START >= end {
            returns = None;
        }
        let at = coming.as_ref().map_or(end, |asks| asks.at);
        tokio::select! {
            () = sleep_until(stage.instant(at)), if returns.is_some() => {
                let (Some(asks), Some(returns)) = (coming.take(), returns.clone()) else { continue };
                let stage = stage.clone();
                spawn_local(async move {
                    client(stage, asks).await;
                    drop(returns);
                });
                coming = arrivals.next();
            }
            zone = returning.recv() => {
                let Some(zone) = zone else { return };
                let (now, Some(returns)) = (stage.now() - crate::stage::START, returns.clone()) else { continue };
                if now >= end {
                    continue;
                }
                let (asks, stage) = (arrivals.draw(now, Some(zone)), stage.clone());
                spawn_local(async move {
                    let wait = client(stage, asks).await;
                    sleep(Duration::from_nanos(wait)).await;
                    let _ = returns.send(zone);
                });
            }
        }
    }
}

/// One client, from its first try to its end. Returns after how long a closed one asks for the next thing.
async fn client(stage: Rc<Stage>, asks: ClientRequest) -> Nanos {
    stage.books.borrow_mut().asked(&asks);
    let class = stage.world.clients.classes[asks.class].clone();
    let first = stage.now();
    let end_of_all = first + class.deadline_ms * MS;
    let mut repeats_left = stage.world.clients.retries;
    loop {
        let patience = class.patience(stage.patience.borrow_mut().unit());
        let not_after = (stage.now() + patience).min(end_of_all);
        let repeat = repeats_left < stage.world.clients.retries;
        let end = one_try(&stage, &asks, not_after, repeat).await;
        let now = stage.now();
        let wait = match end {
            End::Refused(pause) => stage.world.clients.pause(pause),
            End::Broken if !class.non_idempotent => stage.world.clients.pause(RECONNECT_DELAY),
            _ => Nanos::MAX,
        };
        if repeats_left > 0 && now.saturating_add(wait) < end_of_all {
            repeats_left -= 1;
            sleep(Duration::from_nanos(wait)).await;
            continue;
        }
        let mut books = stage.books.borrow_mut();
        match end {
            End::Served => books.served(&asks, now - first),
            End::Refused(_) => books.refused(&asks),
            End::Failed | End::Broken => books.failed(&asks),
            End::Left => books.left(&asks),
        }
        return match end {
            End::Served => 0,
            End::Refused(_) => wait.max(RECONNECT_DELAY),
            _ => RECONNECT_DELAY,
        };
    }
}

/// A node of the client's zone that is up, or any that is.
fn front(stage: &Stage, zone: u32) -> Option<usize> {
    let drawn = stage.choices.borrow_mut().unit();
    let up = |node: &usize| stage.nodes[*node].borrow().at.is_some();
    let all = || 0..stage.nodes.len();
    let of_zone: Vec<usize> = all().filter(|node| stage.zone(*node) == zone as usize).filter(up).collect();
    let nodes = if of_zone.is_empty() { all().filter(up).collect() } else { of_zone };
    nodes.get((drawn * nodes.len() as f64) as usize).copied()
}

async fn one_try(stage: &Rc<Stage>, asks: &ClientRequest, not_after: Nanos, repeat: bool) -> End {
    let Some(node) = front(stage, asks.zone) else { return End::Broken };
    let Some(at) = stage.nodes[node].borrow().at else { return End::Broken };
    let number = stage.number();
    let (id, class) = (format!("{number:016x}"), &stage.world.clients.classes[asks.class]);
    stage.asked.borrow_mut().insert(id.clone(), note(asks, number));
    let Some(mut connection) = connect(stage, node).await else { return End::Broken };
    let now = stage.now();
    let budget = not_after.saturating_sub(now) / MS;
    let build = Request::builder()
        .method(if class.non_idempotent { "POST" } else { "GET" })
        .uri("/api")
        .header("Host", at.to_string())
        .header("X-Call-Id", &id)
        .header("X-Call-Class", &class.name)
        .header("X-Budget-Ms", budget.to_string());
    let build = if repeat { build.header("X-Again", "1") } else { build };
    let build = match asks.tenant {
        Some(tenant) => build.header("X-Caller", format!("t{tenant}")),
        None => build,
    };
    let body = if class.non_idempotent { Full::new(Bytes::from_static(b"{}")) } else { Full::default() };
    let request = build.body(body).expect("a sound request");
    stage.oracle.borrow_mut().taken(node, number, class.non_idempotent, not_after, now);
    stage.nodes[node].borrow_mut().open.push(number);
    let stays = Duration::from_nanos(not_after.saturating_sub(now) + ANSWER_SLACK);
    let answer = async {
        let answer = connection.send_request(request).await?;
        let (parts, body) = answer.into_parts();
        Ok::<_, hyper::Error>(Response::from_parts(parts, body.collect().await?.to_bytes()))
    };
    let (wait, leaves) = match asks.leaves {
        Some(part) => (Duration::from_nanos(((not_after - now) as f64 * part) as Nanos), true),
        None => (stays + WAITS_ON, false),
    };
    let answer = timeout(wait, answer).await;
    let now = stage.now();
    // Where its node was killed meanwhile, nobody owes it anything.
    let held = {
        let mut of = stage.nodes[node].borrow_mut();
        let at = of.open.iter().position(|open| *open == number);
        at.map(|at| of.open.swap_remove(at)).is_some()
    };
    let mut oracle = stage.oracle.borrow_mut();
    let end = match answer {
        Err(_) if leaves => {
            oracle.left(node, number, now);
            End::Left
        }
        Err(_) => End::Failed,
        Ok(Err(_)) => {
            if !held {
                oracle.lost(node, number);
            }
            End::Broken
        }
        Ok(Ok(answer)) => {
            let refused = matches!(answer.status().as_u16(), 429 | 503);
            oracle.answered(node, number, refused, now);
            stage.nodes[node].borrow_mut().idle.push(connection);
            let pause = answer
                .headers()
                .get("Retry-After")
                .and_then(|pause| pause.to_str().ok()?.parse::<f64>().ok());
            match answer.status().as_u16() {
                200 => End::Served,
                429 | 503 => End::Refused((pause.unwrap_or(0.0).max(0.0) * 1e9) as Nanos),
                _ => End::Failed,
            }
        }
    };
    oracle.over(node, number, now);
    // An attempt that is still on its way is known by its id until no client could still be asking.
    let (stage, deadline) = (stage.clone(), class.deadline_ms);
    spawn_local(async move {
        sleep(Duration::from_millis(deadline)).await;
        stage.asked.borrow_mut().remove(&id);
    });
    end
}

/// A kept connection that is still good, or a new one.
async fn connect(stage: &Stage, node: usize) -> Option<SendRequest<Body>> {
    loop {
        let Some(mut idle) = stage.nodes[node].borrow_mut().idle.pop() else { break };
        if idle.ready().await.is_ok() {
            return Some(idle);
        }
    }
    let at = stage.nodes[node].borrow().at?;
    let stream = TcpStream::connect(at).await.ok()?;
    let _ = stream.set_nodelay(true);
    let (send, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    spawn_local(async move {
        let _ = connection.await;
    });
    Some(send)
}
