//! The model servers' listeners and connections. Each server has one listener per node, so that latency and partitions apply to
//! each pair, and the listener identifies the node that sent a request.

use std::cell::Cell;
use std::convert::Infallible;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::error::SocketLabError;
use crate::jobs::submit_probe;
use crate::run_state::RunState;
use crate::server_path::Path;
use crate::server_requests::{rejected, respond};

/// Accept backlog of a listener outside partitions.
const BACKLOG: u32 = 512;
/// Delay before the next attempt to bind a listener.
const REBIND_DELAY: Duration = Duration::from_millis(20);
/// Limit of the connections opened to fill a backlog of length 0: the kernel holds one or two.
const MAX_FILLING_CONNECTIONS: usize = 4;
/// Time after which a connection attempt counts as blocked by a full backlog.
const FILL_TIMEOUT: Duration = Duration::from_millis(20);

/// Opens all listeners, and starts tasks that serve them.
///
/// # Errors
/// If the operating system provides no socket.
pub(crate) async fn listen_all(run: &Rc<RunState>) -> Result<(), SocketLabError> {
    for server in 0..run.servers.len() {
        for node in 0..run.nodes.len() {
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
            let listener = listener.map_err(SocketLabError::system("a server's listener"))?;
            let address = listener.local_addr().map_err(SocketLabError::system("a server's listener"))?;
            run.server_addresses.borrow_mut()[server].push(address);
            spawn_local(serve(Path { run: run.clone(), server, node }, listener));
        }
    }
    Ok(())
}

/// Accepts connections while the server has a process and no partition separates the server from the node. Without a process
/// the listener is closed, so that the kernel refuses connections; across a partition no connection completes.
async fn serve(path: Path, listener: TcpListener) {
    let mut partitions = path.run.partitions.subscribe();
    let mut incarnation = path.run.incarnations[path.server].subscribe();
    let Ok(address) = listener.local_addr() else { return };
    let mut listener = Some(listener);
    loop {
        let has_process = path.has_process();
        if !has_process {
            listener = None;
        } else if listener.is_none() {
            listener = bind_again(address);
        }
        let Some(open) = &listener else {
            tokio::select! {
                _ = incarnation.changed() => {}
                () = sleep(REBIND_DELAY), if has_process => {}
            }
            continue;
        };
        if path.is_partitioned() {
            let _filling = fill_backlog(open).await;
            while path.is_partitioned() && path.has_process() {
                tokio::select! {
                    _ = partitions.changed() => {}
                    _ = incarnation.changed() => {}
                }
            }
            // Cannot fail: the first `listen` on the same socket succeeded.
            let _ = SockRef::from(open).listen(BACKLOG as i32);
            continue;
        }
        tokio::select! {
            accepted = open.accept() => if let Ok((stream, _)) = accepted {
                spawn_local(serve_connection(path.clone(), stream));
            },
            _ = partitions.changed() => {}
            _ = incarnation.changed() => {}
        }
    }
}

fn bind_again(address: SocketAddr) -> Option<TcpListener> {
    let socket = TcpSocket::new_v4().ok()?;
    socket.set_reuseaddr(true).ok()?;
    socket.bind(address).ok()?;
    socket.listen(BACKLOG).ok()
}

/// Fills a listener's backlog, so that the kernel drops further SYNs, as a partition would. The backlog stays full until the
/// returned connections are dropped.
async fn fill_backlog(listener: &TcpListener) -> Vec<TcpStream> {
    let mut filling = Vec::new();
    let Ok(address) = listener.local_addr() else { return filling };
    if SockRef::from(listener).listen(0).is_err() {
        return filling;
    }
    for _ in 0..MAX_FILLING_CONNECTIONS {
        let connected = timeout(FILL_TIMEOUT, TcpStream::connect(address)).await;
        let Ok(Ok(stream)) = connected else { break };
        filling.push(stream);
    }
    filling
}

/// Serves one connection until either side closes it or the server's process ends.
async fn serve_connection(path: Path, stream: TcpStream) {
    // Closing the socket sends a reset, as the end of a process does.
    let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    let _ = stream.set_nodelay(true);
    let mut incarnation = path.run.incarnations[path.server].subscribe();
    let has_room = path.run.servers[path.server].borrow_mut().connect();
    let is_first_request = Cell::new(true);
    let service = service_fn(|request| {
        let (path, is_first) = (path.clone(), is_first_request.replace(false));
        async move {
            if !has_room {
                return Ok(rejected());
            }
            if is_first {
                handshake(&path).await;
            }
            Ok::<_, Infallible>(respond(&path, request).await)
        }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        _ = connection => {}
        _ = incarnation.changed() => {}
    }
    if has_room {
        path.run.servers[path.server].borrow_mut().disconnect(1);
    }
}

/// Delays the first request of a new connection by a round trip, and submits a job to the server if handshakes cost work.
async fn handshake(path: &Path) {
    sleep(2 * path.latency()).await;
    let handshake_ms = path.run.servers[path.server].borrow().group.handshake_ms;
    if handshake_ms > 0.0 {
        drop(submit_probe(&path.run, path.server));
    }
}
