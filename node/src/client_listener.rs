//! Accepts client connections and serves HTTP/1 on them. A [`RequestHandler`] produces the response to each request.

use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::connection_limits::{
    ClientConnection, ConnectionLimiter, ConnectionPermit, RequestHeadObserver, linger_and_close,
};
use crate::log_rate_limit::LogRateLimiter;
use crate::read_ahead::ReadAheadStream;
use crate::stream_observer::ObservedStream;
use crate::tcp_options::set_nodelay_if_possible;

/// The wait after a failed accept: while the process is out of descriptors, the next accept would fail at once as well.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The phase of a graceful shutdown or a drain. Later phases compare as greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainPhase {
    /// In service: no drain is in progress.
    Serving,
    /// Connections and requests are accepted, and each response closes its connection.
    Draining,
    /// Connections without a request are closed, and new ones are still accepted.
    ClosingIdle,
    /// No more connections are accepted.
    Closed,
}

/// Handles requests, and notifies the [`ClientConnection`] of the progress of each request.
pub trait RequestHandler {
    /// The type of the body of a response.
    type Body: Body<Data = Bytes, Error: std::error::Error + Send + Sync> + 'static;

    /// Handles one request and returns its response.
    fn handle(
        &self,
        connection: Rc<ClientConnection>,
        request: Request<Incoming>,
        phase: watch::Receiver<DrainPhase>,
    ) -> impl Future<Output = Response<Self::Body>>;
}

/// Serves until the phase is [`DrainPhase::Closed`] and all connections have ended. Requests with a head of more than
/// `max_head_bytes` are rejected.
pub async fn serve<H: RequestHandler + 'static>(
    listener: TcpListener,
    connections: Rc<ConnectionLimiter>,
    mut phase: watch::Receiver<DrainPhase>,
    max_head_bytes: usize,
    handler: H,
) {
    let handler = Rc::new(handler);
    let sweeper = spawn_local(connections.clone().close_overdue_connections());
    let mut closed_phase = phase.clone();
    let closed = closed_phase.wait_for(|phase| *phase == DrainPhase::Closed);
    // The accept is polled first: connections in the backlog are accepted before the listener closes.
    tokio::select! {
        biased;
        () = accept_connections(&listener, &connections, &phase, max_head_bytes, &handler) => {}
        _ = closed => {}
    }
    drop(listener);
    phase.mark_unchanged();
    connections.wait_until_all_closed().await;
    sweeper.abort();
}

async fn accept_connections<H: RequestHandler + 'static>(
    listener: &TcpListener,
    connections: &Rc<ConnectionLimiter>,
    phase: &watch::Receiver<DrainPhase>,
    max_head_bytes: usize,
    handler: &Rc<H>,
) {
    let mut log_limiter = LogRateLimiter::default();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let permit = connections.admit().await;
                let (handler, phase) = (handler.clone(), phase.clone());
                spawn_local(run_connection(stream, handler, permit, phase, max_head_bytes));
            }
            Err(error) => {
                log_limiter
                    .log(|suppressed| tracing::warn!("accept failed: {error} ({suppressed} suppressed)"));
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn run_connection<H: RequestHandler>(
    stream: TcpStream,
    handler: Rc<H>,
    permit: ConnectionPermit,
    phase: watch::Receiver<DrainPhase>,
    max_head_bytes: usize,
) {
    tokio::select! {
        biased;
        () = permit.connection().close_requested() => {}
        result = serve_connection(stream, &*handler, permit.connection(), phase, max_head_bytes) => {
            result.unwrap_or_else(|error| tracing::debug!("client connection failed: {error}"));
        }
    }
}

#[derive(Debug, thiserror::Error)]
enum ConnectionError {
    #[error(transparent)]
    Socket(#[from] std::io::Error),
    #[error(transparent)]
    Http(#[from] hyper::Error),
}

async fn serve_connection<H: RequestHandler>(
    stream: TcpStream,
    handler: &H,
    state: &Rc<ClientConnection>,
    mut phase: watch::Receiver<DrainPhase>,
    max_head_bytes: usize,
) -> Result<(), ConnectionError> {
    set_nodelay_if_possible(&stream);
    // A connection accepted during a drain or a shutdown is closed by its first response. Closing the connection sooner would
    // lose the request for which the client opened it.
    let accepted_while_draining = *phase.borrow() != DrainPhase::Serving;
    let handler_phase = phase.clone();
    let service = service_fn(|request| {
        let response = handler.handle(state.clone(), request, handler_phase.clone());
        async { Ok::<_, Infallible>(response.await) }
    });
    let socket = ReadAheadStream::new(stream);
    let observer = RequestHeadObserver::new(state.clone());
    let io = TokioIo::new(ObservedStream { stream: socket.clone(), observer });
    let mut connection = http1::Builder::new().max_buf_size(max_head_bytes).serve_connection(io, service);
    let mut closing_idle = pin!(phase.wait_for(|phase| *phase >= DrainPhase::ClosingIdle));
    let (mut is_closing_idle, mut shutdown_started) = (false, false);
    let result = poll_fn(|cx| {
        loop {
            // The connection is polled first, so that pending bytes are read before it is closed.
            if let Poll::Ready(result) = Pin::new(&mut connection).poll(cx) {
                return Poll::Ready(Some(result));
            }
            if state.is_processing() && socket.poll_disconnected(cx).is_ready() {
                return Poll::Ready(None);
            }
            is_closing_idle =
                is_closing_idle || (!accepted_while_draining && closing_idle.as_mut().poll(cx).is_ready());
            // A request that has arrived in part is read to its end, and its response closes the connection.
            if !is_closing_idle || shutdown_started || state.is_receiving_request() {
                return Poll::Pending;
            }
            shutdown_started = true;
            Pin::new(&mut connection).graceful_shutdown();
        }
    })
    .await;
    // The client has disconnected, which cancels its request.
    let Some(result) = result else { return Ok(()) };
    if result.is_err() || state.may_have_unread_input() {
        linger_and_close(connection.into_parts().io.into_inner()).await;
    }
    Ok(result?)
}
